"""What outlives a planner: files and their damage, failing disks, recovery, crashes at numbered points."""

import errno
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec
import pytest
import trio
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace
from trio.testing import MockClock

from hazelhold.brain import Brain, Guest, Machine, Service
from hazelhold.cli.main import main
from hazelhold.config.day import read_day
from hazelhold.interface import Ending, Load, Remark, Step
from hazelhold.protocol import messages as m
from hazelhold.rehearse.crashes import play_crashes
from hazelhold.service.net import MemoryNet
from hazelhold.service.planner import Planner
from hazelhold.service.wire import Wire
from hazelhold.standin.disk import FaultyDisk, Points
from hazelhold.state import frames, snapshot, store
from hazelhold.state.disk import RealDisk
from hazelhold.state.images import Change, EndImage, LooseImage, drop, put
from hazelhold.state.ledger import Ledger
from tests.helpers import DEPLOYMENT, MS, Desk, ask, brain, of, sheet, stand

S = 1_000_000


def disk() -> FaultyDisk:
    return FaultyDisk(Points(set(), 1))


def end(number: int) -> Change:
    return put("end", f"g{number}", EndImage(f"g{number}", "done"))


def kept(on: FaultyDisk, count: int = 5) -> store.Store:
    made = store.Store(on, "p0")
    made.open(0, "p0 1")
    made.begin(0)
    for number in range(count):
        made.commit([end(number)])
    return made


# Files.


def test_what_is_committed_is_read_back_and_what_is_not_is_not_missed() -> None:
    on = disk()
    kept(on)
    on.write("log-1", frames.batch([end(9)])[:-3])  # never synced
    on.crash()
    found = store.read(on, "p0")
    assert found.complete and sorted(found.ledger.tables["end"]) == [f"g{n}" for n in range(5)]


@pytest.mark.parametrize("way", ["flip", "cut", "zero"])
def test_damage_at_any_byte_is_named_and_never_read_as_something_else(way: str) -> None:
    on = disk()
    kept(on)
    whole = on.safe["log-1"]
    for at in range(len(whole)):
        data = bytearray(whole)
        if way == "flip":
            data[at] ^= 1 << at % 8
        elif way == "cut":
            del data[at:]
        else:
            data[at : at + 16] = bytes(len(data[at : at + 16]))
        if bytes(data) == whole:
            continue
        on.safe["log-1"] = bytes(data)
        try:
            found = store.read(on, "p0")
        except store.StateError:
            assert way == "flip"  # of the planner's name or the format
            continue
        names = [f"g{n}" for n in range(len(found.ledger.tables["end"]))]
        assert sorted(found.ledger.tables["end"]) == names
        if way != "cut":
            assert not found.complete and "log-1: " in found.notes[0]


@pytest.mark.parametrize(("missing", "complete"), [("log-2", False), ("snapshot-2", False)])
def test_a_missing_file_is_seen(missing: str, complete: bool) -> None:
    on = disk()
    kept(on).begin(0)
    del on.safe[missing]
    assert store.read(on, "p0").complete is complete


def test_a_state_of_another_planner_a_newer_format_or_in_use_is_refused_and_not_touched() -> None:
    on = disk()
    made = kept(on)
    before = dict(on.safe)
    with pytest.raises(store.InUseError, match="in use by p0 1"):
        store.Store(on, "p0").open(0, "p0 2")
    made.close()
    with pytest.raises(store.StateError, match="is of planner 'p0', not of 'p9'"):
        store.Store(on, "p9").open(0, "p9 2")
    on.safe["log-1"] = frames.header(frames.Header(99, "p0", 1, "log")) + on.safe["log-1"]
    with pytest.raises(store.StateError, match="format 99; this program reads format 1"):
        store.Store(on, "p0").open(0, "p0 2")
    assert on.safe["snapshot-1"] == before["snapshot-1"] and not on.holder


