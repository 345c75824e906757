"""Process checks: one guest is moved to learn whether a machine still runs the process that had its guests.

A planner was restarted during an outage of discovery, and its owners hand over what their machine had. The
machine does not report what guests use, and by its load reports it has none. Either its process was replaced
and all of them are over, or they use little. On the platform a machine was seen to report the end of each
guest that was moved within 2 ms, with cause 31, and nothing about an end that a planner sent to it.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import pytest
import trio
import trio.testing

from hazelhold.engine import process_checks
from hazelhold.engine.process_checks import ProcessChecks
from hazelhold.engine.records import ProcessCheck, ProcessFinding
from hazelhold.platform.codec import MOVE
from tests.faults.judge import RELEASE_AT_LATEST
from tests.platform_rig import DEPLOYMENT, PLACED, Machine, Owner, Rig, end, event, host, play, set_up, until

MOVED = [(MOVE, None)]
ALL_FREE, IN_USE = "x0:26;x1:41", "x0:20;x1:30"
GUESTS = (1, 2, 3)
STOP_AND_START = 4.5  # seconds: the longest stop and the start of a planner
DECIDED = RELEASE_AT_LATEST - STOP_AND_START  # seconds after the handover
STOPPED_BY_MOVE, DONE, CUT = 31, 16, 41  # causes of ends


class Handover(NamedTuple):
    """A planner to which guests were handed over on machine `a` in an outage; `at` is when."""

    rig: Rig
    owner: Owner
    machine: Machine
    at: float

    async def moved(self) -> int:
        """Waits for the first move; returns its guest."""
        await until(lambda: any(each.type == MOVE for each in self.owner.heard))
        return next(int(each.id, 16) for each in self.owner.heard if each.type == MOVE)

    async def report_move(self) -> None:
        await self.machine.end(f"{await self.moved():016x}", STOPPED_BY_MOVE)

    async def until_decided(self) -> None:
        await trio.sleep_until(self.at + DECIDED)

    def moves(self) -> int:
        return sum(each.type == MOVE for each in self.owner.heard)

    def finding(self) -> ProcessFinding | None:
        return self.rig.planner.engine.process_checks["a"].finding


def handed_over(guest: int, product: str = "plain", cores: float = 1, memory: float = 2) -> object:
    return set_up(guest, product, figures=f"cores:{cores:g};memory:{memory:g};service:1;at:a")


def play_handover(
    test: Callable[[Handover], Awaitable[None]], load: str = ALL_FREE, guests: tuple = (), **changes: object
) -> None:
    """Plays a test after the handover of `guests`, or of GUESTS."""

    async def story(rig: Rig) -> None:
        rig.machines["a"].load = load
        rig.bulletin.silent = True
        owner = await rig.owner()
        await trio.sleep(1.0)
        await owner.say(*(guests or [handed_over(guest) for guest in GUESTS]))
        await test(Handover(rig, owner, rig.machines["a"], trio.current_time()))

    play(story, machines="a", **changes)


def test_guests_of_a_process_that_has_been_replaced_are_moved_in_time() -> None:
    """The listed failure: they were never released, since no message tells them from guests that run."""

    async def test(handover: Handover) -> None:
        await handover.until_decided()
        assert [handover.owner.of(guest) for guest in GUESTS] == [MOVED] * len(GUESTS)
        assert handover.finding() is ProcessFinding.OTHER

    play_handover(test)


@pytest.mark.parametrize("delay", [0.002, 0.7])
def test_a_process_that_reports_the_end_of_the_moved_guest_keeps_the_others(delay: float) -> None:
    """Nor is any other moved later in the outage, whatever is handed over then."""

    async def test(handover: Handover) -> None:
        await handover.moved()
        await trio.sleep(delay)
        await handover.report_move()
        await handover.until_decided()
        await handover.owner.say(handed_over(4), handed_over(5))
        await trio.sleep(10.0)
        assert handover.moves() == 1
        assert handover.finding() is ProcessFinding.SAME
        handover.rig.bulletin.silent = False
        handover.rig.bulletin.events.append(event(2, host("b")))
        await trio.sleep(3.0)
        assert handover.moves() == 1
        assert handover.rig.planner.engine.process_checks == {}

    play_handover(test)


@pytest.mark.parametrize("load, finding", [(IN_USE, ProcessFinding.IN_USE), ("", ProcessFinding.NO_REPORTS)])
def test_no_guest_is_moved_where_reports_show_guests_or_none_come(load: str, finding: ProcessFinding) -> None:
    async def test(handover: Handover) -> None:
        await trio.sleep(10.0)
        assert handover.owner.heard == []
        assert handover.finding() is finding

    play_handover(test, load)


def test_no_machine_is_probed_for_a_check_where_the_settings_say_that_none_reports_load() -> None:
    async def test(handover: Handover) -> None:
        await trio.sleep(10.0)
        assert handover.owner.heard == []
        assert handover.rig.planner.engine.process_checks == {}

    play_handover(test, settings=DEPLOYMENT | {"load-report": {"how": "off"}})


def test_no_guest_is_moved_where_the_list_is_current() -> None:
    async def test(handover: Handover) -> None:
        handover.rig.bulletin.silent = False
        handover.rig.bulletin.events.append(event(2, host("b")))
        await trio.sleep(10.0)
        assert handover.owner.heard == []
        assert handover.rig.planner.engine.process_checks == {}

    play_handover(test)


def test_a_note_on_a_guest_that_was_handed_over_makes_a_move_needless() -> None:
    async def test(handover: Handover) -> None:
        await trio.sleep(1.0)
        note = {"op": "info", "call": f"{2:016x}", "with": {"note": "up"}}
        await handover.machine.say(handover.machine.streams[-1], note)
        await trio.sleep(10.0)
        assert handover.owner.heard == []

    play_handover(test)


def other_ends_are_received() -> list[int]:
    """How many moves follow if the machine ends one guest itself and reports the end of another that its
    owner has ended, both before the question."""
    moves: list[int] = []

    async def test(handover: Handover) -> None:
        await trio.sleep(1.0)
        await handover.machine.end(f"{1:016x}", CUT)
        await handover.owner.say(end(2))
        await trio.sleep(0.1)
        await handover.machine.end(f"{2:016x}", STOPPED_BY_MOVE)
        await handover.until_decided()
        moves.append(handover.moves())

    play_handover(test, guests=tuple(handed_over(guest) for guest in (1, 2, 3, 4)))
    return moves


def test_only_the_end_of_a_move_shows_which_process_a_machine_runs() -> None:
    """The next process of a machine was seen to report with cause 41 what its last one had, and the stand-in
    servers of the soak answer an end that a planner sends with cause 31, which the platform's do not."""
    assert other_ends_are_received() == [2]


