"""Plays a case: a temporary folder, a time limit, the record, the exit code."""

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.record import Record

HELD, BROKEN, NOT_RUN = 0, 11, 2  # a fault of the script itself ends Python with 1, which is not BROKEN
LIMIT_S = 110.0
LAG_STEP_S, LAG_LIMIT_S = 0.02, 0.25  # stand-ins that stood still for longer show nothing of the planner


class NotRunError(Exception):
    """The case could not run, whatever the rule."""


class Play:
    """What a case works with; `broken` collects what breaks the rule."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.broken: list[str] = []
        self.planners: list = []

    def breaks(self, text: str) -> None:
        self.broken.append(text)
        self.record.note("JUDGE", "BROKEN: " + text)


async def watched(case: Awaitable[None], record: Record) -> float:
    """Runs a case; returns for how long the stand-ins, which share one thread, did not run at most."""
    most = 0.0

    async def watch() -> None:
        nonlocal most
        while True:
            before = record.now()
            await asyncio.sleep(LAG_STEP_S)
            most = max(most, record.now() - before - LAG_STEP_S)

    watching = asyncio.ensure_future(watch())
    await asyncio.wait_for(case, LIMIT_S)
    watching.cancel()
    return most


def play(folder: Path, case: Callable[[Play], Awaitable[None]]) -> None:
    """Runs a case and exits with BROKEN, HELD or NOT_RUN."""
    made = Play(folder)
    made.record.note("case", f"TROUBLE={int(made.trouble)}")
    code = NOT_RUN
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    try:
        most = asyncio.run(watched(case(made), made.record))
        made.record.note("case", f"the stand-ins stood still for {most:.3f} s at most")
        if most > LAG_LIMIT_S:
            raise NotRunError(f"the machine was too busy: the stand-ins stood still for {most:.3f} s")
        code = BROKEN if made.broken else HELD
    except NotRunError as error:
        made.record.note("case", f"could not run: {error}")
    except Exception:
        made.record.note("case", "could not run: " + traceback.format_exc())
    finally:
        for planner in made.planners:
            planner.close()
        shutil.rmtree(made.folder, ignore_errors=True)
        made.record.note("JUDGE", {HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "not run"))
        made.record.write()
    print(made.record.lines[-1], *made.broken, sep="\n")
    sys.exit(code)
