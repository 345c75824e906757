"""Planners as processes of the program, with wires between them; what they believe is asked as an operator
asks."""

import json
import signal
import socket
import sys
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import msgspec
import trio

from hazelhold.cli.members import ask
from hazelhold.config.planner import MembershipConfig, PlannerConfig
from hazelhold.membership.rows import STATES
from hazelhold.rehearse.fault_proxy import FaultProxies
from hazelhold.rehearse.ports import free_ports
from hazelhold.service.net import TcpNet
from tests.bound_process import BoundProcess
from tests.helpers import planner_config

LONG = 90.0  # seconds: no test waits so long unless something is wrong
Views = dict[str, dict[str, str]]


class Rig:
    """Planners p0, p1, ... Each pair speaks through wires unless `direct`."""

    def __init__(
        self, folder: Path, nursery: trio.Nursery, count: int, seed: int = 1, **timing: float
    ) -> None:
        self.folder, self.nursery, self.timing = folder, nursery, timing
        self.net = TcpNet()
        self.wires = FaultProxies(self.net, nursery, seed)
        self.names = [f"p{n}" for n in range(count)]
        self.ports = dict(zip(self.names, free_ports(count, socket.SOCK_DGRAM), strict=True))
        self.doors = dict(zip(self.names, free_ports(count), strict=True))
        self.configs: dict[str, PlannerConfig] = {}
        self.running: dict[str, BoundProcess] = {}
        self.logs: list[Path] = []

    def at(self, name: str) -> str:
        return f"127.0.0.1:{self.ports[name]}"

    async def with_membership(self, seeds: Iterable[str]) -> None:
        for number, name in enumerate(self.names):
            reach = {
                other: await self.wires.datagrams(name, other, self.at(other))
                for other in self.names
                if other != name
            }
            members = MembershipConfig(
                listen=self.at(name),
                seeds=[reach[s] for s in seeds if s in reach],
                reach=reach,
                zone=f"zone-{number % 2}",
                **{
                    "probe_ms": 200.0,
                    "answer_ms": 150.0,
                    "suspect_ms": 1500.0,
                    "suspect_most_ms": 5000.0,
                    "heal_ms": 1000.0,
                    **self.timing,
                },
            )
            self.configs[name] = msgspec.structs.replace(
                planner_config(),
                name=name,
                listen=f"127.0.0.1:{self.doors[name]}",
                slot=number,
                planners=len(self.names),
                membership=members,
                list=msgspec.structs.replace(planner_config().list, address="127.0.0.1:1"),
            )

    async def start(self, name: str, life: str = "", **changes: object) -> None:
        """Starts `hazelhold planner`; it is up when this returns."""
        made = self.configs[name]
        if changes:
            made = msgspec.structs.replace(
                made, listen="127.0.0.1:0", membership=msgspec.structs.replace(made.membership, **changes)
            )
        key = name + life
        file = self.folder / f"{key}.json5"
        file.write_bytes(msgspec.json.encode(made))
        log_file = self.folder / f"{key}-{len(self.logs)}.log"
        self.logs.append(log_file)
        with log_file.open("wb") as log:
            process = BoundProcess(
                [
                    sys.executable,
                    "-m",
                    "hazelhold",
                    "planner",
                    "--config",
                    str(file),
                    "--log",
                    "json",
                    "--ready",
                ],
                stderr=log,
            )
        self.running[key] = process
        with trio.fail_after(LONG):
            assert await process.stdout.receive_some(100), f"{key} ended: {log_file.read_text()}"

    async def start_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for name in self.names:
                nursery.start_soon(self.start, name)

    async def end(self, key: str, by: signal.Signals) -> None:
        process = self.running.pop(key)
        process.send_signal(by)
        process.send_signal(signal.SIGCONT)
        with trio.fail_after(LONG):
            await process.wait()

    async def kill(self, key: str) -> None:
        await self.end(key, signal.SIGKILL)

    async def stop(self, key: str) -> None:
        await self.end(key, signal.SIGTERM)

    def pause(self, key: str) -> None:
        self.running[key].send_signal(signal.SIGSTOP)

    def resume(self, key: str) -> None:
        self.running[key].send_signal(signal.SIGCONT)

    async def seen(self, at: str, deployment: str = "hazelhold") -> tuple[dict, dict[str, str]] | None:
        """A planner's own standing and the states of all in its view; None if it does not answer."""
        host, _, port = at.rpartition(":")
        said = await trio.to_thread.run_sync(partial(ask, (host, int(port)), deployment, 1.0))
        return said and (said[0], {each.row.name: STATES[each.row.state] for each in said[1]})

    async def views(self, names: Iterable[str]) -> Views:
        found: Views = {}

        async def one(name: str) -> None:
            said = await self.seen(self.at(name))
            found[name] = said[1] if said else {}

        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(one, name)
        return found

    async def until(self, true: Callable[[Views], bool], names: Iterable[str] | None = None) -> Views:
        """Waits until it holds of the views of these (all who run, else); fails after a generous while."""
        names = [n for n in self.names if n in self.running] if names is None else list(names)
        found: Views = {}
        with trio.move_on_after(LONG):
            while True:
                found = await self.views(names)
                if true(found):
                    return found
                await trio.sleep(0.1)
        raise AssertionError(f"not within {LONG} s; last seen: {json.dumps(found, indent=1)}")

    async def all_alive(self, names: Iterable[str] | None = None) -> None:
        names = list(names or self.names)
        await self.until(lambda views: all(views[a].get(b) == "alive" for a in names for b in names), names)

    async def holds(self, seconds: float, true: Callable[[Views], bool], names: Iterable[str]) -> None:
        """It holds now, and whenever it is looked at for so long."""
        names = list(names)
        with trio.move_on_after(seconds):
            while True:
                found = await self.views(names)
                assert true(found), found
                await trio.sleep(0.3)

    def said(self, event: str = "member") -> list[dict]:
        """All log lines of this event of all lives, in the order of time."""
        lines = [
            json.loads(line)
            for log in self.logs
            for line in log.read_text().splitlines()
            if line.startswith("{")
        ]
        return sorted((x for x in lines if x.get("event") == event), key=lambda x: x["timestamp"])


@asynccontextmanager
async def rig(
    folder: Path, count: int, seeds: Iterable[str] = ("p0", "p1", "p2"), start: bool = True, **timing: float
) -> AsyncIterator[Rig]:
    """All planners up and known to each other, unless not to be started; all ended at the end."""
    async with trio.open_nursery() as nursery:
        made = Rig(folder, nursery, count, **timing)
        try:
            await made.with_membership(seeds)
            if start:
                await made.start_all()
                await made.all_alive()
            yield made
        finally:
            with trio.CancelScope(shield=True):
                for process in made.running.values():
                    process.kill()
                    await process.wait()
        for log in made.logs:
            assert "Traceback" not in log.read_text(), log.read_text()[-2000:]
        nursery.cancel_scope.cancel()
