"""The lease on the list of this project's own protocol: questions to the list service, and what waits."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import pytest
import trio
from trio.testing import MockClock

from hazelhold.audit.rules import Audit
from hazelhold.capture.read import read
from hazelhold.capture.replay import replay
from hazelhold.capture.skips import Skips
from hazelhold.config.planner import PlannerConfig
from hazelhold.engine.list_lease import ListLease
from hazelhold.engine.list_questions import MAX_OPEN, SILENCE_TIMEOUT, ListQuestions
from hazelhold.engine.records import Disconnect
from hazelhold.engine.settings import engine_settings
from hazelhold.model.listing import ListService
from hazelhold.protocol import messages as m
from hazelhold.protocol.record import RecordedMessage, Recorder, read_record
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import MemoryNet
from hazelhold.service.planner import Planner
from hazelhold.standin.list_service import ListHost
from tests.broken_variants import Variant, assert_caught, patched
from tests.helpers import MS, ConfirmedHarness, EngineHarness, planner_config

LEASE = 200 * MS  # four fifths of the default grace
INTERVAL = LEASE // 2
GREETING = m.Welcome(name="list", confirms=True)


def with_grace(drain_grace_ms: float) -> PlannerConfig:
    """A planner's configuration with this grace period for drains."""
    config = planner_config()
    fleet = msgspec.structs.replace(config.estate.fleet, drain_grace_ms=drain_grace_ms)
    estate = msgspec.structs.replace(config.estate, fleet=fleet)
    return msgspec.structs.replace(config, estate=estate)


# The questions.


def questions() -> ListQuestions:
    made = ListQuestions()
    made.connected(answers=True)
    made.begin(0)
    return made


def test_questions_follow_one_another_by_half_the_lease() -> None:
    made = questions()
    assert made.due() == 0 and made.ask(0, LEASE) == 1
    assert made.due() == INTERVAL and made.ask(INTERVAL - 1, LEASE) is None
    assert made.ask(INTERVAL, LEASE) == 2


