"""A server's process restarts under its name, and the list shows it after a task reached the new process.

Each test forces one order of death, connection, task and news. The rules: a task that stands is not released,
one that is over is released within 8 s of its end.
"""

import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio
import trio.testing

from hazelhold.engine import restarts
from hazelhold.engine.machine_incarnations import PreviousIncarnation, previous_incarnation_ended
from hazelhold.engine.machines import ConnectionEnd, ConnectionEvidence, Link, PastConnection
from hazelhold.engine.records import HangUp
from hazelhold.engine.restarts import MachineRestarts
from tests.faults.judge import RELEASE_AT_LATEST
from tests.platform_rig import DEPLOYMENT, PLACED, Machine, Owner, Rig, event, host, set_up
from tests.test_fault_incident import play as play_on_processes
from tests.test_fault_incident import until
from tests.test_fault_server_restart import LONG_RUN, Restarts, WithoutUseNotes, placed_on, released

REPORT_INTERVAL = 2.0  # seconds between a machine's reports on a guest
OBSERVED_FOR = 16.0  # seconds after a death in which no guest of the new process may be released
MANY_PLANNERS = 16  # each probes only the machines that it is about to choose
BEHIND = [0.0, 0.3, 1.4, 5.0]  # seconds by which the planner's clock is behind the list's
AHEAD = -1.4  # seconds behind

reporting_use = pytest.mark.parametrize("reports_use", [True, False], ids=["reports use", "no reports"])
clock_behind = pytest.mark.parametrize("behind", BEHIND)


@dataclass(frozen=True)
class RestartDecision:
    """What the planner knew when the list showed a restart, and what it concluded. Times in microseconds."""

    now: int
    started: int
    opened_at: int
    heard_at: int
    past_connections: list[PastConnection]
    sent_at: dict[str, int]
    result: PreviousIncarnation

    def __str__(self) -> str:
        past = [f"{c.opened_at / 1e6:.3f} to {c.ended_at / 1e6:.3f}" for c in self.past_connections]
        sent = {name[15:]: f"{at / 1e6:.3f}" for name, at in self.sent_at.items()}
        return (
            f"at {self.now / 1e6:.3f}: started {self.started / 1e6:.3f}, opened {self.opened_at / 1e6:.3f}, "
            f"heard {self.heard_at / 1e6:.3f}, past connections {past}, sent {sent}, "
            f"ended_at {self.result.ended_at / 1e6:.3f}, reset_at {self.result.reset_at / 1e6:.3f}"
        )


@dataclass
class Story:
    """One planner and its machine `a`, whose process dies once. Seconds of the virtual clock."""

    rig: "RestartRig"
    owner: Owner
    behind: float
    reports_use: bool
    died_at: float = 0.0
    trace: list[str] = field(default_factory=list)

    @property
    def machine(self) -> "RestartingMachine":
        return self.rig.machines["a"]

    @property
    def link(self) -> Link:
        return self.rig.planner.engine.links["a"]

    def note(self, text: str) -> None:
        self.trace.append(f"{trio.current_time():7.3f} {text}")

    async def at(self, seconds: float) -> None:
        """Waits until so many seconds after the death."""
        await trio.sleep_until(self.died_at + seconds)

    async def place(self, guest: int) -> None:
        """The planner sends a guest to the machine, which accepts it."""
        await self.owner.say(set_up(guest))
        self.note(f"guest {guest} submitted")
        await until(lambda: self.owner.of(guest))
        assert self.owner.of(guest) == PLACED
        self.note(f"guest {guest} placed, connection opened at {self.link.opened_at / 1e6:.3f}")

    def die(self) -> None:
        """The process dies and its successor accepts connections at once; nothing is read on old ones."""
        self.died_at = trio.current_time()
        self.machine.die()
        self.note("process dies")

    async def reset_old_connections(self) -> None:
        """The resets of the dead process's connections arrive."""
        self.note("reset arrives")
        if peer := self.rig.planner.links.peer("a"):
            peer.reset = True
        for stream in self.machine.dead_streams:
            await stream.aclose()

    def show_restart(self) -> None:
        """The list shows the restart, dated by a clock that is ahead of the planner's."""
        self.note("list shows the restart")
        born = (self.died_at + self.behind) * 1000
        self.rig.bulletin.events.append(event(2, host("a", born=born)))

    def close_in_order(self) -> None:
        """The planner closes its connection for the sake of others, as `Tables._ensure_link_slot` does."""
        engine, link = self.rig.planner.engine, self.link
        self.note(f"planner closes its connection, last message heard at {link.heard_at / 1e6:.3f}")
        engine.actions.append(HangUp("a"))
        link.close(self.rig.net.now())
        link.lost_at = 0
        self.rig.planner._progress()

    async def check(self, *, standing: tuple[int, ...] = (), over: tuple[int, ...] = ()) -> None:
        """Standing guests are not released; those that are over are released in time."""
        await self.at(RELEASE_AT_LATEST)
        in_time = {guest: len(self.owner.of(guest)) == 2 for guest in over}
        await self.at(OBSERVED_FOR)
        stood = {guest: self.owner.of(guest) == PLACED for guest in standing}
        later = {guest: self.owner.of(guest) for guest in over}
        for line in self.rig.decisions:
            self.trace.append(f"decision {line}")
        story = "\n".join(self.trace)
        assert all(stood.values()), f"standing guests kept: {stood}\n{story}"
        assert all(in_time.values()), f"released in time: {in_time}, later {later}\n{story}"


