"""Runs the membership of one planner on a datagram port, in the planner's nursery."""

import ipaddress
from collections.abc import Callable
from functools import lru_cache
from random import SystemRandom

import msgspec
import structlog
import trio

from hazelhold import __version__
from hazelhold.config.load import split_address
from hazelhold.config.planner import MembershipConfig, to_microseconds
from hazelhold.membership.core import (
    MembershipChange,
    MembershipCore,
    MembershipSettings,
    Reply,
    SendDatagram,
)
from hazelhold.membership.messages import VERSION
from hazelhold.membership.rows import ALIVE, Row
from hazelhold.protocol.record import Recorder
from hazelhold.service.net import DatagramPort, Net

WARNINGS = ("suspected", "gone", "refuted", "alone", "life_raised")


class Note(msgspec.Struct):
    """A change of a planner's view, as it is written to its record."""

    what: str
    life: int


def settings(config: MembershipConfig) -> MembershipSettings:
    """The settings of the core, from milliseconds and seconds to microseconds."""
    return MembershipSettings(
        deployment=config.deployment,
        probe=to_microseconds(config.probe_ms),
        answer=to_microseconds(config.answer_ms),
        suspect=to_microseconds(config.suspect_ms),
        suspect_most=to_microseconds(config.suspect_most_ms),
        sync=to_microseconds(config.sync_ms),
        heal=to_microseconds(config.heal_ms),
        join=to_microseconds(config.probe_ms),
        forget=round(config.forget_s * 1e6),
        most_members=config.most_members,
    )


@lru_cache(maxsize=8192)
def numeric(address: str) -> tuple[str, int] | None:
    """Host and port of `host:port` with an IP address as host. None for anything else: names that other
    members report are never looked up."""
    try:
        host, port = split_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        return None
    return (host, port) if port else None


class MembershipHost:
    """Hosts one planner's membership; `core` holds its view. `run` ends when it is cancelled or after
    `leave`."""

    def __init__(
        self, name: str, config: MembershipConfig, net: Net, recorder: Recorder | None = None
    ) -> None:
        self.name, self.config, self.net, self.recorder = name, config, net, recorder
        self.log = structlog.get_logger().bind(planner=name)
        self.core: MembershipCore | None = None
        self.port: DatagramPort | None = None
        self.notified = trio.Event()
        self.extra_status: Callable[[], dict[str, str]] = dict  # more values for `hazelhold members`

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        config, draw = self.config, SystemRandom()
        self.port = await self.net.port(config.listen)
        try:
            me = Row(
                name=self.name,
                life=max(0, self.net.wall() // 1000),
                nonce=draw.getrandbits(62),
                seq=0,
                state=ALIVE,
                address=config.advertise or self.port.address,
                zone=config.zone,
                program=__version__,
                speaks=[VERSION],
            )
            self.core = MembershipCore(
                me, list(config.seeds), settings(config), draw.getrandbits(62), self.net.now()
            )
            self.core.extra_status = self.extra_status
            self.core.start(self.net.now())
            self.log.info(
                "membership",
                address=self.port.address,
                told_as=me.address,
                life=me.life,
                seeds=len(config.seeds),
            )
            self._note(self.name, "started", me.life)
            task_status.started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._listen)
                if config.metrics:
                    from hazelhold.membership.metrics import MembershipMetrics

                    nursery.start_soon(MembershipMetrics(self.core, config.metrics).run)
                await self._run_timers()
                nursery.cancel_scope.cancel()
        finally:
            self.port.close()

    async def _listen(self) -> None:
        while True:
            await self.port.readable()
            self._drain()
            self.notified.set()

    def _drain(self) -> None:
        """Handles all datagrams that have arrived, before a timer could count them as missing."""
        for body, source in self.port.pending():
            self.core.receive(self.net.now(), body)
            self._carry_out(source)

    async def _run_timers(self) -> None:
        core = self.core
        while not core.left:
            self._drain()
            core.wake(self.net.now())
            self._carry_out(None)
            due = core.next_at()
            timeout = float("inf") if due is None else max(0.0, (due - self.net.now()) / 1e6)
            with trio.move_on_after(timeout):
                await self.notified.wait()
            await trio.lowlevel.checkpoint()
            self.notified = trio.Event()

    def _carry_out(self, source: object) -> None:
        actions, self.core.actions = self.core.actions, []
        for action in actions:
            if isinstance(action, SendDatagram):
                reach = self.config.reach
                self._send(action.body, reach.get(action.name) or reach.get(action.address) or action.address)
            elif isinstance(action, Reply):
                self.port.send(action.body, source)
            else:
                self._log_change(action)

    def _send(self, body: bytes, address: str) -> None:
        to = numeric(address) if self.port.numeric else address
        if to is None:
            self.core.counts["bad_address"] += 1
        elif not self.port.send(body, to):
            self.core.counts["unsent"] += 1

    def _note(self, name: str, what: str, life: int) -> None:
        if self.recorder is not None:
            self.recorder.note(self.net.now(), name, "member", Note(what, life))

    def _log_change(self, change: MembershipChange) -> None:
        self._note(change.name, change.what, change.cause.get("life", -1))
        if change.what == "yielded":
            self.log.error("member_yielded", member=change.name, **change.cause)
        else:
            log = self.log.warning if change.what in WARNINGS else self.log.info
            log("member", state=change.what, member=change.name, **change.cause)

    async def leave(self) -> None:
        """Leaves the group and waits until the others were informed, at most a second."""
        if self.core is None:
            return
        self.core.leave(self.net.now())
        self._carry_out(None)
        self.notified.set()
        with trio.move_on_after(1.0):
            while not self.core.left:
                await trio.sleep(0.02)
