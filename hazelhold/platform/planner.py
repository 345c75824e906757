"""The planner on the operators' platform: owners' door, machine links, list follower, one engine.

A thin shell: what comes in goes to the engine, its actions are carried out. What to do with a task is the
decision module's.
"""

import logging
import time
from collections import Counter
from pathlib import Path

import structlog
import trio

from hazelhold.config.load import ConfigError
from hazelhold.engine.cases import Action, AskList, Dial, HangUp, Lost, Send
from hazelhold.engine.engine import Engine
from hazelhold.interface import MachineMode
from hazelhold.platform import words
from hazelhold.platform.beliefs import machine_beliefs
from hazelhold.platform.configuration import Start, read_start
from hazelhold.platform.discovery import DiscoveryError, Follower
from hazelhold.platform.logbook import Logbook
from hazelhold.platform.machine_links import MachineLinks
from hazelhold.platform.owner_door import OwnerDoor
from hazelhold.protocol import messages as m
from hazelhold.service.arrival import beat
from hazelhold.service.net import Net
from hazelhold.service.ticker import Ticker

REREAD_PAUSES = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
"""Seconds between looks at a configuration file that was of no use at its signal."""

TURN = 0.02
"""Seconds of decisions before peers are read again: gone owners must be heard within 0.1 s."""

COMING = 0.7
"""Seconds after SIGTERM in which set-ups may still come."""

LONGEST_DEADLINE = 3.0
"""A longest deadline past this, in seconds, counts as this for the moment of SIGKILL."""

# Seconds before SIGKILL (of the longest deadline, where that is under a second) at which:
ANSWER_WAITING = 0.8  # what waits is answered
ANSWER_ALL = 0.6  # what is out at machines is answered
CLOSE = 0.4  # the connections end
LAST_BYTES = 0.1  # the process ends


