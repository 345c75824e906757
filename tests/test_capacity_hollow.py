"""The scale rig: hollow workers speak the protocol, and what they count is what planners count."""

import os
import resource
import subprocess
import sys
from collections import Counter
from pathlib import Path

import msgspec
import pytest

from bench.capacity import rows_hollow, rows_lists, rows_members, rows_voters
from bench.capacity.hollow import claims, membership, run_folder
from bench.capacity.hollow.course import run
from bench.capacity.hollow.loop import now_us
from bench.capacity.hollow.messages import Drive, Status
from bench.capacity.hollow.results import Trial
from bench.capacity.hollow.rig import Rig, refusal
from bench.capacity.hollow.tally import HEAD, Flow, PeerFlows, kind_of
from bench.capacity.hollow.worker import Worker
from bench.capacity.registry import RefusedError
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import RecordedMessage, read_record

SECOND = 1_000_000
WORKERS = 20
RATE = 10.0  # tasks a second, each planner


def worker() -> Worker:
    return Worker("w", 0, 0, task_life=SECOND, use_period=SECOND // 4)


def said(each: Worker) -> list[m.Message]:
    answers, each.answers = each.answers, []
    return [answer.message for answer in answers]


def offer(attempt: int = 0) -> m.Offer:
    return m.Offer(guest="g", attempt=attempt, product="p", service="s", cores=1.0, memory=1.0)


def kinds(messages: list[m.Message]) -> list[str]:
    return [message.__struct_config__.tag for message in messages]


def test_a_second_offer_starts_nothing_twice() -> None:
    made = worker()
    made.hear(0, "planner", offer())
    assert kinds(said(made)) == ["taken", "started", "use"]
    made.hear(1, "planner", offer(attempt=1))
    again = said(made)
    assert kinds(again) == ["taken"] and again[0].attempt == 1
    assert sum(due.what == "end" for due in made.dues) == 1


def test_an_accepted_task_stands_against_a_withdrawal_and_ends_once() -> None:
    made = worker()
    made.hear(0, "planner", offer())
    said(made)
    made.hear(1, "planner", m.Withdraw(guest="g"))
    assert kinds(said(made)) == ["taken"]
    ends = [due for due in made.dues if due.what == "end"]
    for _ in range(2):
        made.act(SECOND, ends[0])
    assert [(e.how, e.guest) for e in said(made)] == [("done", "g")]
    made.hear(2 * SECOND, "planner", m.Withdraw(guest="g"))
    assert [e.how for e in said(made)] == ["done"]


def test_a_roll_call_tells_what_runs_and_what_ended_of_that_planner_alone() -> None:
    made = worker()
    made.hear(0, "planner", offer())
    made.hear(0, "other", offer())
    made.act(SECOND, made.dues[0])
    said(made)
    for planner, state in (("planner", "ended"), ("other", "runs"), ("third", None)):
        made.hear(SECOND, planner, m.InventoryRequest())
        (running,) = said(made)
        assert [stand.state for stand in running.guests] == ([state] if state else [])


def test_a_restart_is_a_new_incarnation_that_holds_nothing() -> None:
    made = worker()
    made.hear(0, "planner", offer())
    due = made.dues[0]
    made.restart(SECOND)
    assert made.welcome(2 * SECOND) == m.Welcome(name="w", incarnation=2, up_for=SECOND)
    made.act(2 * SECOND, due)
    made.hear(2 * SECOND, "planner", m.InventoryRequest())
    assert said(made) == [m.Inventory(guests=[])]


@pytest.mark.parametrize(
    "message",
    [m.InventoryRequest(), m.Probe(number=3), offer(), m.Hello(role="planner", name="p"), m.Watch()],
)
def test_the_kind_of_a_message_is_read_from_its_head(message: m.Message) -> None:
    assert kind_of(m.ENCODER.encode(message)) == message.__struct_config__.tag


def test_a_size_past_the_descriptors_is_refused_with_its_reason() -> None:
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    assert "descriptors" in refusal(Trial(workers=limit + 1, planners=1, told_planners=1))
    assert not refusal(Trial(workers=WORKERS, planners=2, told_planners=2))


def planner_counts(record: Path, kind: str) -> dict[str, dict[str, Flow]]:
    """Messages and bytes by way and type, as a planner recorded them, over all its peers of a kind."""
    found: dict[str, dict[str, Flow]] = {"in": {}, "out": {}}
    for crossing in read_record(record):
        if crossing.message is None or not crossing.peer.startswith(kind):
            continue
        size = HEAD + len(msgspec.msgpack.encode(crossing.message))
        found[crossing.way].setdefault(crossing.message["t"], Flow()).add(Flow(1, size))
    return found


def openings(record: Path, worker_name: str) -> list[RecordedMessage]:
    return [c for c in read_record(record) if c.peer == worker_name and c.way == "open"]


def incarnations(record: Path, worker_name: str) -> list[int]:
    """Of one worker, in the order in which the list told the planner of them."""
    told = [c.message for c in read_record(record) if c.peer == "list" and c.way == "in"]
    entries = [e for said in told if said["t"] == "listing" for e in said["entries"]]
    return [e["incarnation"] for e in entries if e["machine"] == worker_name]


def test_real_planners_place_tasks_on_hollow_workers_and_both_sides_count_the_same() -> None:
    trial = Trial(
        workers=WORKERS,
        planners=2,
        told_planners=2,
        task_life=0.5,
        use_period=0.2,
        down=0.3,
        workers_a_process=12,
        record=True,
    )
    began = now_us()
    with Rig(trial) as rig:
        rig.start_planners()
        assert rig.until(rig.all_ready, 20), rig.hollow_counts().ready
        rig.start_owners()
        place_and_end(rig)
        restart(rig)
        # a message may be under way while both sides are read
        assert rig.until(lambda: not differences(rig), 20), differences(rig)
        assert not rig.hollow_counts().faults
    assert now_us() - began < 60 * SECOND


def place_and_end(rig: Rig) -> None:
    """Tasks are submitted for a second; all are placed, and all their ends are told to their owners."""
    rig.owners.ask(Drive(RATE))
    assert rig.until(lambda: rig.owners.ask(Status()).submitted >= 2 * RATE, 10)
    rig.owners.ask(Drive(0.0))
    assert rig.until(lambda: rig.owners.ask(Status()).ended == rig.owners.ask(Status()).submitted, 10)
    counts = rig.owners.ask(Status())
    assert counts.placed == counts.submitted and not counts.refused
    flows = rig.hollow_counts().flows
    offers = sum(flows[name].received["offer"].messages for name in rig.names())
    assert offers >= counts.placed


def restart(rig: Rig) -> None:
    """One worker comes back in a new life: every planner hears of it and calls its roll again."""
    before = rolls(rig)
    rig.restart_zone(0)
    assert rig.until(lambda: rig.hollow_counts().restarts == 1, 5)
    assert rig.until(rig.all_ready, 10)
    assert all(rolls(rig)[name] > before[name] for name in rig.names())
    for name in rig.names():
        assert rig.until(lambda name=name: incarnations(rig.record_of(name), "worker-00000")[-1] == 2, 10)
        assert len(openings(rig.record_of(name), "worker-00000")) >= 2
        assert len(openings(rig.record_of(name), "worker-00001")) == 1


def rolls(rig: Rig) -> Counter[str]:
    """Roll calls that the workers heard, by planner."""
    flows = rig.hollow_counts().flows
    return Counter({name: flows[name].received["roll"].messages for name in rig.names()})


def differences(rig: Rig) -> list[str]:
    """Where a planner's counts are not those of its far sides, by type of message. A planner does not record
    a worker's or the list's welcome, which is one for each hello."""
    far = {"worker": rig.hollow_counts().flows, "list": rig.lister.ask(Status()).flows}
    found = []
    for name in rig.names():
        for kind, flows in far.items():
            theirs: PeerFlows = flows[name]
            mine = planner_counts(rig.record_of(name), kind)
            sent = {key: flow for key, flow in theirs.sent.items() if key != "welcome"}
            heard, told, received = mine["in"], mine["out"], theirs.received
            if kind == "list":
                found += question_differences(name, rig, theirs, mine)
                sent, heard, told, received = map(without_questions, (sent, heard, told, received))
            if sent != heard:
                found.append(f"{name} heard {heard} of {kind}, which sent {sent}")
            if received != told:
                found.append(f"{name} sent {told}, {kind} heard {received}")
            if theirs.sent["welcome"].messages != theirs.received["hello"].messages:
                found.append(f"{kind} has not answered each hello of {name}")
    return found


def without_questions(flows: dict[str, Flow]) -> dict[str, Flow]:
    return {key: flow for key, flow in flows.items() if key not in ("confirm", "confirmed")}


def question_differences(
    name: str, rig: Rig, before: PeerFlows, mine: dict[str, dict[str, Flow]]
) -> list[str]:
    """The same for questions to the list service, of which one is under way at nearly any time: what the
    planner counted lies between what the service had counted before and what it counts after."""
    after = rig.lister.ask(Status()).flows[name]
    found = []
    for key, early, counted, late in (
        ("confirm", before.received, mine["out"], after.received),
        ("confirmed", before.sent, mine["in"], after.sent),
    ):
        counts = [flows.get(key, Flow()) for flows in (early, counted, late)]
        messages = [flow.messages for flow in counts]
        if messages != sorted(messages) or [f.bytes for f in counts] != sorted(f.bytes for f in counts):
            found.append(f"{name} counted {counts[1]} of {key}, the list service {counts[0]} to {counts[2]}")
        if not messages[0]:
            found.append(f"{name} has no {key} yet")
    return found


def test_every_row_is_read_off_a_trial() -> None:
    """All phases of a small trial; each row of planners and of the list service has a value of it."""
    result = run(
        Trial(
            workers=12,
            planners=2,
            told_planners=60,
            task_life=0.5,
            settle=0.2,
            rest=0.5,
            warm=0.5,
            load=1.0,
            down=0.2,
        )
    )
    assert result.submitted == result.placed == result.ended > 0 and not result.refused
    assert result.zone_workers == 1 and not result.faults
    for planner in result.planners:
        for quantity in rows_hollow.QUANTITIES + rows_hollow.DEFAULT_QUANTITIES:
            rows_hollow.whole(result, quantity)
            assert quantity.value(planner) >= 0, quantity.key
        assert planner.ready == 12 and planner.phases["load"].bytes_a_second() > 0
        assert planner.uses["rest"].descriptors > 12 and planner.uses["rest"].resident > 1 << 20
        worker_side = planner.phases["load"].ways["worker"]
        assert worker_side.incoming.messages > worker_side.outgoing.messages > 0
    for quantity in rows_lists.QUANTITIES:
        assert quantity.value(result.lister) >= 0, quantity.key
    told = result.lister.phases["start"].ways["list"].outgoing.bytes
    heard = sum(planner.phases["start"].ways["list"].incoming.bytes for planner in result.planners)
    assert told == heard > 0


def test_links_that_never_stand_are_told() -> None:
    """A planner whose dials have no time has no link, and the trial says so."""
    trial = Trial(
        workers=12,
        planners=1,
        told_planners=60,
        connect_ms=0.001,
        most_start=1.5,
        settle=0.0,
        start_only=True,
    )
    result = run(trial)
    assert [planner.ready for planner in result.planners] == [0]
    assert [planner.phases["start"].complete for planner in result.planners] == [False]
    with pytest.raises(RefusedError, match="0 of 12 links"):
        rows_hollow.whole(result, rows_hollow.QUANTITIES[0])


def test_a_real_planner_joins_hollow_members() -> None:
    found = membership.run(4, settle=0.5, span=1.5)
    assert found.knowing == 3
    assert found.incoming.messages > 0 and found.outgoing.messages > 0
    assert all(quantity.value(found) >= 0 for quantity in rows_members.QUANTITIES)


def test_claims_among_real_planners_are_counted() -> None:
    trial = Trial(workers=6, planners=3, told_planners=60, rate=4.0, task_life=0.3, settle=1.0, load=0.5)
    found = claims.run(trial)
    assert found.repeatable.placed == found.repeatable.submitted > 0
    assert not found.repeatable.said.messages
    assert found.once.placed > 0 and found.once.said.messages > 2 * found.once.placed
    assert all(quantity.value(found) >= 0 for quantity in rows_voters.QUANTITIES)


def test_the_folders_of_killed_runs_are_removed_and_no_others(tmp_path: Path) -> None:
    ended = subprocess.Popen([sys.executable, "-c", ""])
    ended.wait()
    names = f"{run_folder.PREFIX}-{ended.pid}-1", f"{run_folder.PREFIX}-{os.getpid()}-1", "other-1-1"
    left, current, foreign = (tmp_path / name for name in names)
    for folder in (left, current, foreign):
        folder.mkdir()
        (folder / "file").write_text("x")
    run_folder.clear_left(tmp_path)
    assert sorted(each.name for each in tmp_path.iterdir()) == sorted([current.name, foreign.name])
