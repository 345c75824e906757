"""The planner on the network: doors for owners, links to machines, the list follower, one engine.

Everything lives in one nursery. Whatever can hang has a cancel scope of its own: a dial, a first message, a
peer's writer, the stop. What arrives goes straight into the engine; the ticker then pumps it and carries its
actions out, so that what arrived together is decided on together.
"""

import os
import signal
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import msgspec
import structlog
import trio

from hazelhold.capture.tap import Tap
from hazelhold.config.planner import PlannerSheet
from hazelhold.engine.advice import Doorman
from hazelhold.engine.cases import Action, Agree, AskList, Dial, HangUp, Lost, Send
from hazelhold.engine.engine import Engine
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError, frame
from hazelhold.protocol.record import Recorder
from hazelhold.service.keeper import Keeper
from hazelhold.service.net import Net
from hazelhold.service.ticker import Ticker
from hazelhold.service.wire import Wire
from hazelhold.state.disk import Disk, RealDisk
from hazelhold.state.images import ENCODER
from hazelhold.state.store import Found, InUseError, StateError, Store

if TYPE_CHECKING:
    from hazelhold.fleetconfig.document import Document


class Planner:
    """One planner from its start to its stop. `run` ends once a stop that was asked for is done."""

    def __init__(
        self,
        sheet: PlannerSheet,
        seed: int,
        net: Net,
        recorder: Recorder | None = None,
        disk: Disk | None = None,
        take_over: bool = False,
        votes: Disk | None = None,
        revisions: Disk | None = None,
    ) -> None:
        file = sheet
        if file.fleetconfig.listen:
            from hazelhold.fleetconfig.follower_host import starting_point  # not above: off costs nothing

            revisions = revisions or RealDisk(Path(file.fleetconfig.folder))
            sheet = starting_point(file, revisions)
        self.sheet, self.net, self.limits = sheet, net, sheet.limits
        self.engine = Engine(sheet, seed, net.now())
        self.tap = (
            Tap(Path(sheet.capture.file), sheet.capture, sheet, seed, net.now())
            if (sheet.capture.file)
            else None
        )
        self.recorder = recorder
        self.log = structlog.get_logger().bind(planner=sheet.name)
        self.ticker = Ticker(net.now, self.engine.next_at, self._work, sheet.limits.batch_ms / 1000)
        self.owners: dict[str, Wire] = {}
        self.machines: dict[str, tuple[trio.CancelScope, Wire | None]] = {}
        self.list_wanted: int | None = None
        self.list_stir = trio.Event()
        self.counts: Counter[str] = Counter()
        self.connections = self.greeting = 0  # open ones, and those before their Hello
        self.doorman = Doorman(
            sheet.limits.handshakes_a_second,
            sheet.limits.handshake_burst,
            sheet.limits.handshakes_at_once,
            round(sheet.limits.return_most_ms * 1000),
            Random(f"door/{seed}"),
        )
        self.address = ""
        self.stop_asked = trio.Event()
        self.handing_over, self.take_over = False, take_over
        self.members = None
        if sheet.membership.listen:
            from hazelhold.membership.host import Members  # not above: off costs nothing

            self.members = Members(sheet.name, sheet.membership, net, recorder)
        self.copies = None
        if sheet.copies.listen:
            from hazelhold.replica.host import Copies

            self.copies = Copies(
                sheet.name,
                sheet.copies,
                net,
                votes or RealDisk(Path(sheet.copies.folder)),
                self._agreed,
                recorder,
            )
            if self.members is not None:
                self.members.beside = self.copies.standing
        self.follower = None
        if file.fleetconfig.listen:
            from hazelhold.fleetconfig.follower_host import FollowerHost
            from hazelhold.fleetconfig.settings import RunningSettings

            self.settings = RunningSettings(file, sheet, self.engine)
            self.follower = FollowerHost(file.name, file.fleetconfig, net, revisions, self._put_in_force)
        self.keeper: Keeper | None = None
        if disk is None and sheet.state.folder:
            disk = RealDisk(Path(sheet.state.folder))
        if disk is not None:
            self.keeper = Keeper(
                Store(disk, sheet.name), sheet.state, self.engine, net.now, self._do, self._state_news
            )

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            if self.keeper is not None:
                await self._recover()
                nursery.start_soon(self.keeper.run)
                nursery.start_soon(self.keeper.tend)
                nursery.start_soon(self.keeper.let_go)
            if self.copies is not None:
                await self._claim(nursery)
            if self.follower is not None:
                await self.follower.open(self.take_over)
                await nursery.start(self.follower.run)
            self.address = await self.net.listen(self.sheet.listen, self._door, nursery)
            nursery.start_soon(self.ticker.run)
            nursery.start_soon(self._follow_list)
            if self.members is not None:
                await nursery.start(self.members.run)
            self.log.info("up", address=self.address, planners=self.sheet.planners, slot=self.sheet.slot)
            task_status.started(self.address)
            await self.stop_asked.wait()
            try:
                await (self._leave() if self.handing_over else self._stop())
            finally:
                if self.keeper is not None:
                    self.keeper.store.close()
            nursery.cancel_scope.cancel()

    async def _recover(self) -> None:
        """Begins where an earlier life left off. StateError if the folder is not to be used."""
        text = f"{self.sheet.name} {os.getpid()}"
        try:
            found = self.keeper.open(self.net.wall(), text)
        except InUseError as wrong:
            if not self.take_over or not wrong.pid:
                raise
            found = await self._take_over(wrong.pid, text)
        now, wall = self.net.now(), self.net.wall()
        counts = self.engine.keep(now, wall - now, found.ledger, found.complete and not found.fresh)
        if self.tap is not None:
            kept = [[*change] for change in found.ledger.changes()]
            self.tap.note(
                now,
                "keep",
                epoch=wall - now,
                complete=found.complete and not found.fresh,
                changes=ENCODER.encode(kept),
            )
        self.keeper.begin()
        self.log.info(
            "recovered",
            complete=found.complete,
            fresh=found.fresh,
            batches=found.batches,
            generation=found.generation,
            **counts,
        )
        self._carry_out()

    def _put_in_force(self, document: "Document", changed: Iterable[str] | None) -> None:
        """Takes a revision of the fleet's configuration, whole; SettingsError if the engine cannot."""
        self.settings.put_in_force(document, changed)
        self.ticker.stir()

    async def _claim(self, nursery: trio.Nursery) -> None:
        """From here on guests that must not run twice are claimed among the planners."""
        from hazelhold.replica.gate import Gate

        self.copies.open()
        await nursery.start(self.copies.run)
        self.engine.claim_by(self.net.now(), Gate(self.sheet.name, round(self.sheet.copies.claim_ms * 1000)))
        self._carry_out()

    def _agreed(self, no: int, outcome: str, value: bytes, reason: str) -> None:
        """How an asking among the planners ended."""
        if self.handed_over:
            return
        self.engine.agreed(self.net.now(), no, outcome, value, reason)
        self._carry_out()
        self.ticker.stir()

    def _ask_others(self, actions: list[Action]) -> list[Action]:
        """Begins the askings among these actions, which wait for nothing; returns the others."""
        if self.copies is None:
            return actions
        for action in actions:
            if isinstance(action, Agree):
                self.copies.ask(*action)
        return [a for a in actions if not isinstance(a, Agree)]

    async def _take_over(self, pid: int, text: str) -> Found:
        """Asks the process that has the state to hand over, and waits for it, ten seconds at most."""
        os.kill(pid, signal.SIGUSR2)
        self.log.info("taking_over", pid=pid)
        with trio.move_on_after(10):
            while True:
                await trio.sleep(0.002)
                try:
                    return self.keeper.open(self.net.wall(), text)
                except InUseError:
                    continue
        raise StateError(f"process {pid} did not hand over within 10 s")

    def hand_over(self) -> None:
        """Asks for an end that leaves all that is held to the next process, by way of the kept state. Without
        kept state nothing happens."""
        if self.keeper is None:
            self.log.warning("nothing_to_hand_over")
            return
        self.handing_over = True
        self.stop_asked.set()

    async def _leave(self) -> None:
        """Reads nothing more, makes all safe, and goes."""
        self.handed_over = True
        self.keeper.take([], [self.engine.keeping.learned(self.engine)])
        with trio.move_on_after(self.limits.stop_ms / 1000):
            await self.keeper.drained()
        for wire in [*self.owners.values(), *(w for _, w in self.machines.values() if w)]:
            wire.finish(m.Bye(reason="hand_over", spread=self.doorman.window(0, len(self.owners))))
        await trio.sleep(0.02)
        if self.tap is not None:
            await trio.to_thread.run_sync(self.tap.writer.close)
        self.log.info("handed_over", unanswered=self.engine.unanswered(), **self.engine.counts)

    handed_over = False

    def stop(self) -> None:
        """Asks for a clean stop."""
        self.stop_asked.set()

    async def _stop(self) -> None:
        """Takes nothing more, answers what it holds, and waits for what is out, for as long as is stated."""
        self._feed("stop")
        self.log.info("stopping", unanswered=self.engine.unanswered())
        self.ticker.stir()
        with trio.move_on_after(self.limits.stop_ms / 1000):
            while self.engine.unanswered():
                await trio.sleep(0.01)
        if self.members is not None:
            await self.members.leave()
        self._feed("stop_now")
        spread = self._spread()
        if self.keeper is not None:
            with trio.move_on_after(1.0):
                await self.keeper.drained()
                await self.keeper.last_try()
        for wire in [*self.owners.values(), *(w for _, w in self.machines.values() if w)]:
            wire.finish(m.Bye(reason="stopping", spread=spread))
        with trio.move_on_after(0.5):
            while any(w.queue for w in self.owners.values()):
                await trio.sleep(0.01)
        await trio.sleep(0.02)
        if self.tap is not None:
            await trio.to_thread.run_sync(self.tap.writer.close)
            self.counts["capture_lost"] = self.tap.writer.lost_in_all
        self.log.info("stopped", unanswered=self.engine.unanswered(), **self.engine.counts)

    def _work(self, now: int) -> None:
        if self.handed_over:
            return
        if self.tap is not None:
            self.tap.pump(now)
        self.engine.pump(now)
        self._carry_out()

    def _feed(
        self, what: str, now: int | None = None, *, who: str = "", welcome: m.Welcome | None = None
    ) -> None:
        """Tells the engine of something that is no message, by one of its input methods; notes it in the
        capture."""
        now = self.net.now() if now is None else now
        if self.tap is not None:
            more = {"who": who} if who else {}
            if welcome is not None:
                more["welcome"] = msgspec.to_builtins(welcome)
            self.tap.note(now, what, **more)
        given = [each for each in (who, welcome) if each]
        getattr(self.engine, what)(now, *given)
        self._carry_out()

    def _state_news(self, what: str, news: object) -> None:
        """What the keeper has to tell the engine: the disk's health, an offer that did not leave."""
        now = self.net.now()
        if self.tap is not None:
            self.tap.note(now, what, news=msgspec.to_builtins(news))
        getattr(self.engine, what)(now, news)
        self._carry_out()
        self.ticker.stir()

    def _hear(self, what: str, wire: Wire, *given: object) -> None:
        """Takes a message of a peer to the engine; what needs no decision goes out before one is made."""
        if self.handed_over:
            return  # the next process hears it: what is not acknowledged is asked again
        now = self.net.now()
        if wire.trunk is not None:
            wire.trunk.data(False, frame(wire.body), now)
        getattr(self.engine, what)(now, *given)
        self._carry_out()
        self.ticker.stir()

    def _carry_out(self) -> None:
        """Does what the engine wants done; what a failed send causes goes in as an input and is done too."""
        if self.keeper is not None:
            while self.engine.actions or self.engine.keeping.marks:
                actions, self.engine.actions = self._ask_others(self.engine.actions), []
                self.keeper.take(actions, self.engine.flush(self.net.now()))
            return
        while self.engine.actions:
            actions, self.engine.actions = self._ask_others(self.engine.actions), []
            for action in actions:
                self._do(action)

    def _do(self, action: Action) -> None:
        if isinstance(action, Send):
            if action.role == "owner":
                wire = self.owners.get(action.peer)
            else:
                wire = self.machines.get(action.peer, (None, None))[1]
            if wire is None or not wire.send(action.message):
                self.counts["unsent"] += 1
                if self.tap is not None:
                    self.tap.note(
                        self.net.now(),
                        "unsent",
                        role=action.role,
                        who=action.peer,
                        message=msgspec.to_builtins(action.message),
                    )
                if action.role == "owner" and self.recorder is not None:  # kept for an owner that asks again
                    self.recorder.note(self.net.now(), action.peer, "kept", action.message)
            self._log_send(action)
        elif isinstance(action, Dial):
            self._hang_up(action.machine)
            scope = trio.CancelScope()
            self.machines[action.machine] = scope, None
            self.nursery.start_soon(self._link, action, scope)
        elif isinstance(action, HangUp):
            self._hang_up(action.machine)
        elif isinstance(action, AskList):
            self.list_wanted = action.since
            self.list_stir.set()
        elif isinstance(action, Lost):
            self.counts["peers_lost"] += 1
            self.log.warning(
                "peer_lost", role=action.role, machine=action.peer, code=action.code, reason=action.text
            )
            self._hang_up(action.peer)

    def _log_send(self, action: Send) -> None:
        said = action.message
        if isinstance(said, m.Offer | m.Withdraw | m.Stop):
            self.log.debug(
                said.__struct_config__.tag,
                guest=said.guest,
                ask=said.ask,
                attempt=said.attempt,
                machine=action.peer,
            )
        elif isinstance(said, m.Placed | m.TurnedBack | m.BrokenOff | m.GuestEnded | m.Rejected):
            more = {
                key: value
                for key in ("machine", "reason", "how", "code")
                if (value := getattr(said, key, ""))
            }
            self.log.debug(
                said.__struct_config__.tag, guest=said.guest, ask=said.ask, owner=action.peer, **more
            )

    def _hang_up(self, machine: str) -> None:
        scope, wire = self.machines.pop(machine, (None, None))
        if wire is not None:
            wire.cut()
        if scope is not None:
            scope.cancel()

    def _wire(self, stream: trio.abc.Stream, codec: m.Codec, peer: str = "", frame_bytes: int = 0) -> Wire:
        """`frame_bytes`: where the peer may send longer frames than others."""
        longest = max(self.limits.frame_bytes, frame_bytes)
        return Wire(stream, codec, self.net.now, self.recorder, peer, longest, self.limits.send_bytes)

    # Owners.

    async def _door(self, stream: trio.abc.Stream) -> None:
        """One owner's connection, from its Hello to its end. Whatever is wrong with it ends it alone."""
        wire = self._wire(stream, OWNERS)
        self.connections += 1
        later = self.doorman.admits(self.net.now(), self.greeting)
        self.greeting += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wire.write)
                if self.connections > self.limits.connections:
                    limit = self.limits.connections
                    self._refuse(wire, FrameError("too_many", f"{limit} connections are open"))
                elif later:
                    self.counts["connections_put_off"] += 1
                    wire.finish(m.Fault(code="busy", text="come back later", again_after=later))
                else:
                    with wire.scope:
                        await self._serve_owner(wire)
                wire.finish()
        finally:
            self.connections -= 1
            self._greeted(wire)

    def _greeted(self, wire: Wire) -> None:
        """A handshake is over, one way or the other."""
        if not wire.greeted:
            wire.greeted = True
            self.greeting -= 1

    async def _serve_owner(self, wire: Wire) -> None:
        name = ""
        try:
            hello = await wire.first(m.Hello, self.limits.hello_ms / 1000)
            if hello.role != "owner":
                raise FrameError("wrong_role", f"this door is for owners, not for a {hello.role}")
            self._greeted(wire)
            name = wire.peer = hello.name
            if old := self.owners.get(name):
                old.finish(m.Bye(reason="replaced"))
                old.scope.cancel()
            self.owners[name] = wire
            wire.note("open", None)
            self._tapped("owner", name, wire, False)
            wire.captured()
            wire.send(m.Welcome(name=self.sheet.name, spread=self._spread()))
            self.log.debug("owner_here", owner=name)
            for message in wire.rest():
                self._owner_said(name, wire, message)
            async for message in wire.messages():
                if isinstance(message, m.Bye):
                    break
                self._owner_said(name, wire, message)
        except FrameError as wrong:
            self._refuse(wire, wrong)
        finally:
            if name and self.owners.get(name) is wire:
                del self.owners[name]
            wire.note("shut", None)
            self._untapped(wire)

    def _spread(self) -> int:
        return self.doorman.window(round(self.limits.return_spread_ms * 1000), len(self.owners))

    def _tapped(self, role: str, who: str, wire: Wire, dialled: bool) -> None:
        if self.tap is not None:
            wire.trunk = self.tap.trunk(role, who, wire.stream, dialled, self.net.now())

    def _untapped(self, wire: Wire) -> None:
        if wire.trunk is not None:
            wire.trunk.close(self.net.now())

    def _owner_said(self, name: str, wire: Wire, message: m.Message) -> None:
        if isinstance(message, m.Hello):
            raise FrameError("second_hello", "a connection has one Hello")
        self._hear("owner_said", wire, name, message)

    def _refuse(self, wire: Wire, wrong: FrameError) -> None:
        if self.tap is not None:  # what was wrong is worth keeping, too
            if wire.trunk is None:
                self._tapped("refused", wire.peer or "unknown", wire, False)
            told = wire.raw if wrong.code.startswith("frame") else frame(wire.body) if wire.body else b""
            wire.trunk.data(False, told, self.net.now())
        self.counts["refused_" + wrong.code] += 1
        self.log.warning("connection_refused", code=wrong.code, reason=wrong.text, peer=wire.peer)
        wire.finish(m.Fault(code=wrong.code, text=wrong.text))

    # Machines.

    async def _link(self, dial: Dial, scope: trio.CancelScope) -> None:
        """One connection to a machine: dials within its span, then listens until either side ends."""
        name, up = dial.machine, False
        with scope:
            try:
                with trio.fail_after(dial.span / 1e6):
                    stream = await self.net.dial(dial.address)
                wire = self._wire(stream, MACHINES, name)
                self._tapped("machine", name, wire, True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(wire.write)
                    with wire.scope:
                        try:
                            wire.send(m.Hello(role="planner", name=self.sheet.name))
                            welcome = await wire.first(m.Welcome, dial.span / 1e6)
                            up = True
                            self.machines[name] = scope, wire
                            wire.note("open", None)
                            wire.captured()
                            self._feed("link_up", who=name, welcome=welcome)
                            self.ticker.stir()
                            await self._hear_machine(name, wire)
                        except FrameError as wrong:
                            self.counts["machine_" + wrong.code] += 1
                            self.log.info("machine_left", machine=name, code=wrong.code, reason=wrong.text)
                    wire.finish()
                    wire.note("shut", None)
                    self._untapped(wire)
            except (OSError, trio.TooSlowError) as wrong:
                self.counts["dials_failed"] += 1
                self.log.debug("dial_failed", machine=name, address=dial.address, reason=str(wrong))
        if scope.cancelled_caught or self.machines.get(name, (None,))[0] is not scope:
            return
        del self.machines[name]
        self._feed("link_down" if up else "link_failed", who=name)
        self.ticker.stir()

    async def _hear_machine(self, name: str, wire: Wire) -> None:
        for message in wire.rest():
            self._machine_said(name, wire, message)
        async for message in wire.messages():
            if isinstance(message, m.Bye):
                return
            self._machine_said(name, wire, message)

    def _machine_said(self, name: str, wire: Wire, message: m.Message) -> None:
        if isinstance(message, m.Fault):
            raise FrameError(message.code, message.text)
        self._hear("machine_said", wire, name, message)

    # The list.

    async def _follow_list(self) -> None:
        """Keeps a connection to the list service while it can, and asks what the engine wants asked."""
        if not self.sheet.list.asked:
            self.list_wanted = 0
        while True:
            try:
                with trio.fail_after(self.limits.hello_ms / 1000):
                    stream = await self.net.dial(self.sheet.list.address)
                wire = self._wire(stream, LIST, "list", self.sheet.list.frame_bytes)
                self._tapped("list", "list", wire, True)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(wire.write)
                    with wire.scope:
                        await self._hear_list(wire, nursery)
                    wire.finish()
                    self._untapped(wire)
                    nursery.cancel_scope.cancel()
            except (OSError, trio.TooSlowError) as wrong:
                self.log.debug("list_unreachable", reason=str(wrong))
            self._feed("list_failed")
            self.list_wanted = self.engine.list_version if not self.sheet.list.asked else None
            self.ticker.stir()
            await trio.sleep(0.5)

    async def _hear_list(self, wire: Wire, nursery: trio.Nursery) -> None:
        try:
            wire.send(m.Hello(role="planner", name=self.sheet.name))
            await wire.first(m.Welcome, self.limits.hello_ms / 1000)
            wire.captured()
            nursery.start_soon(self._ask_list, wire)
            for message in wire.rest():
                self._list_said(wire, message)
            async for message in wire.messages():
                self._list_said(wire, message)
        except FrameError as wrong:
            self.counts["list_" + wrong.code] += 1
            self.log.info("list_left", code=wrong.code, reason=wrong.text)

    async def _ask_list(self, wire: Wire) -> None:
        while True:
            if self.list_wanted is not None:
                wire.send(m.Watch(since=self.list_wanted))
                self.list_wanted = None
            await self.list_stir.wait()
            self.list_stir = trio.Event()

    def _list_said(self, wire: Wire, message: m.Message) -> None:
        if isinstance(message, m.Fault | m.Bye):
            raise FrameError("list_left", "the list service ended the connection")
        self._hear("list_said", wire, message)


OWNERS = m.Codec(m.FROM_OWNER)
MACHINES = m.Codec(m.FROM_MACHINE)
LIST = m.Codec(m.FROM_LIST)