@pytest.mark.parametrize("grace_ms,lease", [(250.0, 200 * MS), (10.0, 8 * MS), (0.0001, 1)])
def test_a_short_grace_is_a_short_lease_and_never_none(grace_ms: float, lease: int) -> None:
    """A lease of 0 would mean that no confirmation is required."""
    settings = engine_settings(with_grace(grace_ms))
    assert settings.list_lease == lease
    made = questions()
    made.ask(0, lease)
    assert made.due() == max(5 * MS, lease // 2)


def test_an_answer_counts_as_of_its_question_and_settles_those_before() -> None:
    made = questions()
    for now in range(3):
        made.ask(now * INTERVAL, LEASE)
    assert made.answered(3 * INTERVAL, 2) == INTERVAL
    assert made.answered(3 * INTERVAL, 1) is None  # overtaken
    assert list(made.open) == [3]
    assert made.answered(3 * INTERVAL, 9) is None  # never asked


def test_only_so_many_questions_are_open() -> None:
    made = questions()
    asked = [made.ask(now * INTERVAL, LEASE) for now in range(2 * MAX_OPEN)]
    assert [number for number in asked if number] == list(range(1, MAX_OPEN + 1))
    assert made.due() == SILENCE_TIMEOUT
    assert made.answered(MAX_OPEN * INTERVAL, MAX_OPEN) is not None and not made.open


def test_nothing_is_asked_before_a_listing_nor_of_a_service_that_confirms_nothing() -> None:
    made = ListQuestions()
    made.begin(0)
    assert made.due() is None and made.ask(0, LEASE) is None
    made.connected(answers=False)
    made.begin(0)
    assert made.due() is None and made.ask(0, LEASE) is None
    made.connected(answers=True)
    assert made.due() is None and made.ask(0, LEASE) is None


def test_the_answer_of_an_earlier_connection_is_none() -> None:
    made = questions()
    made.ask(0, LEASE)
    made.connected(answers=True)
    made.begin(INTERVAL)
    assert made.ask(INTERVAL, LEASE) == 2
    assert made.answered(INTERVAL, 1) is None and made.answered(INTERVAL, 2) == INTERVAL


# The list service's side.


def listed(name: str, mode: str = "ready") -> m.Entry:
    return m.Entry(
        machine=name, address="at-" + name, mode=mode, kind="box", cores_room=24.0, memory_room=40.0
    )


def service() -> ListService:
    made = ListService(1, 0, (0, 0), 500 * MS, (0, 0))
    made.set(0, listed("a"), 0)
    made.watched(0, "p", 0)
    made.advance(0)
    made.out.clear()
    return made


def test_a_change_that_was_not_sent_yet_precedes_the_answer() -> None:
    made = service()
    made.set(10 * MS, listed("a", "cordoned"), 0)
    made.confirm(10 * MS, "p", 7)
    (_, listing), (_, answer) = made.out
    assert [entry.mode for entry in listing.entries] == ["cordoned"] and not listing.whole
    assert answer == m.ListConfirmed(number=7)
    made.out.clear()
    made.confirm(10 * MS, "p", 8)
    assert made.out == [("p", m.ListConfirmed(number=8))]  # nothing is sent twice


def test_a_planner_without_a_list_gets_no_answer_nor_does_any_while_the_service_is_down() -> None:
    made = service()
    made.confirm(MS, "other", 1)
    made.watched(MS, "other", 0)
    made.watchers.pop("other", None)
    made.down = True
    made.confirm(MS, "p", 2)
    assert made.out == []


# The engine.


class SilentHarness(EngineHarness):
    """A harness whose list service greets as one that confirms, and is answered for by hand."""

    def __init__(self, confirms: bool = True) -> None:
        self.greeting = m.Welcome(name="list", confirms=confirms)
        self.asked: list[int] = []
        super().__init__("")
        self.greet(0)

    def greet(self, now: int) -> None:
        self.engine.list_greeted(now, self.greeting)
        self.lists(now, [self.entry(name) for name in "ab"], whole=True)

    def asked_list(self, now: int, number: int) -> None:
        self.asked.append(number)

    def answer(self, now: int) -> None:
        """Answers the last question."""
        self.engine.list_said(now, m.ListConfirmed(number=self.asked[-1]))
        self.run(now)


def test_a_guest_waits_until_the_list_is_confirmed_and_is_refused_in_time_if_it_never_is() -> None:
    harness = SilentHarness()
    harness.submits(0, "g")
    assert harness.asked == [1] and not harness.sent(m.Offer)
    harness.answer(MS)
    harness.run(100 * MS)
    assert len(harness.sent(m.Offer, "g")) == 1
    harness.submits(1000 * MS, "late", patience=1000 * MS)
    for now in range(1000, 2100, 50):
        harness.run(now * MS)
    assert not harness.sent(m.Offer, "late") and len(harness.sent(m.GuestRefused, "late")) == 1


def submit_after_a_late_answer() -> None:
    """An answer that comes after more than a lease: its machine may have begun to drain meanwhile."""
    harness = SilentHarness()
    harness.answer(LEASE + 10 * MS)
    harness.submits(LEASE + 10 * MS, "g")
    assert not harness.sent(m.Offer)


def test_a_late_answer_confirms_the_list_as_of_its_question() -> None:
    submit_after_a_late_answer()


def test_answers_taken_as_of_their_arrival_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    answered = patched((ListQuestions, "answered", lambda self, now, number: now))
    assert_caught(Variant(submit_after_a_late_answer, answered), monkeypatch)


def test_an_answer_that_changes_nothing_asks_for_no_decision() -> None:
    """Each decision costs a planner that has nothing to do its processor time, some ten times a second."""
    harness = SilentHarness()
    assert harness.engine.list_said(0, m.ListConfirmed(number=1)) is True
    harness.run(INTERVAL)
    assert harness.engine.list_said(INTERVAL, m.ListConfirmed(number=2)) is False
    assert (
        harness.engine.list_said(INTERVAL, m.ListConfirmed(number=2)) is False
    )  # no question of that number
    for now in range(2, 2 + MAX_OPEN):
        harness.run(now * INTERVAL)
    assert harness.engine.list_said(LEASE * MAX_OPEN, m.ListConfirmed(number=harness.asked[-1])) is True


def test_slow_answers_renew_the_lease_as_long_as_each_takes_less_than_half_of_it() -> None:
    harness = SilentHarness()
    arrivals: dict[int, list[int]] = {}
    for now in range(0, 2000, 10):
        asked = len(harness.asked)
        for number in arrivals.pop(now, ()):
            harness.engine.list_said(now * MS, m.ListConfirmed(number=number))
        harness.run(now * MS)
        for number in harness.asked[asked:] if now else harness.asked:
            arrivals.setdefault(now + 90, []).append(number)
        if now >= 100:
            assert harness.engine.lease.holds(now * MS), now


def test_a_service_of_an_earlier_version_is_believed_until_one_that_confirms_takes_its_place() -> None:
    harness = SilentHarness(confirms=False)
    harness.submits(10_000 * MS, "g")
    assert len(harness.sent(m.Offer, "g")) == 1 and not harness.asked
    harness.greeting = GREETING
    harness.greet(11_000 * MS)
    harness.submits(11_000 * MS, "h")
    assert harness.asked and not harness.sent(m.Offer, "h")
    harness.answer(11_001 * MS)
    assert len(harness.sent(m.Offer, "h")) == 1


def test_the_lease_goes_on_over_a_new_connection_and_answers_of_the_old_one_are_none() -> None:
    harness = SilentHarness()
    harness.answer(0)
    harness.run(INTERVAL)
    old = harness.asked[-1]
    harness.engine.list_failed(INTERVAL)
    harness.greet(INTERVAL + MS)
    harness.engine.list_said(INTERVAL + MS, m.ListConfirmed(number=old))
    assert harness.engine.lease.confirmed_as_of == 0
    assert harness.engine.lease.holds(LEASE) and not harness.engine.lease.holds(LEASE + 1)


def hang_ups(harness: EngineHarness, now: int) -> int:
    harness.engine.pump(now)
    actions, harness.engine.actions = harness.engine.actions, []
    return sum(isinstance(action, Disconnect) and action.role == "list" for action in actions)


def test_a_connection_on_which_nothing_is_answered_is_closed_once() -> None:
    harness = SilentHarness()
    found = [now for now in range(0, 5000, 50) if hang_ups(harness, now * MS)]
    assert found == [SILENCE_TIMEOUT // MS]


def test_a_process_that_was_paused_reads_before_it_closes_the_connection() -> None:
    harness = SilentHarness()
    harness.run(INTERVAL)
    harness.submits(INTERVAL, "g")
    assert hang_ups(harness, 10_000 * MS) == 0 and not harness.sent(m.Offer)
    harness.answer(10_000 * MS)  # read only now
    assert not harness.sent(m.Offer)


def test_another_grace_at_run_time_is_another_lease() -> None:
    harness = ConfirmedHarness()
    harness.engine.reconfigure(engine_settings(with_grace(100.0)))
    as_of = harness.engine.lease.confirmed_as_of
    assert harness.engine.lease.holds(as_of + 80 * MS) and not harness.engine.lease.holds(as_of + 81 * MS)


def test_another_grace_does_not_bind_a_planner_whose_list_service_confirms_nothing() -> None:
    harness = SilentHarness(confirms=False)
    harness.engine.reconfigure(engine_settings(planner_config()))
    assert harness.engine.lease.holds(10**12)


# Planners, a list service and machines, in virtual time.

RULES = {
    "t": "rules",
    "max_dispatches": 4,
    "drain_grace": 250 * MS,
    "products": {"plain": {"effect": "rerunnable", "group": "all", "spread": "nowhere", "spread_most": 1}},
}
SILENCE_S = 1.5  # less than after which a planner dials the list service again


class Rig:
    """Two planners, a list service and two machines that take all they are offered."""

    def __init__(self, folder: Path, capture: str = "") -> None:
        self.folder, self.net = folder, MemoryNet()
        self.service = ListService(1, 0, (0, 0), 500 * MS, (0, 0))
        self.list_host = ListHost(self.net, self.service, self.recorder("list", "list"))
        self.planners: list[Planner] = []
        for number in range(2):
            config = planner_config()
            config = msgspec.structs.replace(
                config,
                name=f"p{number}",
                listen=f"door{number}",
                capture=msgspec.structs.replace(
                    config.capture, file=capture if capture and not number else ""
                ),
            )
            recorder = self.recorder(config.name, "planner")
            self.planners.append(Planner(config, 1, self.net, recorder))
        self.offers: list[tuple[int, str]] = []

    def recorder(self, by: str, role: str) -> Recorder:
        return Recorder(self.folder / f"{by}.jsonl", by, role)

    async def open(self, nursery: trio.Nursery) -> None:
        await self.list_host.run("list", nursery)
        for name in "ab":
            self.set(name, "ready")
            await self.net.listen(
                "at-" + name, lambda stream, name=name: self._machine(stream, name), nursery
            )
        for planner in self.planners:
            await nursery.start(planner.run)

    def set(self, name: str, mode: str) -> None:
        """Changes a machine's mode at the list service, which tells it in its next round."""
        self.service.set(self.net.now(), listed(name, mode), 0)
        self.list_host.ticker.notify()

    async def _machine(self, stream: trio.abc.Stream, name: str) -> None:
        connection = MessageConnection(stream, m.Codec(m.TO_MACHINE), self.net.now)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.write)
            await connection.first(m.Hello, 5.0)
            connection.send(m.Welcome(name=name, incarnation=0))
            async for message in connection.messages():
                if isinstance(message, m.InventoryRequest):
                    connection.send(m.Inventory(guests=[]))
                elif isinstance(message, m.Offer):
                    self.offers.append((self.net.now(), name))
                    about = {"guest": message.guest, "ask": message.ask, "attempt": message.attempt}
                    connection.send(m.OfferAccepted(**about))
            connection.cut()

    async def submit(self, planner: int, guests: int, interval_s: float, name: str = "g") -> None:
        """An owner submits guests to one planner, one after another."""
        stream = await self.net.dial(f"door{planner}")
        await stream.send_all(m.encode(m.Hello(role="owner", name=f"o-{name}")))
        for number in range(guests):
            submit = m.Submit(
                guest=f"{name}{number}",
                product="plain",
                service=f"s{number}",  # so that they go to both machines
                cores=0.1,
                memory=0.1,
                patience=5_000_000,
            )
            await stream.send_all(m.encode(submit))
            await trio.sleep(interval_s)

    def violations(self) -> list[str]:
        """What the audit finds in the records."""
        rules = RecordedMessage(0, "rehearsal", "rehearsal", "", "rules", RULES)
        found = [c for file in sorted(self.folder.glob("*.jsonl")) for c in read_record(file)]
        return [f"{v.rule}: {v.what}" for v in Audit([rules, *found]).violations()]


def play(folder: Path, test: Callable[[Rig], Awaitable[None]], capture: str = "") -> Rig:
    folder.mkdir(exist_ok=True)
    rigs = []

    async def run() -> None:
        rig = Rig(folder, capture)
        rigs.append(rig)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await rig.open(nursery)
                await trio.sleep(2)
                await test(rig)
                for planner in rig.planners:
                    planner.stop()
                await trio.sleep(4)
                nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))
    return rigs[0]


