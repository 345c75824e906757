"""What the kernel tells of a process: processor time, resident memory, descriptors."""

import os
from pathlib import Path

from msgspec import Struct

TICK = 1 / os.sysconf("SC_CLK_TCK")  # seconds


class Use(Struct):
    """A process at one moment. Processor time in seconds since its start, memory in bytes."""

    cpu: float
    resident: int  # VmRSS
    proportional: int  # PSS: shared pages count by share
    descriptors: int
    peak: int  # VmHWM


def cpu_seconds(pid: int) -> float:
    """Processor time of all threads, user and system, in seconds; its grain is one tick (10 ms)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK


def use(pid: int) -> Use:
    status = kilobytes(Path(f"/proc/{pid}/status"), ("VmRSS", "VmHWM"))
    shared = kilobytes(Path(f"/proc/{pid}/smaps_rollup"), ("Pss",))
    return Use(
        cpu=cpu_seconds(pid),
        resident=status["VmRSS"],
        proportional=shared["Pss"],
        descriptors=len(os.listdir(f"/proc/{pid}/fd")),
        peak=status["VmHWM"],
    )


def kilobytes(file: Path, keys: tuple[str, ...]) -> dict[str, int]:
    """Lines of the form `Key:  123 kB`, as bytes."""
    found = dict.fromkeys(keys, 0)
    for line in file.read_text().splitlines():
        key, _, value = line.partition(":")
        if key in found:
            found[key] = int(value.split()[0]) * 1024
    return found
