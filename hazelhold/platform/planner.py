"""The planner on the operators' platform: server for owners, machine links, discovery follower, one engine.

It passes input to the engine and carries out the engine's actions. What to do with a guest is decided by the
scheduler.
"""

import logging
import time
from collections import Counter
from pathlib import Path

import structlog
import trio

from hazelhold.config.load import ConfigError
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import Action, Dial, Disconnect, FetchList, HangUp, Send
from hazelhold.interface import MachineMode
from hazelhold.platform import translation
from hazelhold.platform.configuration import StartSettings, read_start
from hazelhold.platform.discovery import DiscoveryError, DiscoveryFollower
from hazelhold.platform.event_log import EventLog
from hazelhold.platform.machine_links import MachineLinks
from hazelhold.platform.machine_summary import machine_summaries
from hazelhold.platform.owner_server import OwnerServer
from hazelhold.platform.reading import ReadingFaultError, guarded
from hazelhold.protocol import messages as m
from hazelhold.service.arrival_time import poll_heartbeat
from hazelhold.service.net import Net
from hazelhold.service.ticker import Ticker

REREAD_PAUSES = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
"""Seconds between retries of a configuration file that was invalid at its signal."""

MAX_BATCH_DURATION = 0.02
"""Seconds of decisions between reads of peers: an owner's disconnect must be read within 0.1 s."""

ACCEPTING_AFTER_STOP = 0.7
"""Seconds after SIGTERM in which set-ups may still arrive."""

INVALID_EVENT = (ValueError, TypeError, KeyError, AttributeError, OverflowError)
"""What the translation of an event raises if the event is invalid."""

MAX_DEADLINE = 3.0
"""Seconds; the upper limit of the longest deadline from which the time of SIGKILL is calculated."""

# Seconds before SIGKILL, scaled down if the longest deadline is under a second, at which:
ANSWER_HELD_BEFORE = 0.8  # held guests are answered
ANSWER_ALL_BEFORE = 0.6  # guests that are offered to machines are answered
CLOSE_BEFORE = 0.4  # the connections are closed
EXIT_BEFORE = 0.1  # the process exits


