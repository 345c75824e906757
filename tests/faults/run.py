"""One run of a schedule: starts the stand-ins and the planners, and plays each drawn fault at its moment."""

import copy
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import trio

from tests.faults.clients import Clients, Habits
from tests.faults.discovery import Discovery, Fault
from tests.faults.judge import LAG_COUNTS
from tests.faults.planners import PlannerProcess, idle_connections
from tests.faults.record import Record, StoppedSpan
from tests.faults.schedule import (
    Crowd,
    Loss,
    Outage,
    Pause,
    Reload,
    Replacement,
    Reset,
    Restart,
    Schedule,
    ServerFault,
    ServerRestart,
    Silence,
    Stop,
    Surge,
)
from tests.faults.server_state import Faults
from tests.faults.servers import Server
from tests.faults.shim_plan import CallFault, ClockStep, ShimPlan
from tests.platform_rig import DEPLOYMENT

COLD_CALLS, COLD_WINDOW, COLD_FOR = 5.0, 2.0, 6.0  # so few that servers in slow start are sent more when warm
LAG_STEP = 0.01  # seconds
SETTLE = 4.0  # seconds after the last request in which what stands may end


class Run:
    """One run of a schedule."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule, self.folder = schedule, folder
        self.random = Random(f"run/{schedule.seed}")
        # Its own, so that no run beside it takes the port of a server that has gone.
        self.prefix = f"127.77.{schedule.seed % 250}"
        self.record = Record()
        self.servers: list[Server] = []
        self.planners: list[PlannerProcess] = []
        self.clients: list[Clients] = []
        self.made = 0
        self.busy: set[int] = set()  # planners amid a restart
        self.paused: set[int] = set()
        self.server_faults: dict[str, list[ServerFault]] = {}  # that are on, by server
        self.idle: list = []

    def settings(self, slot: int) -> dict:
        made = copy.deepcopy(DEPLOYMENT)
        made["balancers"], made["slot-no"] = self.schedule.planners, slot
        for each in made["classes"]:
            each["deadline"] = min(each["deadline"], self.schedule.longest_deadline)
        made["family-info"]["fresh-offers"] = COLD_CALLS
        made["rules"] = {"cold": COLD_FOR * 1000, "cold-from": 0.24, "tip-after": COLD_WINDOW * 1000}
        made["limits"]["idle-close"] = self.schedule.idle_close * 1000
        made["family-info"]["use-notes"] = self.schedule.servers_tell_use
        return made

    async def play(self) -> None:
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                await self._begin()
                nursery.start_soon(self._watch_lag)
                for each in self._faults():
                    nursery.start_soon(self._at, *each)
                await trio.sleep(max(0.0, self.schedule.seconds - self._now()))
                for each in self.clients:
                    each.sending = False
                await trio.sleep(SETTLE)
                self.record.ended = time.monotonic()
                nursery.cancel_scope.cancel()
        finally:
            self.end_planners()
            for each in self.idle:
                each.close()

    def end_planners(self) -> None:
        """Kills all before it waits for any, so that an interrupted wait leaves none running."""
        for each in self.planners:
            each.signal(signal.SIGKILL)
        for each in self.planners:
            each.close()

    def _now(self) -> float:
        return time.monotonic() - self.record.began

    async def _begin(self) -> None:
        names = [f"n{number}" for number in range(self.schedule.planners)]
        for _ in range(self.schedule.servers):
            self.servers.append(await self._server(names))
        for slot, name in enumerate(names):
            discovery = Discovery(name, self.record, self.random, self.nursery)
            await discovery.open()
            plan = self._plan(self.schedule.shims[slot], self.schedule.more_clock_steps[slot : slot + 1])
            self.planners.append(
                PlannerProcess(name, self.folder, self.settings(slot), self.record, discovery, plan)
            )
        for each in self.planners:
            each.start(self.servers)
            self.nursery.start_soon(each.watch)
        async with trio.open_nursery() as starting:
            for each in self.planners:
                starting.start_soon(each.until_ready)
        self.record.began = time.monotonic()
        for each in self.planners:
            each.plan_began = self.record.began
            clients = Clients(each, self.record, Habits(), self.random, self.nursery, self._end_moved)
            clients.sending = True
            self.clients.append(clients)
            self.nursery.start_soon(clients.run)

    def _end_moved(self, call: str) -> None:
        for server in self.servers:
            server.move(call)

    def _plan(self, drawn: ShimPlan, more_steps: list[ClockStep]) -> ShimPlan:
        """The plan on the real clock; all planners are up some seconds after their start."""
        began = time.monotonic() + 2.0
        steps = [ClockStep(began + each.at, each.seconds) for each in drawn.clock_steps + more_steps]
        calls = [CallFault(c.call, began + c.start, began + c.end, c.share) for c in drawn.calls]
        return ShimPlan(drawn.seed, steps, calls)

    async def _server(self, planners: list[str], ports: dict[str, int] | None = None) -> Server:
        self.made += 1
        server = Server(f"s{self.made}", self.prefix, self.record, self.random, self.nursery)
        server.faults.idle_close = self.schedule.idle_close
        server.tells_use = self.schedule.servers_tell_use
        await server.open(planners, ports)
        return server

    async def _watch_lag(self) -> None:
        while True:
            before = time.monotonic()
            await trio.sleep(LAG_STEP)
            lag = time.monotonic() - before - LAG_STEP
            if lag > LAG_COUNTS:
                self.record.lags.append((time.monotonic(), lag))

    # Faults.

    def _faults(self) -> list[tuple[float, Callable[..., Awaitable[None]], object]]:
        drawn = self.schedule
        kinds = (
            (drawn.outages, self._outage),
            (drawn.replacements, self._replace),
            (drawn.restarts, self._restart),
            (drawn.reloads, self._reload),
            (drawn.server_faults, self._server_fault),
            (drawn.resets, self._reset),
            (drawn.crowds, self._crowd),
            (drawn.surges, self._surge),
            (drawn.server_restarts, self._restart_server),
            (drawn.pauses, self._pause),
            (drawn.late_server_restarts, self._restart_server),
            (drawn.silences, self._silence),
            (drawn.stops, self._stop),
            (drawn.losses, self._lose_server),
        )
        return [
            (each.at if isinstance(each, Reset) else each.start, play, each)
            for all_, play in kinds
            for each in all_
        ]

    async def _at(self, start: float, play: Callable[[object], Awaitable[None]], fault: object) -> None:
        await trio.sleep(max(0.0, start - self._now()))
        self.record.note(repr(fault))
        await play(fault)

    async def _outage(self, outage: Outage) -> None:
        chosen = [self.planners[number].discovery for number in outage.planners]
        chosen = [each for each in chosen if each.fault is Fault.NONE]
        for each in chosen:
            each.lag = outage.lag
            await each.set_fault(outage.fault)
        await trio.sleep(outage.end - outage.start)
        for each in chosen:
            await each.set_fault(Fault.NONE)

    async def _replace(self, replacement: Replacement) -> None:
        old = self.servers[replacement.server]
        await old.drain(replacement.draining)
        await trio.sleep(replacement.notice)
        for each in self.planners:
            each.discovery.tell(old, "terminating")
        await trio.sleep(replacement.stays)
        ports = old.ports if replacement.same_address else None
        await old.remove()
        new = await self._server([each.name for each in self.planners], ports)
        new.life.started_at, new.started_wall = time.monotonic(), time.time()
        self.servers[replacement.server] = new
        await trio.sleep(replacement.notice)
        new.life.told_start = time.monotonic()
        for each in self.planners:
            each.discovery.tell(old, "terminated")
            each.discovery.tell(new, "in_service")

    async def _restart(self, restart: Restart) -> None:
        if restart.planner in self.busy:
            return
        self.busy.add(restart.planner)
        planner, clients = self.planners[restart.planner], self.clients[restart.planner]
        while restart.planner in self.paused:  # nobody can tell a planner when its signal was sent
            await trio.sleep(0.01)
        if restart.announced:
            self.nursery.start_soon(self._no_new_connections, clients)
            self.nursery.start_soon(self._signal_again, planner, restart.more_signals)
            await planner.stop()
        else:
            await planner.kill()
        clients.sending = False
        clients.planner_died()
        await trio.sleep(restart.away)
        planner.start([each for each in self.servers if not each.removed], not restart.stale_file)
        if await planner.until_ready():
            clients.open_only = False
            clients.sending = True
            await clients.hand_over()
        self.busy.discard(restart.planner)

    async def _signal_again(self, planner: PlannerProcess, signals: tuple[tuple[float, str], ...]) -> None:
        """Further signals to the process that was told to stop."""
        process, began = planner.process, trio.current_time()
        for after, name in sorted(signals):
            await trio.sleep_until(began + after)
            if planner.process is process:
                planner.signal(signal.Signals[name])

    async def _pause(self, pause: Pause) -> None:
        planner = self.planners[pause.planner]
        if pause.planner in self.busy | self.paused or planner.life.ready_at is None:
            return
        self.paused.add(pause.planner)
        planner.signal(signal.SIGSTOP)
        await trio.sleep(pause.seconds)
        planner.signal(signal.SIGCONT)
        self.paused.discard(pause.planner)

    async def _stop(self, stop: Stop) -> None:
        """As `_pause`; the judge is told of it."""
        life, began = self.planners[stop.planner].life, time.monotonic()
        if stop.planner in self.busy | self.paused or life.ready_at is None:
            return
        span = StoppedSpan(began)
        life.stops.append(span)
        await self._pause(Pause(stop.start, stop.planner, stop.seconds))
        span.ended_at = time.monotonic()

    async def _silence(self, silence: Silence) -> None:
        self.servers[silence.server].fall_silent(silence.seconds)

    async def _restart_server(self, restart: ServerRestart) -> None:
        server = self.servers[restart.server]
        if server.leaving:
            return
        born = time.time()  # before its new process accepts anything
        await server.restart()
        await self._list_restart(server, born, restart.notice)

    async def _lose_server(self, loss: Loss) -> None:
        server = self.servers[loss.server]
        if server.leaving:
            return
        server.vanish()
        await trio.sleep(loss.seconds)
        born = time.time()
        server.come_back()
        await self._list_restart(server, born + loss.clock_step, loss.notice)

    async def _list_restart(self, server: Server, born: float, notice: float) -> None:
        """The list tells the present process of a server after a while, dated by the server's clock."""
        process = server.process
        await trio.sleep(notice)
        if server.leaving or server.process != process:
            return  # a later process is told of by its own restart
        server.started_wall = born
        server.life.told_restart = time.monotonic()
        for each in self.planners:
            each.discovery.tell(server, "in_service")

    async def _no_new_connections(self, clients: Clients) -> None:
        await trio.sleep(0.3)
        clients.open_only = True

    async def _reload(self, reload: Reload) -> None:
        planner = self.planners[reload.planner]
        for _ in range(reload.times):
            if reload.planner in self.busy or planner.life.ready_at is None:
                return
            await planner.discovery.move()
            planner.write_file(planner.discovery.frozen_file)
            planner.signal(signal.SIGHUP)
            await trio.sleep(self.random.uniform(0.05, 1.5))

    async def _server_fault(self, fault: ServerFault) -> None:
        server = self.servers[fault.server]
        on = self.server_faults.setdefault(server.name, [])
        on.append(fault)
        server.faults = self._joined(on)
        await trio.sleep(fault.end - fault.start)
        on.remove(fault)
        server.faults = self._joined(on)

    def _joined(self, on: list[ServerFault]) -> Faults:
        """All faults of a server that are on; the end of one leaves the others."""
        joined = Faults(idle_close=self.schedule.idle_close)
        for fault in on:
            for name, value in fault.values:
                setattr(joined, name, bool(value) if name == "hung" else value)
        return joined

    async def _reset(self, reset: Reset) -> None:
        if not self.servers[reset.server].vanished:
            await self.servers[reset.server].close_connections(reset.hard)

    async def _crowd(self, crowd: Crowd) -> None:
        address = self.planners[crowd.planner].address
        held = await trio.to_thread.run_sync(idle_connections, address, crowd.count)
        self.idle += held
        await trio.sleep(crowd.end - crowd.start)
        for each in held:
            each.close()

    async def _surge(self, surge: Surge) -> None:
        clients = self.clients[surge.planner]
        before = clients.habits
        clients.habits = Habits(
            rate=surge.rate,
            share_cancelled=surge.share_cancelled,
            share_left=surge.share_left,
            connections=12,
        )
        await trio.sleep(surge.end - surge.start)
        clients.habits = before