async def drain_unheard(rig: Rig) -> None:
    """Machine `a` drains while the list service's messages do not reach the first planner."""
    rig.list_host.server.muted = lambda planner: planner == "p0"
    rig.set("a", "cordoned")
    await rig.submit(0, 30, SILENCE_S / 30)
    rig.silent_until = rig.net.now()
    rig.list_host.server.muted = lambda planner: False
    await trio.sleep(2)


def assert_nothing_goes_to_it(folder: Path) -> None:
    rig = play(folder, drain_unheard)
    told_at = 2_000 * MS
    late = [at for at, name in rig.offers if name == "a" and at > told_at + 750 * MS]
    assert late == [] and rig.violations() == []
    assert len([at for at, _ in rig.offers if at >= rig.silent_until]) > 20  # the held ones, once it answers


def test_nothing_goes_to_a_machine_whose_drain_the_planner_could_not_hear(tmp_path: Path) -> None:
    assert_nothing_goes_to_it(tmp_path / "records")


def test_a_planner_that_takes_any_list_for_current_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    variant = patched((ListLease, "holds", lambda self, now: True))
    assert_caught(Variant(lambda: assert_nothing_goes_to_it(tmp_path / "records"), variant), monkeypatch)


def test_the_audit_finds_it_by_what_others_were_told(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ListLease, "holds", lambda self, now: True)
    rig = play(tmp_path / "records", drain_unheard)
    assert set(rig.violations()) == {"3: a dispatch to a machine that others were told cordoned"}