class PlatformPlanner:
    """One planner, from its start to the requested stop."""

    def __init__(self, start: StartSettings, net: Net, config: Path | None = None) -> None:
        self.start, self.net, self.config = start, net, config
        self.log = structlog.get_logger().bind(planner=start.name)
        self.engine = Engine(start.engine_settings, start.seed, net.now())
        self.limits = start.engine_settings.limits
        submission_limits = translation.SubmissionLimits(
            start.max_resources,
            dict(zip(start.engine_settings.products, start.max_time_left, strict=True)),
            frozenset(start.engine_settings.customers),
        )
        self.ticker = Ticker(net.now, self.engine.next_at, self._work, self.limits.batch_ms / 1000)
        self.counts: Counter[str] = Counter()
        self.links = MachineLinks(net, self.engine, self.counts, self.log, self._progress, self.ticker.notify)
        self.owner_server = OwnerServer(
            net,
            self.engine,
            submission_limits,
            self.counts,
            self.log,
            self._progress,
            self.links.owner_read,
            start.bounds.memory_mb * 1e6,
        )
        self.links.has_unread_input = self.owner_server.has_unread_input
        self.zones = dict(start.zones)  # numbers by name; zones that only the list names are added
        self.follower = DiscoveryFollower(
            net,
            start.bulletin,
            start.known,
            self.engine.deployment.list_lease / 1e6,
            self._event,
            self._discovery_answered,
            self._discovery_failed,
        )
        self.event_log = EventLog(self.log, self.engine)
        self.longest_step = 0  # microseconds; of the engine since the counters were logged last
        self.reloads = 0  # reload signals so far
        self.closing = False  # machines are no longer dialled
        self.stop_requested, self.ended = trio.Event(), trio.Event()
        self.address = ""

    def log_frames(self) -> None:
        """Logs every message to and from owners and machines from now on."""
        self.owner_server.log_frames = self.links.log_frames = True

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Runs until `stop` has completed; `task_status` gets the address when the planner listens."""
        async with trio.open_nursery() as nursery:
            self.nursery = self.links.nursery = nursery
            nursery.start_soon(poll_heartbeat)
            for item in self.start.known.items:
                try:
                    self._apply_listings([self._event(item)])
                except DiscoveryError as error:
                    self.log.warning("event_unreadable", no=item.get("no"), reason=str(error))
                    if error.part is not None:
                        self._apply_listings([error.part])
            # Connections in the accept queue get half of the descriptors that owners and machines leave, less
            # some eight that the process uses otherwise.
            spare = self.start.bounds.sockets - self.limits.connections - self.limits.links
            self.address = await self.net.listen(
                self.start.listen, self.owner_server.serve, nursery, max(4, (spare - 8) // 2)
            )
            nursery.start_soon(self.ticker.run)
            # Requested here since the scheduler may request the list only later; nothing is sent before it.
            self.follower.request_update()
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._run_periodic)
            self.log.info(
                "up",
                address=self.address,
                known=self.start.known.no,
                ready=sum(
                    listed.mode is MachineMode.READY for listed in self.engine.roster.machines.values()
                ),
                machines=len(self.engine.roster.machines),
                sockets=self.start.bounds.sockets,
                memory_mb=self.start.bounds.memory_mb,
                cores=self.start.bounds.cores,
            )
            task_status.started(self.address)
            await self.stop_requested.wait()
            await self._stop()
            nursery.cancel_scope.cancel()
        self.ended.set()

    def stop(self) -> None:
        """Requests a stop. Everything that arrives before its end is still served."""
        self.stop_requested.set()

    def reload(self) -> None:
        """Reloads the configuration file. An invalid one changes nothing. Since it may be partly written, it
        is read again for some seconds, or until the next signal."""
        if self.config is None:
            return
        self.reloads += 1
        if error := self._reload_once():
            self.counts["reloads_refused"] += 1
            self.log.warning("configuration_refused", reason=error)
            self.nursery.start_soon(self._retry_reload, self.reloads)

    async def _retry_reload(self, signal: int) -> None:
        for pause in REREAD_PAUSES:
            await trio.sleep(pause)
            if self.reloads != signal or not self._reload_once():
                return

    def _reload_once(self) -> str:
        """Applies the file if it is valid; else returns its errors."""
        try:
            reloaded = guarded(read_start, (ConfigError,))(self.config)
        except (ConfigError, ReadingFaultError) as error:
            return str(error)
        self.counts["reloads"] += 1
        # Only the number of planners that share the fleet's budgets, and this planner's slot, may change in a
        # run.
        deployment = reloaded.engine_settings.deployment
        self.engine.set_planner_share(deployment.planners, deployment.slot)
        self.log.info(
            "configuration_read",
            bulletin=reloaded.bulletin,
            settings_same=reloaded.engine_settings.deployment == self.start.engine_settings.deployment,
        )
        try:
            items = self.follower.new_events(reloaded.known.items)
        except DiscoveryError:
            items = []  # missing events come from the discovery service itself
        if items:  # applied without confirming the list: the file does not show that discovery still answers
            self._apply_listings(items)
        self.engine.list_address_changed(self.net.now())  # the old address is no longer polled
        self.follower.move(reloaded.bulletin)
        return ""

    async def _stop(self) -> None:
        """Continues to serve while set-ups may arrive, then answers all accepted submissions. It stays until
        just before SIGKILL may come, so that ends of placed guests are sent for as long as possible."""
        longest = min(MAX_DEADLINE, max(self.start.max_time_left) / 1e6)
        kill, part = trio.current_time() + ACCEPTING_AFTER_STOP + longest, min(1.0, longest)
        self.log.info("stopping", unanswered=self.engine.unanswered(), until=round(kill, 2))
        self.owner_server.leaving = True
        await trio.sleep_until(kill - ANSWER_HELD_BEFORE * part)
        self.engine.stop(self.net.now())
        self._progress()
        await trio.sleep_until(kill - ANSWER_ALL_BEFORE * part)
        self.engine.stop_now(self.net.now())
        self._carry_out()
        await trio.sleep_until(kill - CLOSE_BEFORE * part)
        self.closing = True
        # Machines first, so that no end is received that could not be sent to its owner any more.
        for name in list(self.links.by_machine):
            self.links.hang_up(name)
        for peer in self.owner_server.peers.values():
            peer.end()
        with trio.move_on_at(kill - EXIT_BEFORE * part):  # partly written answers are completed
            while any(peer.unsent() for peer in self.owner_server.peers.values()):
                await trio.sleep(0.01)
        await trio.sleep(0.02)
        self.log.info("stopped", unanswered=self.engine.unanswered(), **self.all_counts())

    def all_counts(self) -> Counter[str]:
        """The counters of connections and of the engine; those with the same name are added."""
        return self.counts + self.engine.counts

    def _work(self, now: int) -> None:
        """Runs the engine once, with as many decisions as should fit into MAX_BATCH_DURATION, judged by the
        time that the last ones took."""
        self.engine.pump(now)
        self._carry_out()
        took, limit = self.net.now() - now, self.limits.decisions_at_once
        self.longest_step = max(self.longest_step, took)
        self.engine.decision_batch = (
            max(1, self.engine.decision_batch // 2)
            if took > MAX_BATCH_DURATION * 1e6
            else min(limit, self.engine.decision_batch + 1)
        )

    def _progress(self) -> None:
        """Carries out the engine's actions after input, and wakes the ticker so that it decides again."""
        self._carry_out()
        self.ticker.notify()

    def _carry_out(self) -> None:
        while self.engine.actions:
            actions, self.engine.actions = self.engine.actions, []
            for action in actions:
                self._do(action)
        self.event_log.write()

    def _do(self, action: Action) -> None:
        if isinstance(action, Send):
            if action.role == "owner":
                self.owner_server.send(action.peer, action.message)
            else:
                self.links.send(action.peer, action.message)
        elif isinstance(action, Dial) and not self.closing:
            self.links.dial(action)
        elif isinstance(action, HangUp | Disconnect):
            self.links.hang_up(action.machine if isinstance(action, HangUp) else action.peer)
        elif isinstance(action, FetchList):
            self.follower.request_update()

    # Discovery.

    def _event(self, item: dict) -> m.Listing:
        """Translates an event to a listing, without entries if it is not a roster event. DiscoveryError if it
        is invalid."""
        if "roster" not in item:
            return m.Listing(version=self.engine.list_version, whole=False, entries=[])
        try:
            read = guarded(translation.listing, INVALID_EVENT)
            listing, faults = read(item["roster"], self.zones, self.net.wall())
        except (*INVALID_EVENT, ReadingFaultError) as error:
            self.counts["discovery_unreadable"] += 1
            raise DiscoveryError(f"invalid event: {error!r:.200}") from None
        if faults:
            self.counts["discovery_entries_unreadable"] += len(faults)
            raise DiscoveryError(
                f"{len(faults)} invalid entries: {faults[0]}",
                listing if listing.entries else None,
            )
        return listing

    def _apply_listings(self, listings: list[m.Listing]) -> None:
        now = self.net.now()
        for listing in listings:
            self.engine.list_said(now, listing)
        self._progress()

    def _discovery_answered(self, listings: list[m.Listing], age: float, whole: bool) -> None:
        """Handles an answer to a poll sent `age` seconds ago. An answer that is not whole, or partly invalid,
        does not show that no other event is missing, so it does not confirm the list."""
        self.counts["discovery_answers"] += 1
        now = self.net.now()
        if listings:
            self._apply_listings(listings)
        else:
            self.engine.list_unchanged(now)
        if whole and self.engine.list_confirmed(now, now - round(age * 1e6)):
            self._progress()

    def _discovery_failed(self) -> None:
        self.counts["discovery_failures"] += 1
        self.engine.list_call_failed(self.net.now())

    # Every second.

    async def _run_periodic(self) -> None:
        """Drops overdue releases and writes counters and the debug summary, every second."""
        while True:
            await trio.sleep(1.0)
            self.owner_server.releases.drop_overdue()
            if self.event_log.write_counts(self.all_counts(), self.longest_step):
                self.longest_step = 0
            self.event_log.write_clock_step(self.net.wall_stepped())
            if self.log.is_enabled_for(logging.DEBUG):
                self._log_beliefs()

    def _log_beliefs(self) -> None:
        """Logs a summary of the planner's state at level debug."""
        engine = self.engine
        self.log.debug(
            "beliefs",
            waiting=len(engine.scheduler.held),
            out=len(engine.scheduler.outstanding),
            cases=len(engine.records),
            owners=len(self.owner_server.peers),
            links=len(self.links.by_machine),
            held=len(self.owner_server.releases.waiting),
            fleet=machine_summaries(engine, self.net.now()),
            cpu=round(time.process_time(), 2),
            counts=dict(self.counts),
            engine=dict(engine.counts),
        )
