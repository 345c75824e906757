"""Signal handling from the start of a process to its exit."""

import signal
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

import trio


@contextmanager
def early_signals(kinds: Sequence[signal.Signals]) -> Iterator[list[int]]:
    """Collects signals of these kinds that arrive before trio handles them, so that none ends the process.

    Afterwards they are ignored until the process has exited: an interpreter that shuts down restores the
    system's default handlers, by which a signal would turn a completed stop into an error exit.
    """
    received: list[int] = []
    for kind in kinds:
        signal.signal(kind, lambda number, _: received.append(number))
    try:
        yield received
    finally:
        ignore_signals(kinds)


def ignore_signals(kinds: Sequence[signal.Signals]) -> None:
    """Ignores signals of these kinds from now on."""
    for kind in kinds:
        signal.signal(kind, signal.SIG_IGN)


def run_until_end(
    kinds: Sequence[signal.Signals], main: Callable[..., Awaitable[None]], *arguments: object
) -> None:
    """Runs `main` with trio, and ignores signals of these kinds from its end on.

    At each signal that has a handler the interpreter writes to a socket of trio's, which trio closes when it
    ends. A signal between that close and the end would leave a traceback in the log.
    """

    async def run() -> None:
        try:
            await main(*arguments)
        finally:
            ignore_signals(kinds)

    trio.run(run)
