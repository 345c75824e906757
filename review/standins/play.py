"""Plays a case: a temporary folder, a time limit, the record, the exit code."""

import asyncio
import os
import shutil
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


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


def play(folder: Path, case: Callable[[Play], Awaitable[None]]) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    made = Play(folder)
    made.record.note("case", f"TROUBLE={int(made.trouble)}")
    code = NOT_RUN
    try:
        asyncio.run(asyncio.wait_for(case(made), LIMIT_S))
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
