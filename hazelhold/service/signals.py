"""Signals that ask a process to do something, from its start to its last moment."""

import signal
from collections.abc import Iterator, Sequence
from contextlib import contextmanager


@contextmanager
def early_signals(kinds: Sequence[signal.Signals]) -> Iterator[list[int]]:
    """Signals of these kinds that come before trio listens: noted, so that none ends the process early.

    Afterwards they are ignored, until the process has gone: an interpreter that ends sets its own handlers
    back to the system's default, by which a signal would end a stop that has done its work with an error.
    """
    seen: list[int] = []
    for kind in kinds:
        signal.signal(kind, lambda number, _: seen.append(number))
    try:
        yield seen
    finally:
        for kind in kinds:
            signal.signal(kind, signal.SIG_IGN)