class PlatformPlanner:
    """One planner from its start to the end that was asked for."""

    def __init__(self, start: Start, net: Net, config: Path | None = None) -> None:
        self.start, self.net, self.config = start, net, config
        self.log = structlog.get_logger().bind(planner=start.name)
        self.engine = Engine(start.terms, start.seed, net.now())
        self.limits = start.terms.limits
        bounds = words.Bounds(
            start.most,
            dict(zip(start.terms.products, start.patience, strict=True)),
            frozenset(start.terms.customers),
        )
        self.ticker = Ticker(net.now, self.engine.next_at, self._work, self.limits.batch_ms / 1000)
        self.counts: Counter[str] = Counter()
        self.links = MachineLinks(net, self.engine, self.counts, self.log, self._progress, self.ticker.stir)
        self.door = OwnerDoor(
            net, self.engine, bounds, self.counts, self.log, self._progress, self.links.owner_heard
        )
        self.links.is_unheard = self.door.is_unheard
        self.zones = dict(start.zones)  # numbers by name; grows with zones that the list names
        self.follower = Follower(
            net,
            start.bulletin,
            start.known,
            self.engine.facts.list_lease / 1e6,
            self._event,
            self._discovery_answered,
            self._discovery_failed,
        )
        self.logbook = Logbook(self.log, self.engine)
        self.reloads = 0  # signals to read the file again
        self.closing = False  # machines are not dialled any more
        self.stop_asked, self.ended = trio.Event(), trio.Event()
        self.address = ""

    def log_frames(self) -> None:
        """Logs each message of owners and machines from now on."""
        self.door.log_frames = self.links.log_frames = True

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = self.links.nursery = nursery
            nursery.start_soon(beat)
            for item in self.start.known.items:
                try:
                    self._hear_discovery([self._event(item)])
                except DiscoveryError as wrong:
                    self.log.warning("event_unreadable", no=item.get("no"), reason=str(wrong))
                    if wrong.part is not None:
                        self._hear_discovery([wrong.part])
            # Half of what owners and machines leave over, less some eight that the process has anyway.
            spare = self.start.bounds.sockets - self.limits.connections - self.limits.links
            self.address = await self.net.listen(
                self.start.listen, self.door.serve, nursery, max(4, (spare - 8) // 2)
            )
            nursery.start_soon(self.ticker.run)
            self.follower.wish()  # also where the module would ask only later: nothing is sent before
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._tend)
            self.log.info(
                "up",
                address=self.address,
                known=self.start.known.no,
                ready=sum(fellow.mode is MachineMode.READY for fellow in self.engine.roster.fellows.values()),
                machines=len(self.engine.roster.fellows),
                sockets=self.start.bounds.sockets,
                memory_mb=self.start.bounds.memory_mb,
                cores=self.start.bounds.cores,
            )
            task_status.started(self.address)
            await self.stop_asked.wait()
            await self._stop()
            nursery.cancel_scope.cancel()
        self.ended.set()

    def stop(self) -> None:
        """Asks for an end: everything that comes meanwhile is still served."""
        self.stop_asked.set()

    def reload(self) -> None:
        """Reads the configuration file again; a bad one leaves all as it is. It may be half written: it is
        looked at again for some seconds, or until the next signal."""
        if self.config is None:
            return
        self.reloads += 1
        if wrong := self._read_again():
            self.counts["reloads_refused"] += 1
            self.log.warning("configuration_refused", reason=wrong)
            self.nursery.start_soon(self._look_again, self.reloads)

    async def _look_again(self, signal: int) -> None:
        for pause in REREAD_PAUSES:
            await trio.sleep(pause)
            if self.reloads != signal or not self._read_again():
                return

    def _read_again(self) -> str:
        """Takes the file if it can be used; returns what is wrong with it, or nothing."""
        try:
            fresh = read_start(self.config)
        except ConfigError as wrong:
            return str(wrong)
        self.counts["reloads"] += 1
        told = fresh.terms.facts  # how many share the fleet's budgets; all else holds for a planner's life
        self.engine.share(told.planners, told.slot)
        self.log.info(
            "configuration_read",
            bulletin=fresh.bulletin,
            settings_same=fresh.terms.facts == self.start.terms.facts,
        )
        try:
            items = self.follower.fresh(fresh.known.items)
        except DiscoveryError:
            items = []  # what is missing comes from the bulletin itself
        if items:  # the file alone does not show that the list is still heard
            self._hear_discovery(items)
        self.engine.list_moved(self.net.now())  # the old address tells nothing any more
        self.follower.move(fresh.bulletin)
        return ""

    async def _stop(self) -> None:
        """Serves on while set-ups come and answers all that was taken. Then it stays until just before
        SIGKILL may come: ends of what stands are told as long as somebody is there to tell them."""
        longest = min(LONGEST_DEADLINE, max(self.start.patience) / 1e6)
        kill, part = trio.current_time() + COMING + longest, min(1.0, longest)
        self.log.info("stopping", unanswered=self.engine.unanswered(), until=round(kill, 2))
        self.door.leaving = True
        await trio.sleep_until(kill - ANSWER_WAITING * part)
        self.engine.stop(self.net.now())
        self._progress()
        await trio.sleep_until(kill - ANSWER_ALL * part)
        self.engine.stop_now(self.net.now())
        self._carry_out()
        await trio.sleep_until(kill - CLOSE * part)
        self.closing = True
        for name in list(
            self.links.by_machine
        ):  # first, so that no end is heard that could not be told any more
            self.links.hang_up(name)
        for peer in self.door.peers.values():
            peer.end()
        with trio.move_on_at(
            kill - LAST_BYTES * part
        ):  # an answer of which a part has left is still owed the rest
            while any(peer.unsent() for peer in self.door.peers.values()):
                await trio.sleep(0.01)
        await trio.sleep(0.02)
        self.log.info("stopped", unanswered=self.engine.unanswered(), **self.all_counts())

    def all_counts(self) -> Counter[str]:
        """The counters of connections and of the engine; what both count under one name is summed."""
        return self.counts + self.engine.counts

    def _work(self, now: int) -> None:
        """One pump, of as many decisions as fit into a turn by what the last ones took."""
        self.engine.pump(now)
        self._carry_out()
        took, most = self.net.now() - now, self.limits.decisions_at_once
        self.engine.at_once = (
            max(1, self.engine.at_once // 2) if took > TURN * 1e6 else min(most, self.engine.at_once + 1)
        )

    def _progress(self) -> None:
        """Something was heard: what the engine wants at once is done, and it gets its turn."""
        self._carry_out()
        self.ticker.stir()

    def _carry_out(self) -> None:
        while self.engine.actions:
            actions, self.engine.actions = self.engine.actions, []
            for action in actions:
                self._do(action)
        self.logbook.write()

    def _do(self, action: Action) -> None:
        if isinstance(action, Send):
            if action.role == "owner":
                self.door.tell(action.peer, action.message)
            else:
                self.links.tell(action.peer, action.message)
        elif isinstance(action, Dial) and not self.closing:
            self.links.dial(action)
        elif isinstance(action, HangUp | Lost):
            self.links.hang_up(action.machine if isinstance(action, HangUp) else action.peer)
        elif isinstance(action, AskList):
            self.follower.wish()

    # The bulletin.

    def _event(self, item: dict) -> m.Listing:
        """What an event tells of the list; no entries if it is no roster. DiscoveryError if unreadable."""
        if "roster" not in item:
            return m.Listing(version=self.engine.list_version, whole=False, entries=[])
        try:
            listing, faults = words.listing(item["roster"], self.zones, self.net.wall())
        except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as wrong:
            self.counts["discovery_unreadable"] += 1
            raise DiscoveryError(f"an event that cannot be read: {wrong!r:.200}") from None
        if faults:
            self.counts["discovery_entries_unreadable"] += len(faults)
            raise DiscoveryError(
                f"{len(faults)} entries that cannot be read: {faults[0]}",
                listing if listing.entries else None,
            )
        return listing

    def _hear_discovery(self, listings: list[m.Listing]) -> None:
        now = self.net.now()
        for listing in listings:
            self.engine.list_said(now, listing)
        self._progress()

    def _discovery_answered(self, listings: list[m.Listing], age: float, whole: bool) -> None:
        """An answer to a call made `age` seconds ago. One that is not whole, or of which some could not be
        read, shows what came and not that nothing else did: it does not confirm the list."""
        self.counts["discovery_answers"] += 1
        now = self.net.now()
        if listings:
            self._hear_discovery(listings)
        else:
            self.engine.list_unchanged(now)
        if whole and self.engine.list_confirmed(now, now - round(age * 1e6)):
            self._progress()

    def _discovery_failed(self) -> None:
        self.counts["discovery_failures"] += 1
        self.engine.list_call_failed(self.net.now())

    # Each second.

    async def _tend(self) -> None:
        while True:
            await trio.sleep(1.0)
            self.door.releases.drop_overdue()
            self.logbook.write_counts(self.all_counts())
            self.logbook.write_clock_step(self.net.wall_stepped())
            if self.log.is_enabled_for(logging.DEBUG):
                self._tell_beliefs()

    def _tell_beliefs(self) -> None:
        """What this planner believes, beside what it has sent and heard."""
        engine = self.engine
        self.log.debug(
            "beliefs",
            waiting=len(engine.scheduler.held),
            out=len(engine.scheduler.outstanding),
            cases=len(engine.cases),
            owners=len(self.door.peers),
            links=len(self.links.by_machine),
            held=len(self.door.releases.waiting),
            fleet=machine_beliefs(engine, self.net.now()),
            cpu=round(time.process_time(), 2),
            counts=dict(self.counts),
            engine=dict(engine.counts),
        )