def test_an_older_format_is_brought_up_to_this_one(monkeypatch: pytest.MonkeyPatch) -> None:
    on = disk()
    old = frames.batch([Change("finish", "g1", None), end(1)])
    on.safe = {
        "snapshot-3": frames.header(frames.Header(0, "p0", 3, "snapshot")) + old,
        "log-3": frames.header(frames.Header(0, "p0", 3, "log")),
    }
    with pytest.raises(store.StateError, match="format 0"):
        store.read(on, "p0")
    monkeypatch.setitem(store.UPGRADES, 0, lambda batch: [c for c in batch if c.kind != "finish"])
    made = store.Store(on, "p0")
    assert list(made.open(0, "p0 1").ledger.tables["end"]) == ["g1"]
    made.begin(0)
    monkeypatch.delitem(store.UPGRADES, 0)
    assert store.read(on, "p0").generation == 4  # written anew in today's format


def test_a_log_that_grows_is_replaced_and_old_answers_go() -> None:
    on = disk()
    made = kept(on, 0)
    for second in range(200):
        made.commit(
            [
                put("end", f"g{second}-{n}", EndImage("x" * 100, "done"), until=(second + 30) * S)
                for n in range(300)
            ]
        )
        if made.due():
            made.begin(second * S)
    assert made.generations == 2 and sum(map(len, on.safe.values())) < 3 * store.LEAST
    assert len(made.ledger.tables["end"]) < 200 * 300


# A Brain, copied.


def test_every_field_of_the_module_has_its_place_in_a_snapshot() -> None:
    made = brain("ab")
    made.guest_arrived(0, ask("g"))
    own = {
        "deployment",
        "spread",
        "seated",
        "no_room",
        "machines",
        "guests",
        "waiting",
        "services",
        "starts",
        "answers",
        "random",
        "to_probe",
        "to_call_off",
        "out",
        "due",
    }
    assert vars(made).keys() - own == {*snapshot.BRAIN_TIMES, *snapshot.BRAIN_PLAIN}
    own = {"ask", "product", "service", "machine", "spread_key", "bound"}
    assert vars(made.guests["g"]).keys() - own == {*snapshot.GUEST_TIMES, *snapshot.GUEST_PLAIN}
    own = {
        "listed",
        "size",
        "guests",
        "kept",
        "full",
        "answers",
        "offers",
        "mark",
        "bears",
        "starting",
        "services",
    }
    assert vars(made.machines["a"]).keys() - own == {*snapshot.MACHINE_TIMES, *snapshot.MACHINE_PLAIN}
    assert vars(Service()).keys() == {"samples", "guests", "seen", "order", "order_of"}
    assert Guest and Machine


def drive(made: Brain, random: Random, now: int, names: list[str]) -> list[object]:
    """A moment of a day: inputs drawn at random, then decisions; what they were."""
    what, found = random.randrange(9), []
    if what < 4:
        names.append(f"g{len(names)}")
        made.guest_arrived(now, ask(names[-1], random.randrange(5), random.choice([0.5, 2.0, 6.0])))
    out = [n for n, g in made.guests.items() if g.machine]
    if out and what in (4, 5, 6):
        name = random.choice(out)
        guest = made.guests[name]
        if not guest.placed and random.random() < 0.7:
            made.dispatch_taken(now, name, 20 * MS)
            made.guest_runs(now + MS, name)
            made.cores_used(now, name, random.random())
            made.memory_used(now, name, random.random())
        else:
            ending = random.choice([Ending.TURNED_BACK, Ending.OVERDUE, Ending.CUT_OFF, Ending.DONE])
            made.dispatch_ended(now, name, ending, guest.placed, random.choice(list(Remark)))
    elif what == 7:
        made.machine_reported(
            now, random.choice("abcd"), Load(random.uniform(0, 24), random.uniform(0, 40), None)
        )
    elif what == 8 and names:
        made.guest_cancelled(now, random.choice(names))
    while (decision := made.decide(now)) is not None:
        found.append(decision)
        if decision.step in (Step.TURN_BACK, Step.BREAK_OFF):
            made.guest_left(now, decision.guest)
    return found


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 10_000), st.integers(5, 60))
def test_a_copy_decides_as_the_brain_that_never_stopped(seed: int, stop: int) -> None:
    made, random, names = brain("abcd", probing=seed % 2 == 0), Random(seed), []
    for step in range(stop):
        drive(made, random, S + step * 37 * MS, names)
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(snapshot.dump(made)))
    copy = snapshot.restore(plain, made.deployment)
    state, others = random.getstate(), list(names)
    for step in range(stop, stop + 60):
        now = S + step * 37 * MS
        here = drive(made, random, now, names)
        after = random.getstate()
        random.setstate(state)
        assert drive(copy, random, now, others) == here
        state = after
    assert DEPLOYMENT and copy.next_look(now) == made.next_look(now)


