"""Signal handling from the start of a process to its exit."""

import signal
from collections.abc import Iterator, Sequence
from contextlib import contextmanager


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
        for kind in kinds:
            signal.signal(kind, signal.SIG_IGN)
