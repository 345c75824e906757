"""The result file of `python -m bench.capacity`: measured slopes, computed demands, and verdicts.

`docs/capacity/slopes.json` holds one `ResultFile`. Read it with `load`, write it with `save`.
"""

from pathlib import Path
from typing import Literal

import msgspec

FORMAT = 1
"""Version of the file's format; raised with each change that older readers can't take."""

RESULT_PATH = Path(__file__).parent.parent.parent / "docs" / "capacity" / "slopes.json"

How = Literal["real process", "hollow", "module alone", "computed"]
"""What was measured: a real process, one among simulated peers, one module, or nothing but arithmetic."""

Form = Literal["constant", "n", "n log n", "n squared"]
"""The shape of a fitted curve, always with an intercept; the logarithm is to base 2."""

Holds = Literal["holds", "falls short", "not measured"]


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One raw measurement; a size may have several."""

    size: int
    value: float


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """value = intercept + slope * form(size), by least squares of the relative error.

    `residual` is the root mean square of the relative error, so 0.05 is 5 percent.
    """

    form: Form
    slope: float
    intercept: float
    residual: float


class Refusal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A size that was not measured, and why: refused by the program, by the machine, or failed."""

    size: int
    reason: str


class Row(msgspec.Struct, forbid_unknown_fields=True):
    """One quantity of one role, measured at several sizes.

    `by` says what `size` counts; `revision` and `seed` identify the code and input that gave the points;
    `best` names the form of the fit that is told, "" if too few sizes were measured.
    """

    id: str
    role: str
    quantity: str
    unit: str
    by: str
    how: How
    revision: str
    seed: int
    sizes: list[int]
    points: list[Point] = []
    fits: list[Fit] = []
    best: str = ""
    refused: list[Refusal] = []
    note: str = ""

    def best_fit(self) -> Fit | None:
        """The fit that is told, or None if the row has none."""
        return next((fit for fit in self.fits if fit.form == self.best), None)


class Demand(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the target asks of one role; `arithmetic` evaluates to `value`."""

    id: str
    role: str
    value: float
    unit: str
    arithmetic: str
    note: str = ""


class Verdict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One resource of one role at the target size: what is spent against what is budgeted.

    `factor` is value / budget: above 1 it falls short by that factor. Without a measurement `value` and
    `factor` are None. `arithmetic` evaluates to `value`.
    """

    role: str
    resource: str
    budget: float
    value: float | None
    unit: str
    rows: list[str]
    demands: list[str]
    arithmetic: str
    holds: Holds
    factor: float | None
    note: str = ""


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the measurements ran. `load` is the one-minute load average when the run began."""

    cores: int = 0
    memory_bytes: int = 0
    processor: str = ""
    system: str = ""
    python: str = ""
    load: float = 0.0
    note: str = ""


class ResultFile(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file."""

    format: int = FORMAT
    rows: list[Row] = []
    demands: list[Demand] = []
    verdicts: list[Verdict] = []
    machine: Machine = Machine()


class ResultError(Exception):
    """The result file can't be read: no JSON, another format, or fields that don't fit."""


def load(path: Path = RESULT_PATH) -> ResultFile:
    """Reads a result file; raises `ResultError` if it is of another format or not one at all."""
    try:
        found = msgspec.json.decode(path.read_bytes(), type=ResultFile)
    except msgspec.DecodeError as error:
        raise ResultError(f"{path}: {error}") from None
    if found.format != FORMAT:
        raise ResultError(f"{path}: format {found.format}, expected {FORMAT}")
    return found


def save(found: ResultFile, path: Path = RESULT_PATH) -> None:
    """Writes a result file whole: a reader sees the former one or this one."""
    path.parent.mkdir(parents=True, exist_ok=True)
    draft = path.with_suffix(".tmp")
    draft.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
    draft.replace(path)
