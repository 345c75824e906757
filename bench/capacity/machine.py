"""Tells what the measurements ran on."""

import os
import platform
from pathlib import Path

from bench.capacity.schema import Machine


def describe(note: str = "") -> Machine:
    """This machine, as the result file tells it."""
    return Machine(
        cores=len(os.sched_getaffinity(0)),
        memory_bytes=os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES"),
        processor=_processor(),
        system=f"{platform.system()} {platform.release()}",
        python=platform.python_version(),
        load=round(os.getloadavg()[0], 1),
        note=note,
    )


def _processor() -> str:
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            return line.partition(":")[2].strip()
    return platform.machine()