class RestartingMachine(Machine):
    """A machine whose process can die; it reports on its guests if `reports_use`."""

    reports_use = False

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.dead_streams: list[trio.abc.Stream] = []
        self.guests: dict[str, None] = {}

    def die(self) -> None:
        self.dead_streams += self.streams
        self.guests.clear()

    async def answer(self, stream: trio.abc.Stream, line: dict) -> None:
        if stream in self.dead_streams:
            return
        if line["op"] == "end":
            self.guests.pop(line["call"], None)
        await super().answer(stream, line)

    async def accept(self, stream: trio.abc.Stream, call: str) -> None:
        self.guests[call] = None
        await super().accept(stream, call)

    async def report_use(self) -> None:
        while True:
            await trio.sleep(REPORT_INTERVAL)
            alive = [each for each in self.streams if each not in self.dead_streams]
            for call in list(self.guests) if self.reports_use and alive else ():
                use = {"op": "info", "call": call, "with": {"note": "cpu", "value": "0.4"}}
                try:
                    await self.say(alive[-1], use)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    break  # reported on the next connection


class RestartRig(Rig):
    def __init__(self, settings: dict) -> None:
        super().__init__("a", settings=settings)
        self.machines = {"a": RestartingMachine("a")}
        self.decisions: list[RestartDecision] = []

    def record_decision(self, now: int, link: Link, started: int) -> PreviousIncarnation:
        result = previous_incarnation_ended(now, link, started)
        sent_at = {name: self.planner.engine.records[name].sent_at for name in link.guests}
        self.decisions.append(
            RestartDecision(
                now, started, link.opened_at, link.heard_at, link.past_connections, sent_at, result
            )
        )
        return result


@pytest.fixture
def tell(monkeypatch: pytest.MonkeyPatch) -> Callable[..., None]:
    """Plays a story in virtual time, and records what the planner concludes from the news."""

    def tell(
        story: Callable[[Story], Awaitable[None]], behind: float, reports_use: bool, planners: int = 1
    ) -> None:
        info = DEPLOYMENT["family-info"] | {"use-notes": reports_use}

        async def run() -> None:
            await trio.sleep(20.0)  # no time that the planner records is 0, which means never
            rig = RestartRig(DEPLOYMENT | {"family-info": info, "balancers": planners})
            rig.machines["a"].reports_use = reports_use
            monkeypatch.setattr(restarts, "previous_incarnation_ended", rig.record_decision)
            async with trio.open_nursery() as nursery:
                await rig.begin(nursery)
                nursery.start_soon(rig.machines["a"].report_use)
                await trio.sleep(1.0)
                await story(Story(rig, await rig.owner(), behind, reports_use))
                nursery.cancel_scope.cancel()

        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))

    return tell


