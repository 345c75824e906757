"""Runs one size of a row in a process of its own, so that no size finds the memory of another."""

import gc
import multiprocessing
import os
import signal
import threading
import time
import traceback
from collections.abc import Callable
from multiprocessing.connection import Connection
from typing import NamedTuple

from bench.capacity.registry import Measurement, RefusedError

FAILED = "failed: "
"""Begins the reason of a size that ended in an error; such a row is measured again when it is resumed."""


class Outcome(NamedTuple):
    """The values of one size, or why there are none (or no more)."""

    values: list[float]
    refused: str = ""


def measure_here(row: Measurement, size: int) -> Outcome:
    """One size in this process."""
    values: list[float] = []
    try:
        for value in row.measure(size):
            values.append(float(value))
    except RefusedError as reason:
        return Outcome(values, str(reason))
    except Exception as fault:
        frame = traceback.extract_tb(fault.__traceback__)[-1]
        place = f"{os.path.basename(frame.filename)}:{frame.lineno}"
        return Outcome(values, f"{FAILED}{type(fault).__name__}: {fault} ({place})"[:400])
    if not values:
        return Outcome(values, f"{FAILED}no value")
    return Outcome(values)


def measure_apart(row: Measurement, size: int, tick: Callable[[], None] = lambda: None) -> Outcome:
    """One size in a forked process, which is ended when it takes longer than the row allows."""
    context = multiprocessing.get_context("fork")
    mine, theirs = context.Pipe(duplex=False)
    process = context.Process(target=_child, args=(row, size, theirs))
    process.start()
    theirs.close()
    deadline = time.monotonic() + row.seconds
    try:
        while not mine.poll(0.2):
            tick()
            if time.monotonic() > deadline:
                return Outcome([], f"took longer than {row.seconds:g} s")
        return Outcome(*mine.recv())
    except EOFError:
        process.join(5)
        return Outcome([], f"{FAILED}the process ended with {process.exitcode}")
    finally:
        _end(process)
        mine.close()


def _child(row: Measurement, size: int, answer: Connection) -> None:
    os.setsid()  # what it starts ends with it
    threading.Thread(target=_end_with_parent, daemon=True).start()
    gc.freeze()  # the collector passes over what the parent has imported
    answer.send(tuple(measure_here(row, size)))
    answer.close()
    os._exit(0)  # without the parent's clean-up, which takes longer than many measurements


def _end_with_parent() -> None:
    """Waits for the end of the benchmark's process, however it ends, and ends this one with what it started.

    Nothing then goes on beside a run that is resumed.
    """
    multiprocessing.parent_process().join()
    os.killpg(0, signal.SIGKILL)


def _end(process: multiprocessing.Process) -> None:
    """Ends the child and whatever it started."""
    process.join(2)
    try:
        os.killpg(process.pid, signal.SIGKILL)
    except (ProcessLookupError, PermissionError):
        pass
    process.join()
