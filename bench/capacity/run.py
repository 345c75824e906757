"""Measures rows into a result file: row by row, so that a run that was cut short goes on where it ended."""

from collections.abc import Callable, Sequence
from pathlib import Path

from bench.capacity import schema
from bench.capacity.demands import demands
from bench.capacity.fit import fit_all
from bench.capacity.isolate import FAILED, Outcome, measure_apart
from bench.capacity.machine import describe
from bench.capacity.progress import Progress
from bench.capacity.registry import Measurement
from bench.capacity.revision import UNKNOWN, revision
from bench.capacity.schema import Point, Refusal, ResultFile, Row
from bench.capacity.verdicts import verdicts

Apart = Callable[[Measurement, int], Outcome]


def kept(row: Row | None, planned: Row) -> bool:
    """Whether a row measured earlier stands for the planned one: same code and inputs, and nothing failed."""
    if row is None or planned.revision == UNKNOWN:
        return False
    same = (row.revision, row.seed, row.sizes) == (planned.revision, planned.seed, planned.sizes)
    return same and not any(refusal.reason.startswith(FAILED) for refusal in row.refused)


def plan(measurement: Measurement, small: bool) -> Row:
    """The row as it will stand, without a value."""
    return Row(
        id=measurement.id,
        role=measurement.role,
        quantity=measurement.quantity,
        unit=measurement.unit,
        by=measurement.by,
        how=measurement.how,
        revision=revision(measurement),
        seed=measurement.seed,
        sizes=list(measurement.small if small else measurement.sizes),
        note=measurement.note,
    )


def measure_row(
    measurement: Measurement,
    planned: Row,
    apart: Apart = measure_apart,
    progress: Progress | None = None,
    rounds: int = 1,
) -> Row:
    """Measures every size of a row in each round and fits it; a size that was refused is not tried again."""
    refused: dict[int, str] = {}
    for _ in range(rounds):
        for size in planned.sizes:
            if progress is not None:
                progress.step(f"{planned.id} at {size}")
            if size in refused:
                continue
            outcome = apart(measurement, size)
            planned.points += [Point(size, value) for value in outcome.values]
            if outcome.refused:
                refused[size] = outcome.refused
    planned.points.sort(key=lambda point: point.size)
    planned.refused = [Refusal(size, reason) for size, reason in refused.items()]
    planned.fits, planned.best = fit_all(planned.points)
    return planned


def steps(measurement: Measurement, small: bool) -> int:
    """How many sizes are measured for a row, over all its rounds."""
    return len(measurement.small) if small else len(measurement.sizes) * measurement.rounds


def finish(found: ResultFile) -> ResultFile:
    """Computes fits, demands and verdicts anew from the points."""
    for row in found.rows:
        row.fits, row.best = fit_all(row.points)
    found.demands = demands(found.rows)
    found.verdicts = verdicts(found.rows, found.demands)
    return found


def choose(measurements: Sequence[Measurement], only: Sequence[str], small: bool) -> list[Measurement]:
    """The rows to measure: those whose id begins as one of `only`, else all that are not too slow."""
    if only:
        return [each for each in measurements if any(each.id.startswith(word) for word in only)]
    return [each for each in measurements if not (small and each.slow)]


def take(
    measurements: Sequence[Measurement], path: Path, other: Path, only: Sequence[str] = ()
) -> ResultFile:
    """Puts the rows of another result file in the place of this one's, as they were measured there.

    A run in parts, on several machines or by several people, comes together so. `only`: rows whose id begins
    so. Raises `schema.ResultError`.
    """
    found = schema.load(path) if path.exists() else ResultFile()
    chosen = {each.id for each in choose(measurements, only, small=False)}
    rows = {row.id: row for row in found.rows}
    rows |= {row.id: row for row in schema.load(other).rows if row.id in chosen}
    _store(found, rows, measurements, path)
    return found


def run(
    measurements: Sequence[Measurement],
    path: Path,
    only: Sequence[str] = (),
    small: bool = False,
    fresh: bool = False,
    note: str = "",
    progress: Progress | None = None,
    apart: Apart = measure_apart,
) -> ResultFile:
    """Brings the file's rows up to date; writes it after each row. `only`: rows whose id begins so.

    Rows that are no longer registered leave the file. Raises `schema.ResultError` for a file of another kind.
    """
    found = schema.load(path) if path.exists() else ResultFile()
    rows = {row.id: row for row in found.rows}
    found.machine = describe(note or found.machine.note)
    for measurement in choose(measurements, only, small):
        planned = plan(measurement, small)
        if not fresh and kept(rows.get(planned.id), planned):
            _tell_kept(progress, measurement, small)
            continue
        row = measure_row(measurement, planned, apart, progress, 1 if small else measurement.rounds)
        rows[row.id] = row
        _store(found, rows, measurements, path)
        if progress is not None:
            progress.note(told(row))
    _store(found, rows, measurements, path)
    return found


def _tell_kept(progress: Progress | None, measurement: Measurement, small: bool) -> None:
    """All sizes of a row that stands are done."""
    if progress is not None:
        progress.done += steps(measurement, small)
        progress.note(f"{measurement.id}: kept")


def _store(found: ResultFile, rows: dict[str, Row], measurements: Sequence[Measurement], path: Path) -> None:
    """Writes the registered ones of these rows, in the order of registration, and what follows from them."""
    found.rows = [rows[each.id] for each in measurements if each.id in rows]
    schema.save(finish(found), path)


def told(row: Row) -> str:
    """A row in a line."""
    fit = row.best_fit()
    text = f"{row.id}: "
    if fit is not None:
        text += f"{fit.intercept:.4g} + {fit.slope:.4g} * {fit.form}, residual {fit.residual:.1%}"
    else:
        text += f"{len(row.points)} points, no fit"
    return text + "".join(f"; {refusal.size}: {refusal.reason}" for refusal in row.refused)