# An engine, recovered.


class Life:
    """Desks, one after the other, over one ledger."""

    def __init__(self) -> None:
        self.ledger = Ledger()

    def desk(self, now: int, dead: str = "", complete: bool = True, **limits: object) -> Desk:
        desk = Desk("", **limits)
        desk.dead = set(dead)
        desk.engine.keep(now, 0, self.ledger, complete)
        desk.run(now)
        return desk

    def dies(self, desk: Desk, now: int) -> None:
        self.ledger.apply(desk.engine.flush(now))


def started(**limits: object) -> tuple[Life, Desk]:
    life = Life()
    desk = life.desk(0, **limits)
    desk.lists(0, [desk.entry(name) for name in "ab"], whole=True)
    return life, desk


def test_a_held_guest_keeps_the_rest_of_its_patience() -> None:
    life, desk = started()
    desk.lists(0, [desk.entry(n, "cordoned") for n in "ab"])
    desk.submits(S, "g", "once", patience=4 * S)
    life.dies(desk, 2 * S)
    again = life.desk(3 * S)
    assert again.owner(3 * S, m.Query(guest="g"))[0].state == "held"
    again.run(4900 * MS)
    assert not again.sent(m.TurnedBack)
    again.run(5 * S)
    assert [a.reason for a in again.sent(m.TurnedBack)] == ["no_machine"]
    life.dies(again, 5 * S)
    assert life.desk(6 * S).owner(6 * S, m.Query(guest="g"))[0].state == "turned_back"


@pytest.mark.parametrize("there", ["", "line", "runs", "ended"])
def test_an_offer_that_had_left_is_settled_by_its_machines_word(there: str) -> None:
    life, desk = started()
    offer, machine = desk.offer(S, "g", "once")
    life.dies(desk, S)
    again = Desk("")
    again.dead = {"a", "b"}
    again.engine.keep(1500 * MS, 0, life.ledger, True)
    again.run(1500 * MS)
    again.lists(1500 * MS, [again.entry(n) for n in "ab"], whole=True)
    assert not again.sent(m.Offer)  # it may run: nothing else is tried
    if there:
        again.stands[machine] = [stand(offer, there, "done" if there == "ended" else "")]
    again.dead.clear()
    for name in "ab":
        again.comes_up(1600 * MS, name)
    again.run(1600 * MS)
    if there in ("runs", "ended"):
        assert again.sent(m.Placed) and bool(again.sent(m.GuestEnded)) is (there == "ended")
    elif there == "line":
        assert again.engine.cases["g/0"].machine == machine and not again.sent(m.Offer)
    else:
        assert [o.attempt for o in again.sent(m.Offer, "g")] == [1]  # it never arrived


def test_a_guest_that_ran_is_found_and_one_that_ended_meanwhile_is_told() -> None:
    life, desk = started()
    first, one = desk.offer(S, "g1", "once")
    desk.says(S, one, of(m.Taken, first))
    second, two = desk.offer(S, "g2", "once")
    desk.says(S, two, of(m.Taken, second))
    life.dies(desk, S)
    again = Desk("")
    again.stands = {one: [stand(first, "runs")]}
    again.stands.setdefault(two, []).append(stand(second, "ended", "done"))
    again.engine.keep(2 * S, 0, life.ledger, True)
    again.run(2 * S)
    assert [(e.guest, e.how) for e in again.sent(m.GuestEnded)] == [("g2", "done")]
    assert again.owner(2 * S, m.Query(guest="g1"))[0].state == "running" and not again.sent(m.Offer)