# The fault: the first connection is opened after the death, and a task is sent on it before the news.

SENT_BEFORE_NEWS, TESTED_BEFORE_SENT = 0.19, 0.42  # seconds, as in soak seed 522


@reporting_use
@pytest.mark.parametrize("behind, news", [(0.0, 1.5), (0.3, 0.4), (1.4, 1.5), (5.0, 2.0), (5.0, 5.1)])
def test_guests_sent_on_the_first_connection_to_the_new_process_stand(
    behind: float, news: float, reports_use: bool, tell: Callable[..., None]
) -> None:
    """Soak seed 522: released because by a clock that is behind the process started after they were sent."""

    async def story(story: Story) -> None:
        assert not story.machine.streams
        story.die()
        sent = news - SENT_BEFORE_NEWS
        await story.at(max(0.02, sent - TESTED_BEFORE_SENT))
        story.owner = await story.rig.owner()  # the first may have been closed as idle
        await story.place(1)  # opens the connection
        await story.at(sent)
        await story.place(2)
        await story.at(news)
        story.show_restart()
        await story.check(standing=(1, 2))

    tell(story, behind, reports_use, MANY_PLANNERS)


# The mirror: what was sent to the dead process is released.


@reporting_use
@pytest.mark.parametrize("behind", [*BEHIND, AHEAD])
@pytest.mark.parametrize("planners", [1, MANY_PLANNERS])
@pytest.mark.parametrize("reset_after_news", [0.05, 2.0])
def test_guests_on_a_connection_whose_reset_is_not_read_yet_are_released(
    reset_after_news: float, planners: int, behind: float, reports_use: bool, tell: Callable[..., None]
) -> None:
    """The news overtakes the reset: an open connection that was used lately belongs to the dead process."""

    async def story(story: Story) -> None:
        await story.place(1)
        await trio.sleep(0.5)
        story.die()
        await story.at(0.1)
        story.show_restart()
        await story.at(0.1 + reset_after_news)
        await story.reset_old_connections()
        await story.check(over=(1,))

    tell(story, behind, reports_use, planners)


@reporting_use
@clock_behind
@pytest.mark.parametrize("planners", [1, MANY_PLANNERS])
@pytest.mark.parametrize("news", [0.5, 2.0])
def test_guests_of_a_process_whose_connection_stays_open_and_silent_are_released(
    news: float, planners: int, behind: float, reports_use: bool, tell: Callable[..., None]
) -> None:
    """A machine vanished and came back: no reset ever shows that its connection belongs to the past."""

    async def story(story: Story) -> None:
        await story.place(1)
        await trio.sleep(0.5)
        story.die()
        await story.at(news)
        story.show_restart()
        await story.check(over=(1,))

    tell(story, behind, reports_use, planners)


@reporting_use
@clock_behind
@pytest.mark.parametrize("reset", [True, False], ids=["reset after the news", "no reset"])
def test_guests_accepted_after_the_end_of_an_earlier_connection_are_released(
    reset: bool, behind: float, reports_use: bool, tell: Callable[..., None]
) -> None:
    """The machine closed an idle connection seconds before its death: that end shows nothing of the death."""

    async def story(story: Story) -> None:
        await story.place(1)
        await trio.sleep(0.5)
        await story.machine.streams[-1].aclose()
        await trio.sleep(0.5)
        await story.place(2)
        await trio.sleep(2.0)
        story.die()
        await story.at(0.5)
        story.show_restart()
        await story.at(0.55)
        if reset:
            await story.reset_old_connections()
        await story.check(over=(1, 2))

    tell(story, behind, reports_use)


