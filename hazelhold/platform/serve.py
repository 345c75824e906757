"""Runs a platform planner as a process: environment, signals and exit."""

import os
import signal
from pathlib import Path

import trio

from hazelhold.config.load import ConfigError
from hazelhold.platform.configuration import StartSettings, read_start
from hazelhold.platform.planner import PlatformPlanner
from hazelhold.service.net import TcpNet
from hazelhold.service.signals import early_signals, run_until_end


def serve(config: Path | None = None, frames: bool = False) -> None:
    """Runs until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    The configuration file is `config`, else the one that BALANCER_CONFIG names. `frames` logs every message.
    ConfigError if the file is invalid.
    """
    path = config or Path(os.environ.get("BALANCER_CONFIG", ""))
    if not path.name:
        raise ConfigError("environment", [("BALANCER_CONFIG", "is not set, and --config is missing")])
    with early_signals(SIGNALS) as early:
        start = read_start(path, START_TRIES)
        run_until_end(SIGNALS, run, start, path, frames, early)


START_TRIES = 30
"""Tries of reading the configuration at the start. They may take three seconds: nothing runs yet that would
have to wait."""

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


async def run(start: StartSettings, path: Path, frames: bool, early: list[int]) -> None:
    """Runs the planner and handles its signals; `early` holds those that came during the start."""
    planner = PlatformPlanner(start, TcpNet(), path)
    if frames:
        planner.log_frames()
    with trio.open_signal_receiver(*SIGNALS) as signals:
        async with trio.open_nursery() as nursery:

            def handle(number: int) -> None:
                planner.reload() if number == signal.SIGHUP else planner.stop()

            async def listen() -> None:
                async for number in signals:
                    handle(number)

            await nursery.start(planner.run)
            for number in early:
                handle(number)
            nursery.start_soon(listen)
            await planner.ended.wait()
            nursery.cancel_scope.cancel()