def test_if_any_end_showed_it_guests_that_are_over_would_stay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken variant: whatever a machine sends about a guest shows that its process has the others."""

    def any_message(engine: ProcessChecks, machine: str, message: object) -> None:
        if (check := engine.process_checks.get(machine)) is not None and check.finding is None:
            engine._process_found(machine, check, ProcessFinding.SAME)

    monkeypatch.setattr(ProcessChecks, "_process_reported", any_message)
    assert other_ends_are_received() == [0]


@pytest.mark.parametrize("cause", [DONE, CUT])
def test_if_the_moved_guest_had_ended_before_its_move_another_is_moved(cause: int) -> None:
    async def test(handover: Handover) -> None:
        first = await handover.moved()
        await handover.machine.end(f"{first:016x}", cause)
        await until(lambda: handover.moves() == 2)
        second = int(handover.owner.heard[-1].id, 16)
        await handover.machine.end(f"{second:016x}", STOPPED_BY_MOVE)
        await trio.sleep(5.0)
        assert handover.moves() == 2

    play_handover(test)


def moves_of_a_machine_that_hangs() -> list[int]:
    """How many guests are moved at a machine that hangs around the first move, and when it goes on."""
    moves: list[int] = []

    async def test(handover: Handover) -> None:
        await trio.sleep(process_checks.REPORT_TIME / 1e6 - 0.1)
        handover.machine.silent = True
        moved = await handover.moved()
        await trio.sleep(process_checks.ANSWER_TIMEOUT / 1e6 + 0.5)
        moves.append(handover.moves())
        handover.machine.silent = False
        await handover.machine.end(f"{moved:016x}", STOPPED_BY_MOVE)
        await trio.sleep(2.0)
        moves.append(handover.moves())

    play_handover(test)
    return moves


def test_nothing_is_decided_by_the_silence_of_a_machine_that_answers_no_probe() -> None:
    assert moves_of_a_machine_that_hangs() == [1, 1]


def test_if_probes_were_not_awaited_the_guests_of_a_machine_that_hangs_would_be_moved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Broken variant: silence counts although the machine has answered no probe."""
    step = ProcessChecks._await_report_of_move

    def at_once(engine: ProcessChecks, now: int, link: object, check: ProcessCheck) -> int:
        check.answered = True
        return step(engine, now, link, check)

    monkeypatch.setattr(ProcessChecks, "_await_report_of_move", at_once)
    assert moves_of_a_machine_that_hangs() == [3, 3]


