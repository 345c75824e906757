"""Meters: processor time, traced memory, and what the kernel says of a process."""

import gc
import os
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple, TypeVar

Made = TypeVar("Made")
TICKS = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """What the kernel says of one process."""

    resident: int  # bytes
    processor: float  # seconds, user and system
    descriptors: int


def usage(process: int | str = "self") -> Usage:
    """Of a process by its number. FileNotFoundError if it is gone."""
    place = Path("/proc") / str(process)
    pages = int((place / "statm").read_text().split()[1])
    return Usage(
        pages * os.sysconf("SC_PAGE_SIZE"),
        _processor(place),
        len(os.listdir(place / "fd")),
    )


def _processor(place: Path) -> float:
    """Seconds, to the nanosecond where the kernel keeps them by thread, else to its ticks."""
    try:
        threads = [(place / "task" / each / "schedstat").read_text() for each in os.listdir(place / "task")]
        return sum(int(text.split()[0]) for text in threads) / 1e9
    except (OSError, IndexError):
        fields = (place / "stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS


@contextmanager
def no_collection() -> Iterator[None]:
    """Keeps the garbage collector, whose runs depend on what else is in the process, out of a short time."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def processor_time(call: Callable[[], object]) -> float:
    """Seconds of this process's processor time that a call takes."""
    began = time.process_time()
    call()
    return time.process_time() - began


def traced_bytes(make: Callable[[], Made]) -> tuple[int, Made]:
    """Bytes that Python's allocator still holds after a call, and what the call made."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before, made
    finally:
        tracemalloc.stop()