@pytest.mark.parametrize(("product", "sent"), [("once", 0), ("plain", 1)])
def test_if_something_may_be_missing_no_held_guest_is_sent_that_must_not_run_twice(
    product: str, sent: int
) -> None:
    life, desk = started()
    desk.lists(0, [desk.entry(n, "cordoned") for n in "ab"])
    desk.submits(S, "g", product)
    life.dies(desk, S)
    again = life.desk(2 * S, complete=False)
    again.lists(2 * S, [again.entry(n) for n in "ab"], whole=True)
    again.run(2100 * MS)
    assert len(again.sent(m.Offer)) == sent and len(again.sent(m.BrokenOff)) == 1 - sent


def test_attempts_are_counted_over_lives_and_the_list_must_speak_before_anything_is_sent() -> None:
    life, desk = started()
    offer, machine = desk.offer(S, "g")
    desk.says(S, machine, of(m.Refused, offer, remark="no_cores"))
    life.dies(desk, S)
    again = life.desk(2 * S)
    assert again.engine.brain.guests["g/0"].dispatches >= 1 and len(again.sent(m.Offer)) == 0
    again.lists(2 * S, [again.entry(n) for n in "ab"], whole=True)
    assert all(o.attempt >= 1 for o in again.sent(m.Offer))


def test_a_given_up_dispatch_that_runs_after_all_brings_no_second_answer_in_the_next_life() -> None:
    life, desk = started()
    offer, machine = desk.offer(S, "g", "ticket")
    life.dies(desk, S)
    image = life.ledger.image("guest", "g/0")
    assert image.asks == (0,)  # as it was when the dispatch was given up, before its answer
    life.ledger.apply(
        [drop("guest", "g/0"), put("loose", f"g\0{machine}", LooseImage(image, machine, 0, S, False))]
    )
    again = Desk("")
    again.stands = {machine: [stand(offer, "runs")]}
    again.engine.keep(2 * S, 0, life.ledger, True)
    again.run(2 * S)
    assert again.owner(2 * S, m.Query(guest="g"))[0].state == "running" and not again.sent(m.Placed)


def test_what_was_learned_comes_back_for_machines_in_the_same_life() -> None:
    made = brain("ab", at=S)
    for n in range(4):
        made.guest_arrived(S, ask(f"g{n}"))
        decision = made.decide(S)
        made.dispatch_taken(S, f"g{n}", 5 * MS)
        made.guest_runs(2 * S, f"g{n}")
        made.memory_used(2 * S, f"g{n}", 1.5)
    made.probe_answered(2 * S, decision.machine, False)
    later = brain("ab", at=10 * S)
    past = made.learned()
    later.remembered(10 * S, msgspec.convert(msgspec.to_builtins(past), type(past)), False)
    assert len(later.services["service-0"].samples) == 4 and later.answers[0]
    assert later.machines[decision.machine].mute and later.no_cold_until == 14 * S
    late = brain("ab", at=100 * S)
    late.remembered(100 * S, made.learned(), True)
    assert not late.services and not late.no_cold_until


# A disk that fails under a running planner.


def beside(test: Callable, on: FaultyDisk) -> None:
    async def run() -> None:
        net = MemoryNet()
        made = replace(sheet(), state=replace(sheet().state, retry_ms=500.0))
        planner = Planner(made, 1, net, disk=on)
        said: list[m.Message] = []
        with trio.fail_after(300):
            async with trio.open_nursery() as nursery:
                await nursery.start(planner.run)
                wire = Wire(await net.dial("door"), m.Codec(m.TO_OWNER), net.now)
                nursery.start_soon(wire.write)
                wire.send(m.Hello(role="owner", name="o"))
                await wire.first(m.Welcome, 5)

                async def listen() -> None:
                    async for message in wire.messages():
                        said.append(message)

                nursery.start_soon(listen)

                async def ask(guest: str, product: str) -> str:
                    wire.send(
                        m.Submit(
                            guest=guest, product=product, service="s", cores=1.0, memory=1.0, patience=2 * S
                        )
                    )
                    await trio.sleep(0.1)
                    return said[-1].__struct_config__.tag + ":" + getattr(said[-1], "code", "")

                await test(planner, ask, said)
                nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize(("fault", "code"), [("write", errno.EROFS), ("sync", errno.EIO), ("full", 0)])
