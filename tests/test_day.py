"""Whole rehearsal days with every kind of fault, audited from the recorded messages. In virtual time, and
once on sockets."""

import json
from pathlib import Path

import msgspec
import pytest
import trio
from click.testing import CliRunner

from hazelhold.cli.main import main
from hazelhold.config.day import Day, Trouble, read_day
from hazelhold.rehearse.run import play, play_virtual

EXAMPLES = Path(__file__).parent.parent / "examples"


def bad_day(**changes: object) -> Day:
    return msgspec.structs.replace(read_day(EXAMPLES / "bad-day.json5"), **changes)


@pytest.mark.parametrize("seed", [1, 2])
def test_the_bad_day_keeps_the_rules_and_accounts_for_all_guests(tmp_path: Path, seed: int) -> None:
    report = play_virtual(bad_day(), seed, tmp_path)
    counts = report["counts"]
    assert report["rules_broken"] == [] and report["unaccounted"] == []
    assert counts["placed"] > 600 and report["service"]["service"] > 0.6
    finals = counts["placed"] + counts["turned_back"] + counts["broken_off"]
    assert finals + counts.get("died_with_planner", 0) == counts["taken"]


def test_the_same_seed_plays_the_same_day(tmp_path: Path) -> None:
    day = bad_day(length_s=12.0, troubles=[t for t in bad_day().troubles if t.at_s < 11])
    reports = []
    for name in "ab":
        reports.append(play_virtual(day, 3, tmp_path / name))
        del reports[-1]["seconds"]
    assert reports[0] == reports[1] and reports[0]["counts"]["taken"] > 50


def test_a_planner_that_violates_rules_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    from hazelhold.engine import machines
    from hazelhold.scheduler import Guest, Scheduler

    all_ready = {mode: machines.MachineMode.READY for mode in ("ready", "cordoned", "gone")}
    monkeypatch.setattr(machines, "MODES", all_ready)
    monkeypatch.setattr(Guest, "may_refuse", lambda self: True)
    monkeypatch.setattr(Scheduler, "_allowed", lambda self, guest, machine, now: True)
    day = bad_day(
        length_s=25.0, troubles=[Trouble("answer_lost", 2, 20, 1.0, 0.4), Trouble("deploy", 5, 12, 1.0, 0.2)]
    )
    rules = {b["rule"] for b in play_virtual(day, 1, tmp_path)["rules_broken"]}
    assert rules >= {2, 3}


def test_planner_processes_killed_and_stopped_on_sockets(tmp_path: Path) -> None:
    troubles = [
        Trouble("planner_kill", 2, 1.5, which=0),
        Trouble("planner_stop", 4, 1, which=1),
        Trouble("crash", 3, 3, 0.2),
        Trouble("answer_lost", 1, 4, 0.3, 0.3),
    ]
    day = bad_day(length_s=8.0, planners=2, troubles=troubles)
    report = trio.run(play, day, 1, tmp_path, False)
    assert report["rules_broken"] == [] and report["unaccounted"] == [] and report["counts"]["placed"] > 20
    ran = CliRunner().invoke(main, ["audit", str(tmp_path / "records"), "--report", str(tmp_path / "r.json")])
    assert ran.exit_code == 0 and json.loads((tmp_path / "r.json").read_text())["counts"] == report["counts"]


def test_an_invalid_day_starts_nothing(tmp_path: Path) -> None:
    (tmp_path / "day.json5").write_text("{ name: 'x', length_s: -1 }")
    ran = CliRunner().invoke(
        main, ["rehearse", str(tmp_path / "day.json5"), "--records", str(tmp_path / "r")]
    )
    assert ran.exit_code == 2 and "length_s" in ran.output and not (tmp_path / "r").exists()


def test_machines_register_with_a_list_service_in_another_process() -> None:
    from hazelhold.rehearse.environment import Environment
    from hazelhold.rehearse.ports import free_ports
    from hazelhold.rehearse.standalone import run_part
    from hazelhold.service.net import TcpNet

    day = msgspec.structs.replace(read_day(EXAMPLES / "quiet-day.json5"), length_s=2.0)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            environment = Environment(day, 1, TcpNet(), None, "127.0.0.1")
            address = f"127.0.0.1:{free_ports(1)[0]}"
            await environment.list_host.run(address, nursery)
            nursery.start_soon(run_part, day, 1, 2.0, "machines", {"lister": address})
            with trio.fail_after(10):
                while len(environment.service.entries) < 11 or not all(
                    entry.cores_room for entry in environment.service.entries.values()
                ):
                    await trio.sleep(0.05)
            assert len(environment.service.entries) == 11
            nursery.cancel_scope.cancel()

    trio.run(run)
    ran = CliRunner().invoke(
        main, ["stand-in", "senders", str(EXAMPLES / "quiet-day.json5"), "--planner", "x"]
    )
    assert ran.exit_code == 2 and "NAME=HOST:PORT" in ran.output


def test_changes_of_a_machine_keep_their_order_in_the_list() -> None:
    from hazelhold.model.listing import ListService
    from hazelhold.protocol.messages import Entry

    for seed in range(20):
        service = ListService(seed, 0, (0, 10**7), 500_000, (0, 1))
        for at, mode in enumerate(["ready", "gone", "ready"]):
            service.set(at, Entry(machine="a", address="x", mode=mode, kind="k", incarnation=at), at)
        service.advance(10**8)
        assert service.entries["a"].incarnation == 2


def test_some_random_days_keep_the_rules() -> None:
    from hazelhold.rehearse.hunt import hunt

    found = hunt(bad_day(), 1000, 4, 12.0, 2)
    assert [r["broken"] for r in found] == [[]] * 4 and sum(r["counts"]["taken"] for r in found) > 300