def test_if_reports_were_not_regarded_guests_that_run_would_be_moved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Broken variant: a guest is moved whatever the reports show."""

    async def test(handover: Handover) -> None:
        await handover.until_decided()
        assert handover.moves() == len(GUESTS)

    monkeypatch.setattr(process_checks, "looks_empty", lambda reports, kinds, noise: True)
    play_handover(test, IN_USE)


@pytest.mark.parametrize("reports", [True, False])
def test_where_a_connection_ends_between_question_and_answer_the_next_one_decides(reports: bool) -> None:
    """A process that lives reports on its next connection, and the one after a process that died is silent.
    The time for the answer begins anew."""

    async def test(handover: Handover) -> None:
        moved = await handover.moved()
        handover.rig.planner.links.peer("a").reset = not reports
        connections = len(handover.machine.streams)
        await handover.machine.streams[-1].aclose()
        await until(lambda: len(handover.machine.streams) > connections)
        await trio.sleep(process_checks.ANSWER_TIMEOUT / 1e6 - 0.1)
        assert handover.moves() == 1
        if reports:
            await handover.machine.end(f"{moved:016x}", STOPPED_BY_MOVE)
        await trio.sleep(2.0)
        assert handover.moves() == (1 if reports else len(GUESTS))

    play_handover(test)


def moves_after_a_process_with_guests_died() -> list[int]:
    """How many guests are moved where the process that has them dies while its reports are collected."""
    moves: list[int] = []

    async def test(handover: Handover) -> None:
        for load in ("x0:18;x1:25", "x0:18.1;x1:25.1", "x0:18.2;x1:25"):
            handover.machine.load = load
            await trio.sleep(process_checks.PROBE_INTERVAL / 1e6)
        handover.rig.planner.links.peer("a").reset = True
        await handover.machine.streams[-1].aclose()
        handover.machine.load = ALL_FREE
        await handover.until_decided()
        moves.append(handover.moves())

    play_handover(test, IN_USE)
    return moves


def test_reports_on_an_earlier_connection_do_not_count() -> None:
    assert moves_after_a_process_with_guests_died() == [len(GUESTS)]


def test_if_they_counted_the_reports_of_two_processes_together_would_show_guests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Broken variant: a new connection begins nothing anew."""
    monkeypatch.setattr(ProcessChecks, "_start_on_new_connection", lambda engine, now, link, check: None)
    assert moves_after_a_process_with_guests_died() == [0]


def test_an_end_that_is_reported_after_the_decision_changes_nothing() -> None:
    async def test(handover: Handover) -> None:
        await handover.until_decided()
        for guest in GUESTS:
            await handover.machine.end(f"{guest:016x}", STOPPED_BY_MOVE)
        await trio.sleep(5.0)
        assert [handover.owner.of(guest) for guest in GUESTS] == [MOVED] * len(GUESTS)
        assert handover.rig.planner.engine.records == {}

    play_handover(test)


def test_a_guest_that_this_planner_placed_is_not_moved_with_those_handed_over() -> None:
    async def story(rig: Rig) -> None:
        rig.machines["a"].load = ALL_FREE
        owner = await rig.owner()
        await owner.say(set_up(9))
        await trio.sleep(2.0)
        rig.bulletin.silent = True
        await trio.sleep(0.5)
        await owner.say(*(handed_over(guest) for guest in GUESTS))
        await trio.sleep(DECIDED)
        assert [owner.of(guest) for guest in GUESTS] == [MOVED] * len(GUESTS)
        assert owner.of(9) == PLACED

    play(story, machines="a")


def test_a_move_that_reaches_no_owner_yet_shows_nothing() -> None:
    """It is told on the next connection; the others stay until the list is back."""

    async def test(handover: Handover) -> None:
        await trio.sleep(1.0)
        await handover.owner.stream.aclose()
        await trio.sleep(DECIDED)
        assert handover.finding() is ProcessFinding.NO_OWNER
        other = await handover.rig.owner()
        await other.say(handed_over(4))
        await trio.sleep(2.0)
        assert sum(each.type == MOVE for each in other.heard) == 1

    play_handover(test)


def test_the_least_costly_guest_is_moved_and_one_that_runs_at_most_once_is_the_last() -> None:
    guests = (
        handed_over(1, "once", memory=1),
        handed_over(2, memory=6),
        handed_over(3, memory=3),
        handed_over(4, cores=2, memory=3),
    )

    async def test(handover: Handover) -> None:
        assert await handover.moved() == 3

    play_handover(test, guests=guests)


def test_where_all_run_at_most_once_one_of_them_is_moved() -> None:
    async def test(handover: Handover) -> None:
        assert await handover.moved() == 2

    play_handover(test, guests=(handed_over(1, "once"), handed_over(2, "once", memory=1)))


def test_after_a_pause_what_arrived_meanwhile_is_read_before_guests_are_moved() -> None:
    async def test(handover: Handover) -> None:
        moved = await handover.moved()
        await trio.sleep(0.1)
        trio.lowlevel.current_clock().jump(5.0)
        await handover.machine.end(f"{moved:016x}", STOPPED_BY_MOVE)
        await trio.sleep(5.0)
        assert handover.moves() == 1

    play_handover(test)
