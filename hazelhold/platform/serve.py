"""Runs one planner on the platform as a process: its environment, its signals, its end."""

import os
import signal
from pathlib import Path

import trio

from hazelhold.config.load import ConfigError
from hazelhold.platform.configuration import StartSettings, read_start
from hazelhold.platform.planner import PlatformPlanner
from hazelhold.service.net import TcpNet
from hazelhold.service.signals import early_signals


def serve(config: Path | None = None, frames: bool = False) -> None:
    """Runs until SIGTERM or SIGINT; SIGHUP reads the configuration again. ConfigError if it is wrong."""
    path = config or Path(os.environ.get("BALANCER_CONFIG", ""))
    if not path.name:
        raise ConfigError("environment", [("BALANCER_CONFIG", "is not set, and no --config is given")])
    with early_signals(KINDS) as early:
        start = read_start(path, START_TRIES)
        trio.run(run, start, path, frames, early)


START_TRIES = 30
"""Reads of the configuration at a start: for three seconds nothing else waits."""

KINDS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def run(start: StartSettings, path: Path, frames: bool, early: list[int]) -> None:
    planner = PlatformPlanner(start, TcpNet(), path)
    if frames:
        planner.log_frames()
    with trio.open_signal_receiver(*KINDS) as signals:
        async with trio.open_nursery() as nursery:

            def take(number: int) -> None:
                planner.reload() if number == signal.SIGHUP else planner.stop()

            async def listen() -> None:
                async for number in signals:
                    take(number)

            await nursery.start(planner.run)
            for number in early:
                take(number)
            nursery.start_soon(listen)
            await planner.ended.wait()
            nursery.cancel_scope.cancel()