def test_a_failing_disk_refuses_what_must_not_run_twice_and_nothing_else(fault: str, code: int) -> None:
    on = disk()

    async def test(planner: Planner, ask: Callable, said: list) -> None:
        assert await ask("g1", "once") == "held:"
        if fault == "full":
            on.room = 20
        else:
            on.fails[fault] = code
        assert await ask("g2", "plain") == "held:" and not planner.engine.kept_well
        assert await ask("g3", "once") == "rejected:not_kept"
        await trio.sleep(3)  # g1 gets its answer in time though it cannot be kept
        assert [a.guest for a in said if isinstance(a, m.TurnedBack)] == ["g1", "g2"]
        on.fails.clear()
        on.room = None
        await trio.sleep(2)
        assert planner.engine.kept_well and await ask("g4", "once") == "held:"
        on.crash()
        assert [i.name for i in store.read(on, "p0").ledger.images("guest")] == ["g4/0"]

    beside(test, on)


def test_a_planner_starts_on_a_disk_that_cannot_be_written() -> None:
    on = disk()
    on.fails["write"] = errno.EROFS

    async def test(planner: Planner, ask: Callable, said: list) -> None:
        assert await ask("g1", "once") == "rejected:not_kept" and await ask("g2", "plain") == "held:"

    beside(test, on)


def test_a_hand_over_leaves_held_guests_to_the_next_process() -> None:
    on = disk()

    async def test(planner: Planner, ask: Callable, said: list) -> None:
        await ask("g1", "once")
        planner.hand_over()
        await trio.sleep(0.1)
        assert isinstance(said[-1], m.Bye) and said[-1].reason == "hand_over"
        assert not any(isinstance(a, m.TurnedBack | m.BrokenOff) for a in said)
        second = Planner(sheet(), 2, planner.net, disk=on)
        async with trio.open_nursery() as nursery:
            await nursery.start(second.run)
            assert list(second.engine.cases) == ["g1/0"] and second.engine.sure
            nursery.cancel_scope.cancel()

    beside(test, on)


# Crashes at numbered points of a day.

DAY = read_day(Path(__file__).parent.parent / "examples" / "quiet-day.json5")
DAY = replace(DAY, length_s=4.0, planners=1, demand=replace(DAY.demand, rate=8.0))
# A spread of points; bench.crashes strikes every one.
STRIKES = [{3}, {8}, {46}, {49}, {77}, {102}, {131}, {200}, {233}, {301}, {60, 61, 140}, {90, 150, 152, 300}]


@pytest.mark.parametrize("strike", STRIKES, ids=str)
def test_a_planner_that_dies_anywhere_owes_nothing_and_starts_nothing_twice(
    strike: set[int], tmp_path: Path
) -> None:
    said = play_crashes(DAY, 1, tmp_path, strike)
    assert said["struck"] and not said["rules_broken"] and not said["unaccounted"]
    assert not said["counts"].get("died_with_planner") and said["counts"]["placed"] > 20


def test_a_captured_life_that_began_with_kept_state_replays_to_the_same_decisions(tmp_path: Path) -> None:
    from hazelhold.rehearse.run import play

    (tmp_path / "kept").mkdir()
    trio.run(
        play,
        DAY,
        1,
        tmp_path / "day",
        True,
        MemoryNet(),
        tmp_path / "kept",
        Points({150}, 1),
        (),
        clock=MockClock(autojump_threshold=0),
    )
    second = CliRunner().invoke(main, ["capture", "replay", str(tmp_path / "kept" / "planner-0-2.pcap")])
    assert second.exit_code == 0 and "0 differ, 0 without a fellow" in second.output


# Commands.