@reporting_use
@clock_behind
def test_guests_on_two_connections_to_the_new_process_stand(
    behind: float, reports_use: bool, tell: Callable[..., None]
) -> None:
    """The planner closed the first one in order: that end is no death."""

    async def story(story: Story) -> None:
        story.die()
        await story.at(0.2)
        await story.place(1)
        await story.at(0.6)
        story.close_in_order()
        await story.at(1.3)
        await story.place(2)
        await story.at(1.5)
        story.show_restart()
        await story.check(standing=(1, 2))

    tell(story, behind, reports_use, MANY_PLANNERS)


@reporting_use
@clock_behind
def test_a_connection_of_each_process_divides_their_guests(
    behind: float, reports_use: bool, tell: Callable[..., None]
) -> None:
    """The planner closed the dead process's connection in order before it read the reset."""

    async def story(story: Story) -> None:
        await story.place(1)
        await trio.sleep(0.5)
        story.die()
        await story.at(0.1)
        story.close_in_order()
        await story.at(1.3)
        await story.place(2)
        await story.at(1.5)
        story.show_restart()
        await story.check(standing=(2,), over=(1,))

    tell(story, behind, reports_use, MANY_PLANNERS)


@reporting_use
@clock_behind
def test_guests_of_a_process_that_died_while_no_connection_was_open_are_released(
    behind: float, reports_use: bool, tell: Callable[..., None]
) -> None:
    """Its connection was closed in order before, so no end of a connection dates the death."""

    async def story(story: Story) -> None:
        await story.place(1)
        await trio.sleep(0.5)
        story.close_in_order()
        await trio.sleep(0.5)
        story.die()
        await story.at(1.3)
        await story.place(2)
        await story.at(1.5)
        story.show_restart()
        await story.check(standing=(2,), over=(1,))

    tell(story, behind, reports_use, MANY_PLANNERS)


# Broken variants: each disables one part of the argument, and a story detects it.


async def first_connection(story: Story) -> None:
    """A guest on the first connection to the new process; it stands."""
    story.die()
    await story.at(0.9)
    await story.place(1)
    await story.at(1.5)
    story.show_restart()
    await story.check(standing=(1,))


async def reset_after_the_news(story: Story) -> None:
    """The reset of the dead process's connection is read after the news and after its last answer."""
    await story.place(1)
    await trio.sleep(0.5)
    story.die()
    await story.at(0.1)
    story.show_restart()
    await story.at(0.15)
    earlier_probe = {"op": "tested", "call": f"{0:016x}", "with": {"load": "x0:20;x1:30"}, "why": 1}
    await story.machine.say(story.machine.dead_streams[-1], earlier_probe)
    await story.at(0.2)
    await story.reset_old_connections()
    await story.check(over=(1,))


async def open_and_silent(story: Story) -> None:
    """The dead process's connection stays open; its guest is over."""
    await story.place(1)
    await trio.sleep(0.5)
    story.die()
    await story.at(0.5)
    story.show_restart()
    await story.check(over=(1,))


async def two_connections(story: Story) -> None:
    """The planner closed its first connection to the new process; guests of both stand."""
    story.die()
    await story.at(0.2)
    await story.place(1)
    await story.at(0.6)
    story.close_in_order()
    await story.at(1.3)
    await story.place(2)
    await story.at(1.5)
    story.show_restart()
    await story.check(standing=(1, 2))


async def closed_by_the_machine(story: Story) -> None:
    """The new process closed the first connection in order; guests of both connections stand."""
    story.die()
    await story.at(0.35)
    await story.place(1)
    await story.at(0.95)
    await story.machine.streams[-1].aclose()
    await story.at(1.3)
    await story.place(2)
    await story.at(1.95)
    story.show_restart()
    await story.check(standing=(1, 2))


def believe_open_connection(restarts: MachineRestarts, now: int, link: Link, started: int) -> None:
    """An open connection is taken for one to the new incarnation, without evidence."""
    restart_listed(restarts, now, link, started)
    if link.restart is not None:
        restarts._decide_restart(now, link, ConnectionEvidence.NEW_INCARNATION)