def test_while_the_list_service_answers_guests_are_placed_as_they_come(tmp_path: Path) -> None:
    async def test(rig: Rig) -> None:
        await rig.submit(0, 40, 0.1)

    rig = play(tmp_path / "records", test)
    assert len(rig.offers) == 40 and rig.violations() == []
    assert all(planner.engine.counts["list_lapses"] <= 1 for planner in rig.planners)


def test_an_offer_that_waited_until_the_lease_was_over_is_not_sent(tmp_path: Path) -> None:
    """As one does whose state a slow disk commits: decided in time, and sent too late."""

    async def test(rig: Rig) -> None:
        planner = rig.planners[0]
        waiting: list = []
        perform, planner.driver.perform = planner.driver.perform, waiting.append
        await rig.submit(0, 1, 0.05)
        planner.driver.perform = perform
        assert any(isinstance(getattr(action, "message", None), m.Offer) for action in waiting)
        rig.list_host.server.muted = lambda name: name == "p0"
        await trio.sleep(1)
        for action in waiting:
            perform(action)
        await trio.sleep(0.1)
        assert rig.offers == [] and planner.counts["offers_held_back"] == 1
        rig.list_host.server.muted = lambda name: False
        await trio.sleep(3)
        assert len(rig.offers) == 1

    file = tmp_path / "planner.pcap"
    play(tmp_path / "records", test, str(file))
    assert replayed(file)["same"]


# Captures.


def replayed(file: Path) -> dict:
    return replay(read([file], Skips()))


def test_a_capture_with_a_silence_of_the_list_service_replays_to_the_same_decisions(tmp_path: Path) -> None:
    file = tmp_path / "planner.pcap"
    play(tmp_path / "records", drain_unheard, str(file))
    found = replayed(file)
    assert found["same"] and found["planners"][0]["compared"] > 50