def test_the_state_commands_read_check_export_and_compact(tmp_path: Path) -> None:
    made = store.Store(RealDisk(tmp_path), "p0")
    made.open(0, "p0 1")
    made.begin(0)
    desk = Desk("")
    desk.engine.keep(0, 0, made.ledger, True)
    desk.submits(0, "g", "once")
    made.commit([*desk.engine.flush(0), end(1)])
    run = CliRunner().invoke
    shown = run(main, ["state", "show", str(tmp_path)])
    assert "guest 1" in shown.output and "g/0 of o: once, held" in shown.output
    assert run(main, ["state", "check", str(tmp_path)]).exit_code == 0
    exported = run(main, ["state", "export", str(tmp_path)]).output.splitlines()
    assert {msgspec.json.decode(line)["kind"] for line in exported} == {"guest", "end"}
    refused = run(main, ["state", "compact", str(tmp_path)])
    assert refused.exit_code == 2 and "in use" in refused.output
    made.close()
    assert run(main, ["state", "compact", str(tmp_path)]).exit_code == 0
    log = tmp_path / "log-2"
    log.write_bytes(log.read_bytes() + frames.batch([end(2)]).replace(b"done", b"dome"))
    bad = run(main, ["state", "check", str(tmp_path)])
    assert bad.exit_code == 1 and "log-2: damaged" in bad.output and "incomplete" in bad.output
    assert run(main, ["state", "compact", str(tmp_path)]).exit_code == 2


class SlowDisk(RealDisk):
    """A real disk whose syncs can be made to hang."""

    hang = 0.0

    def sync(self, name: str) -> None:
        import time

        time.sleep(self.hang)
        super().sync(name)


def test_a_disk_that_hangs_counts_as_failed_and_is_taken_again_when_it_works(tmp_path: Path) -> None:
    on = SlowDisk(tmp_path)

    async def run() -> None:
        net = MemoryNet()
        made = replace(sheet(), state=replace(sheet().state, retry_ms=50.0, slow_ms=60.0))
        planner = Planner(made, 1, net, disk=on)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await nursery.start(planner.run)
                engine = planner.engine

                async def take(guest: str) -> None:
                    engine.owner_said(
                        net.now(),
                        "o",
                        m.Submit(
                            guest=guest, product="plain", service="s", cores=1.0, memory=1.0, patience=60 * S
                        ),
                    )
                    planner.driver.carry_out()
                    await planner.keeper.drained()

                await take("g1")
                on.hang = 0.5
                await take("g2")
                assert planner.keeper.failed and not engine.kept_well
                await take("g3")  # nothing waits for the disk any more
                on.hang = 0.0
                while planner.keeper.failed:
                    await trio.sleep(0.02)
                await take("g4")
                nursery.cancel_scope.cancel()

    trio.run(run)
    on.unlock()
    assert [i.guest for i in store.read(on, "p0").ledger.images("guest")] == ["g1", "g2", "g3", "g4"]


def test_a_process_takes_over_from_another_and_no_owner_sees_an_error(tmp_path: Path) -> None:
    import subprocess
    import sys

    from hazelhold.client import TaskRequest, open_client
    from hazelhold.rehearse.ports import free_ports

    door = f"127.0.0.1:{free_ports(1)[0]}"
    made = sheet()
    made = replace(made, listen=door, list=replace(made.list, address="127.0.0.1:1"))
    file = tmp_path / "planner.json5"
    made = replace(made, state=replace(made.state, folder=str(tmp_path / "s")))
    file.write_bytes(msgspec.json.encode(made))

    def start(*more: str) -> subprocess.Popen:
        command = [sys.executable, "-m", "hazelhold", "planner", "--config", str(file), "--ready", *more]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        assert process.stdout.readline()
        return process

    async def run(first: subprocess.Popen) -> subprocess.Popen:
        async with open_client("c", {"p0": door}, seed=1) as client:
            async with trio.open_nursery() as nursery:
                wanted = TaskRequest("g", "once", "s", 1.0, 1.0, 4_900_000, "exclusive")
                nursery.start_soon(client.place, wanted)
                await trio.sleep(0.5)
                second = await trio.to_thread.run_sync(start, "--take-over")
                assert first.wait(5) == 0
                while not client.core.up["p0"]:
                    await trio.sleep(0.01)
                assert (await client.query("g")).state == "held"
                nursery.cancel_scope.cancel()
        return second

    first = start()
    second = None
    try:
        second = trio.run(run, first)
    finally:
        for process in (first, second):
            if process is not None and process.poll() is None:
                process.terminate()
                process.wait(10)