def believe_any_answer(restarts: MachineRestarts, now: int, link: Link, number: int) -> None:
    """An answer to an earlier probe is taken for one to the probe that asked for evidence."""
    probe_answered(restarts, now, link, link.restart.probe_number if link.restart else number)


restart_listed, probe_answered = MachineRestarts._machine_restarted, MachineRestarts._restart_probe_answered


@pytest.mark.parametrize(
    "story, method, broken",
    [
        (first_connection, "_restart_probe_answered", lambda *given: None),
        (reset_after_the_news, "_machine_restarted", believe_open_connection),
        (reset_after_the_news, "_restart_probe_answered", believe_any_answer),
        (open_and_silent, "_decide_undated_restarts", lambda *given: None),
        (two_connections, "_is_in_doubt", lambda *given: False),
    ],
    ids=["answers do not count", "no evidence", "any answer", "silence does not count", "clock alone"],
)
def test_without_a_part_of_the_argument_a_guest_is_decided_wrongly(
    story: Callable[[Story], Awaitable[None]],
    method: str,
    broken: Callable,
    tell: Callable[..., None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tell(story, 1.4, True, MANY_PLANNERS)
    monkeypatch.setattr(MachineRestarts, method, broken)
    with pytest.RaisesGroup(AssertionError):
        tell(story, 1.4, True, MANY_PLANNERS)


@clock_behind
def test_a_close_in_order_by_the_machine_is_no_death(behind: float, tell: Callable[..., None]) -> None:
    """A process that closes an idle connection lives."""
    tell(closed_by_the_machine, behind, True, MANY_PLANNERS)


def test_a_close_in_order_that_counts_as_a_reset_releases_standing_guests(
    tell: Callable[..., None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Broken variant: any end by the machine counts as a reset. The clocks agree."""
    tell(closed_by_the_machine, 0.0, False, MANY_PLANNERS)
    close = Link.close

    def close_as_reset(link: Link, now: int, end: ConnectionEnd = ConnectionEnd.CLOSED) -> None:
        close(link, now, ConnectionEnd.CLOSED if end is ConnectionEnd.CLOSED else ConnectionEnd.RESET)

    monkeypatch.setattr(Link, "close", close_as_reset)
    with pytest.RaisesGroup(AssertionError):
        tell(closed_by_the_machine, 0.0, False, MANY_PLANNERS)


# On real processes.


class FirstUse(Restarts):
    """No client sends before the test does, so a planner of many has no connection to any server."""

    held: list[trio.socket.SocketType] = []  # connections of the dead process whose reset is still to come

    async def restart_and_hold_connections(self) -> float:
        """The server restarts, and its old connections stay open and silent; returns the new start in Unix
        seconds. As each of them was prepared to be reset, it is reset when its last descriptor is closed."""
        server = self.servers[0]
        self.held = [connection.stream.socket.dup() for connection in server.connections["n0"]]
        assert self.held
        born = time.time()
        await server.restart()
        return born

    def reset_held_connections(self) -> None:
        while self.held:
            self.held.pop().close()

    async def send(self) -> None:
        """A client sends one request, and the server accepts it."""
        before = placed_on(self.servers[0], self)
        self.nursery.start_soon(self.its_clients._request)
        await until(lambda: placed_on(self.servers[0], self) > before)

    async def restart_unseen(self) -> float:
        """Restarts the server, to which the planner has no connection; returns the Unix time of its start."""
        self.servers[0].task_life = LONG_RUN
        assert not self.servers[0].connections["n0"]
        born = time.time()
        await self.servers[0].restart()
        return born


class FirstUseWithoutUseNotes(FirstUse, WithoutUseNotes):
    pass


def first_use(behind: float, reports_use: bool) -> type[FirstUse]:
    base = FirstUse if reports_use else FirstUseWithoutUseNotes
    return type("Behind", (base,), {"stepped": -behind})


async def sleep_until_unix(at: float) -> None:
    await trio.sleep(max(0.0, at - time.time()))


@reporting_use
@pytest.mark.parametrize("behind, news", [(0.0, 1.5), (1.4, 1.5), (5.0, 2.0)])
def test_guests_sent_on_the_first_connection_stand_on_real_processes(
    behind: float, news: float, reports_use: bool, tmp_path: Path
) -> None:
    """Soak seed 522 as it played: connection 0.42 s before the last guest, the news 0.19 s after it."""

    async def test(incident: FirstUse) -> None:
        incident.its_clients.sending = False
        born = await incident.restart_unseen()
        sent = born + news - SENT_BEFORE_NEWS
        await sleep_until_unix(sent - TESTED_BEFORE_SENT)
        await incident.send()
        await sleep_until_unix(sent)
        await incident.send()
        await sleep_until_unix(born + news)
        incident.report_restart(born)
        await incident.until_all_is_due()
        assert placed_on(incident.servers[0], incident) == 2

    kind = first_use(behind, reports_use)
    incident = play_on_processes(test, tmp_path, servers=1, fleet=MANY_PLANNERS, kind=kind)
    assert incident.broken() == []


@reporting_use
@pytest.mark.parametrize("behind", [0.0, 1.4])
def test_guests_of_a_process_that_died_while_its_planner_was_paused_are_released(
    behind: float, reports_use: bool, tmp_path: Path
) -> None:
    """The planner reads the reset and the news at the same time, in any order."""

    async def test(incident: FirstUse) -> None:
        incident.its_clients.sending = False
        incident.servers[0].task_life = LONG_RUN
        for _ in range(3):
            await incident.send()
        await trio.sleep(0.5)
        incident.planner.signal(signal.SIGSTOP)
        await trio.sleep(0.2)
        born = time.time()
        await incident.servers[0].restart()
        await trio.sleep(0.3)
        incident.report_restart(born)
        await trio.sleep(0.3)
        incident.planner.signal(signal.SIGCONT)
        await incident.until_all_is_due()
        assert released(incident) == 3

    kind = first_use(behind, reports_use)
    assert play_on_processes(test, tmp_path, servers=1, kind=kind).broken() == []


@reporting_use
@pytest.mark.parametrize("behind", [0.0, 1.4])
@pytest.mark.parametrize("reset", [True, False], ids=["reset after the news", "no reset"])
def test_guests_of_a_dead_process_are_released_where_the_news_overtakes_the_reset(
    reset: bool, behind: float, reports_use: bool, tmp_path: Path
) -> None:
    """The open connection that was in use until the death belongs to the dead process."""

    async def test(incident: FirstUse) -> None:
        incident.its_clients.sending = False
        incident.servers[0].task_life = LONG_RUN
        for _ in range(3):
            await incident.send()
        await trio.sleep(0.5)
        born = await incident.restart_and_hold_connections()
        await sleep_until_unix(born + 0.3)
        incident.report_restart(born)
        await trio.sleep(0.2)
        if reset:
            incident.reset_held_connections()
        await incident.until_all_is_due()
        incident.reset_held_connections()
        assert released(incident) == 3

    kind = first_use(behind, reports_use)
    assert play_on_processes(test, tmp_path, servers=1, kind=kind).broken() == []


@reporting_use
def test_guests_accepted_after_an_earlier_end_are_released_where_the_news_overtakes_the_reset(
    reports_use: bool, tmp_path: Path
) -> None:
    """The server closed idle connections 2 s before its death; the clocks agree."""

    async def test(incident: FirstUse) -> None:
        incident.its_clients.sending = False
        incident.servers[0].task_life = LONG_RUN
        await incident.send()
        await incident.servers[0].close_connections(reset=False)
        await trio.sleep(0.1)
        for _ in range(2):
            await incident.send()
        await trio.sleep(2.0)
        born = await incident.restart_and_hold_connections()
        await sleep_until_unix(born + 0.3)
        incident.report_restart(born)
        await trio.sleep(0.2)
        incident.reset_held_connections()
        await incident.until_all_is_due()
        assert released(incident) == 3

    kind = first_use(0.0, reports_use)
    assert play_on_processes(test, tmp_path, servers=1, kind=kind).broken() == []
