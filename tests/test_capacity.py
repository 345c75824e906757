"""bench.capacity: fits, the result file, rows resumed and refused, arithmetic, the command itself."""

import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import msgspec
import pytest

from bench.capacity import budgets, demands, fit, registry, run, schema, target, verdicts
from bench.capacity.arithmetic import Known, MissingError, NotArithmeticError
from bench.capacity.isolate import FAILED, measure_apart, measure_here
from bench.capacity.registry import Measurement, RefusedError
from bench.capacity.schema import Demand, Fit, Point, ResultFile, Row

ROOT = Path(__file__).parent.parent
SIZES = (456, 913, 1825, 3650, 7300)
SMALL_COMMAND_S = 120  # generous: the machine may be busy; it takes about 20 s


# Fits.


def noisy(form: str, seed: int, noise: float = 0.03, sizes: tuple[int, ...] = SIZES) -> list[Point]:
    """Points of one form; its part of the value grows from as much as the intercept."""
    random = Random(f"{form}/{seed}")
    shape = fit.FORMS[form]
    slope = 1 / (shape(sizes[0]) or 1)
    return [
        Point(size, (1 + slope * shape(size)) * random.uniform(1 - noise, 1 + noise))
        for size in sizes
        for _ in range(5)
    ]


@pytest.mark.parametrize("form", ["constant", "n", "n squared"])
@pytest.mark.parametrize("seed", range(20))
def test_fit_finds_the_form_in_noise(form: str, seed: int) -> None:
    fits, best = fit.fit_all(noisy(form, seed))
    assert best == form
    assert [each.form for each in fits] == list(fit.FORMS)
    assert next(each for each in fits if each.form == best).residual < 0.05


def test_noise_seldom_makes_a_slope_of_a_constant() -> None:
    found = [fit.fit_all(noisy("constant", seed, 0.3))[1] for seed in range(200)]
    assert found.count("constant") >= 180


@pytest.mark.parametrize("seed", range(20))
def test_fit_tells_n_log_n_from_n_over_wide_sizes(seed: int) -> None:
    """Over a few doublings the two are alike but for a percent: it takes wide sizes and little noise."""
    wide = tuple(4**power for power in range(1, 8))
    assert fit.fit_all(noisy("n log n", seed, 0.005, wide))[1] == "n log n"
    assert fit.fit_all(noisy("n", seed, 0.005, wide))[1] == "n"


def test_fit_gives_slope_and_intercept() -> None:
    fits, best = fit.fit_all([Point(size, 70 + 3 * size) for size in SIZES])
    found = next(each for each in fits if each.form == best)
    assert (best, found.residual) == ("n", pytest.approx(0, abs=1e-9))
    assert (found.slope, found.intercept) == (pytest.approx(3), pytest.approx(70))
    assert fit.value_at(found, 10_000) == pytest.approx(30_070)


def test_fit_takes_the_median_of_a_size() -> None:
    points = [Point(size, value) for size in SIZES for value in (size, size, 50 * size)]
    found = next(each for each in fit.fit_all(points)[0] if each.form == "n")
    assert found.slope == pytest.approx(1)


def test_fit_of_zeros_and_of_too_few_sizes() -> None:
    assert fit.fit_all([Point(size, 0.0) for size in SIZES])[1] == "constant"
    assert fit.fit_all([Point(1, 1.0), Point(1, 2.0), Point(2, 2.0)]) == ([], "")
    assert fit.fit_all([]) == ([], "")


# Rows.


def row(measure: registry.Measure, **changes: object) -> Measurement:
    made = Measurement(
        "role.quantity",
        "role",
        "quantity",
        "s",
        "workers",
        "module alone",
        (1, 2, 4, 8),
        (1, 2, 3),
        1,
        "",
        "bench.capacity.rows_test",
        (),
        measure,
        seconds=10.0,
    )
    return made._replace(**changes)


@pytest.fixture
def known_revision(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The revision that rows have; a test may change it."""
    now = ["a"]
    monkeypatch.setattr(run, "revision", lambda measurement: now[0])
    return now


def counted(calls: list[int]) -> registry.Measure:
    def measure(size: int) -> Iterator[float]:
        calls.append(size)
        yield 2.0 * size

    return measure


def test_a_row_that_stands_is_kept(tmp_path: Path, known_revision: list[str]) -> None:
    calls: list[int] = []
    path, rows = tmp_path / "slopes.json", [row(counted(calls))]
    found = run.run(rows, path, apart=measure_here)
    assert calls == [1, 2, 4, 8] and found.rows[0].best == "n"
    run.run(rows, path, apart=measure_here)
    assert len(calls) == 4
    run.run(rows, path, fresh=True, apart=measure_here)
    assert len(calls) == 8
    known_revision[0] = "b"
    assert run.run(rows, path, apart=measure_here).rows[0].revision == "b"
    assert len(calls) == 12
    run.run([rows[0]._replace(seed=2)], path, apart=measure_here)
    run.run([rows[0]._replace(seed=2, sizes=(1, 2, 4))], path, apart=measure_here)
    assert len(calls) == 19


def test_without_a_known_revision_nothing_is_kept(tmp_path: Path, known_revision: list[str]) -> None:
    calls: list[int] = []
    known_revision[0] = "unknown"
    for _ in range(2):
        run.run([row(counted(calls))], tmp_path / "slopes.json", apart=measure_here)
    assert len(calls) == 8


def test_a_run_that_was_cut_short_goes_on(tmp_path: Path, known_revision: list[str]) -> None:
    calls: list[int] = []

    def cut(size: int) -> Iterator[float]:
        raise KeyboardInterrupt
        yield

    path = tmp_path / "slopes.json"
    first, second = row(counted(calls)), row(cut, id="role.second")
    with pytest.raises(KeyboardInterrupt):
        run.run([first, second], path, apart=measure_here)
    assert [each.id for each in schema.load(path).rows] == ["role.quantity"]
    run.run([first, second._replace(measure=counted(calls))], path, apart=measure_here)
    assert calls == [1, 2, 4, 8] * 2
    assert [each.id for each in schema.load(path).rows] == ["role.quantity", "role.second"]


def test_only_touches_the_rows_that_it_names(tmp_path: Path, known_revision: list[str]) -> None:
    calls, others = [], []
    path = tmp_path / "slopes.json"
    rows = [row(counted(calls)), row(counted(others), id="other.quantity")]
    run.run(rows, path, apart=measure_here)
    run.run(rows, path, only=["other"], fresh=True, apart=measure_here)
    assert (len(calls), len(others)) == (4, 8)
    assert len(schema.load(path).rows) == 2


def test_small_sizes_leave_slow_rows_out_unless_named(tmp_path: Path, known_revision: list[str]) -> None:
    calls, others = [], []
    rows = [row(counted(calls), slow=True), row(counted(others), id="other.quantity")]
    run.run(rows, tmp_path / "small.json", small=True, apart=measure_here)
    assert (len(calls), len(others)) == (0, 3)
    run.run(rows, tmp_path / "small.json", only=["role"], small=True, apart=measure_here)
    assert (len(calls), len(others)) == (3, 3)
    run.run(rows, tmp_path / "full.json", apart=measure_here)
    assert (len(calls), len(others)) == (7, 7)


def test_rows_of_another_file_are_taken_as_they_are(tmp_path: Path, known_revision: list[str]) -> None:
    mine, theirs = tmp_path / "mine.json", tmp_path / "theirs.json"
    rows = [row(counted([])), row(counted([]), id="other.quantity")]
    run.run(rows, mine, apart=measure_here)
    known_revision[0] = "elsewhere"
    run.run(rows[1:], theirs, apart=measure_here)
    run.take(rows, mine, theirs, only=["role"])
    assert {each.revision for each in schema.load(mine).rows} == {"a"}
    run.take(rows, mine, theirs)
    assert [(each.id, each.revision) for each in schema.load(mine).rows] == [
        ("role.quantity", "a"),
        ("other.quantity", "elsewhere"),
    ]


def test_a_refused_size_is_told_and_kept(tmp_path: Path, known_revision: list[str]) -> None:
    calls: list[int] = []

    def refuses(size: int) -> Iterator[float]:
        calls.append(size)
        yield float(size)
        if size == 8:
            raise RefusedError("no more descriptors")

    path = tmp_path / "slopes.json"
    run.run([row(refuses)], path, apart=measure_here)
    run.run([row(refuses)], path, apart=measure_here)
    assert calls == [1, 2, 4, 8]
    found = schema.load(path).rows[0]
    assert found.refused == [schema.Refusal(8, "no more descriptors")]
    assert [point.size for point in found.points] == [1, 2, 4, 8] and found.best == "n"


def test_rounds_measure_all_sizes_in_turn_but_no_refused_one(
    tmp_path: Path, known_revision: list[str]
) -> None:
    calls: list[int] = []

    def refuses(size: int) -> Iterator[float]:
        calls.append(size)
        if size == 8:
            raise RefusedError("too many")
        yield float(size)

    found = run.run([row(refuses, rounds=3)], tmp_path / "slopes.json", apart=measure_here).rows[0]
    assert calls == [1, 2, 4, 8, 1, 2, 4, 1, 2, 4]
    assert [point.size for point in found.points] == [1, 1, 1, 2, 2, 2, 4, 4, 4]
    assert found.refused == [schema.Refusal(8, "too many")]
    calls.clear()
    run.run([row(refuses, rounds=3)], tmp_path / "small.json", small=True, apart=measure_here)
    assert calls == [1, 2, 3]


def test_a_failed_size_is_told_and_measured_again(tmp_path: Path, known_revision: list[str]) -> None:
    def fails(size: int) -> Iterator[float]:
        if size > 1:
            raise ValueError("broken")
        yield 1.0

    path, calls = tmp_path / "slopes.json", []
    found = run.run([row(fails)], path, apart=measure_here).rows[0]
    assert [each.size for each in found.refused] == [2, 4, 8]
    assert found.refused[0].reason.startswith(FAILED + "ValueError: broken (test_capacity.py:")
    assert (found.fits, found.best) == ([], "")
    assert run.run([row(counted(calls))], path, apart=measure_here).rows[0].refused == []
    assert calls == [1, 2, 4, 8]


def test_a_size_without_a_value_has_failed() -> None:
    assert measure_here(row(lambda size: iter(())), 1).refused == FAILED + "no value"


# Processes of their own.


def test_a_size_runs_in_a_process_of_its_own() -> None:
    outcome = measure_apart(row(lambda size: iter([os.getpid(), os.getsid(0)])), 1)
    assert outcome.values[0] == outcome.values[1] != os.getpid() and not outcome.refused


def test_a_process_that_dies_is_told() -> None:
    def dies(size: int) -> Iterator[float]:
        os._exit(3)
        yield

    assert measure_apart(row(dies), 1) == ([], FAILED + "the process ended with 3")


def test_a_size_that_takes_too_long_is_ended_with_what_it_started(tmp_path: Path) -> None:
    told = tmp_path / "number"

    def hangs(size: int) -> Iterator[float]:
        process = subprocess.Popen(["sleep", "60"])
        told.write_text(str(process.pid))
        process.wait()
        yield 1.0

    outcome = measure_apart(row(hangs, seconds=1.0), 1)
    assert outcome == ([], "took longer than 1 s")
    deadline = time.monotonic() + 10
    while running(int(told.read_text())) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert not running(int(told.read_text()))


KILLED_RUN = """
import os, subprocess, sys
from pathlib import Path
from bench.capacity.isolate import measure_apart
from bench.capacity.registry import Measurement

def hangs(size):
    process = subprocess.Popen(["sleep", "60"])
    draft = Path(sys.argv[1] + ".tmp")
    draft.write_text(f"{os.getpid()} {process.pid}")
    draft.rename(sys.argv[1])
    process.wait()
    yield 1.0

fields = dict.fromkeys(Measurement._fields, "") | {"measure": hangs, "seconds": 60.0}
measure_apart(Measurement(**fields), 1)
"""


def test_a_size_ends_with_a_run_that_is_killed(tmp_path: Path) -> None:
    told = tmp_path / "numbers"
    killed = subprocess.Popen([sys.executable, "-c", KILLED_RUN, str(told)], cwd=ROOT)
    try:
        assert reached(told.exists, 30)
    finally:
        killed.kill()
        killed.wait()
    started = [int(number) for number in told.read_text().split()]
    assert len(started) == 2
    assert reached(lambda: not any(running(each) for each in started), 10)


def reached(state: Callable[[], bool], seconds: float) -> bool:
    """Whether a state came about within so many seconds."""
    deadline = time.monotonic() + seconds
    while not state() and time.monotonic() < deadline:
        time.sleep(0.05)
    return state()


def running(process: int) -> bool:
    """Whether a process is there and has not ended unreaped."""
    try:
        return Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except FileNotFoundError:
        return False


# The file.


def example() -> ResultFile:
    return ResultFile(
        rows=[
            Row(
                "planner.list",
                "planner",
                "bytes",
                "bytes",
                "workers",
                "computed",
                "abc",
                1,
                [1, 2],
                [Point(1, 2.0), Point(1, 2.5)],
                [Fit("n", 2.0, 0.0, 0.01)],
                "n",
                [schema.Refusal(2, "too many")],
                "a note",
            )
        ],
        demands=[Demand("planners", "planner", 64.0, "planners", "8 * 8")],
        verdicts=[
            schema.Verdict(
                "planner", "memory", 64e6, None, "bytes", ["planner.list"], [], "", "not measured", None
            )
        ],
        machine=schema.Machine(cores=8, note="shared"),
    )


def test_the_file_comes_back_as_it_was_written(tmp_path: Path) -> None:
    path = tmp_path / "folder" / "slopes.json"
    schema.save(example(), path)
    assert schema.load(path) == example()
    assert [each.name for each in path.parent.iterdir()] == ["slopes.json"]


@pytest.mark.parametrize("text", ['{"format": 2}', "[]", "{", '{"rows": [{"id": 1}]}', '{"more": 1}'])
def test_another_file_is_refused(tmp_path: Path, text: str) -> None:
    path = tmp_path / "slopes.json"
    path.write_text(text)
    with pytest.raises(schema.ResultError, match="slopes.json"):
        schema.load(path)


# Arithmetic.


@pytest.mark.parametrize(
    ("text", "value"),
    [
        ("1200 / 64", 18.75),
        ("ceil(1200 / 64) * 2 ** 3 - -1", 153),
        ("max(1, min(5, 3)) + log2(8)", 6),
        ("planner.list@1 + planner.list@10 + planner.list.slope * demand.planners", 2.25 + 20 + 2 * 64),
    ],
)
def test_arithmetic(text: str, value: float) -> None:
    found = example()
    assert Known(found.rows, found.demands).evaluate(text) == pytest.approx(value)


def test_arithmetic_names_what_it_refers_to() -> None:
    known = Known()
    text = "planner.list@7300 * demand.planners + planner.list.slope + voter.claim@1 / demand.voter.claims"
    assert known.rows_in(text) == ["planner.list", "voter.claim"]
    assert known.demands_in(text) == ["planners", "voter.claims"]


@pytest.mark.parametrize(
    "text", ["__import__('os')", "1 +", "open(1)", "[1]", "'a'", "True", "ceil(x=1)", ""]
)
def test_what_is_no_arithmetic_is_refused(text: str) -> None:
    with pytest.raises(NotArithmeticError):
        Known().evaluate(text)


def test_a_slope_is_one_only_of_a_straight_line() -> None:
    found = example()
    found.rows[0].fits, found.rows[0].best = [Fit("n squared", 2.0, 0.0, 0.01)], "n squared"
    with pytest.raises(MissingError):
        Known(found.rows).evaluate("planner.list.slope")


@pytest.mark.parametrize("text", ["planner.list@1", "planner.list.slope", "demand.planners", "planner.list"])
def test_what_has_no_value_is_missing(text: str) -> None:
    with pytest.raises(MissingError):
        Known().evaluate(text)


# Demands and verdicts of the file that is committed.


@pytest.fixture(scope="module")
def committed() -> ResultFile:
    return schema.load()


def test_written_arithmetic_gives_each_value(committed: ResultFile) -> None:
    known = Known(committed.rows, committed.demands)
    for demand in committed.demands:
        assert known.evaluate(demand.arithmetic) == pytest.approx(demand.value, rel=1e-9), demand.id
    for verdict in committed.verdicts:
        if verdict.value is None:
            assert (verdict.holds, verdict.factor) == ("not measured", None), verdict.resource
            continue
        assert known.evaluate(verdict.arithmetic) == pytest.approx(verdict.value, rel=1e-9)
        assert verdict.factor == pytest.approx(verdict.value / verdict.budget)
        assert verdict.holds == ("holds" if verdict.value <= verdict.budget else "falls short")
        assert set(verdict.rows) <= known.rows.keys() and set(verdict.demands) <= known.demands.keys()


def test_fits_follow_from_the_points(committed: ResultFile) -> None:
    for each in committed.rows:
        fits, best = fit.fit_all(each.points)
        assert best == each.best, each.id
        for here, there in zip(fits, each.fits, strict=True):
            assert here.form == there.form
            assert here.residual == pytest.approx(there.residual, rel=1e-6, abs=1e-12), each.id


def test_every_measured_row_has_four_doubled_sizes_and_says_what_it_is(committed: ResultFile) -> None:
    for each in committed.rows:
        assert each.how in ("real process", "hollow", "module alone", "computed"), each.id
        if not each.sizes:
            assert each.note.startswith("none"), f"{each.id}: without sizes it has to say why"
            continue
        assert len(set(each.sizes)) >= 4, each.id
        sizes = sorted(set(each.sizes))
        steps = sum(larger >= 1.8 * smaller for smaller, larger in zip(sizes, sizes[1:], strict=False))
        assert steps >= 3, f"{each.id}: {sizes}"
        there = {point.size for point in each.points} | {refusal.size for refusal in each.refused}
        assert there == set(each.sizes), f"{each.id}: a size has neither value nor reason"


def test_demands_follow_from_the_rows(committed: ResultFile) -> None:
    assert demands.demands(committed.rows) == committed.demands
    assert verdicts.verdicts(committed.rows, committed.demands) == committed.verdicts


def test_the_number_of_planners_lies_between_what_the_slopes_say() -> None:
    """It is a choice: the operators told no number, and not whether starts are control."""
    found = {demand.id: demand.value for demand in schema.load().demands}
    assert found["planners"] == target.PLANNERS and target.PLANNERS % target.REGIONS == 0
    if "planners.least" in found:  # its row is a real process among thousands of workers: not on any machine
        assert found["planners.least"] <= target.PLANNERS <= found["planners.strict"]


# The command.


def test_the_whole_command_at_small_sizes(tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    command = [sys.executable, "-m", "bench.capacity", "--small", "--output", str(path)]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=SMALL_COMMAND_S, check=False
    )
    assert done.returncode == 0, done.stderr
    found = schema.load(path)
    assert {each.id for each in found.rows} == {each.id for each in registry.discover() if not each.slow}
    failed = [(each.id, r) for each in found.rows for r in each.refused if r.reason.startswith(FAILED)]
    assert not failed
    assert all(each.best for each in found.rows if each.sizes)
    assert found.machine.cores > 0 and len(found.verdicts) == len(budgets.HELD)


def test_the_command_says_what_is_wrong(tmp_path: Path) -> None:
    def said(*words: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "bench.capacity", *words]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)

    assert "--small needs --output" in said("--small").stderr
    assert "no row's id begins with 'nothing'" in said("--only", "nothing").stderr
    path = tmp_path / "slopes.json"
    path.write_text(msgspec.json.encode({"format": 99}).decode())
    refused = said("--only", "list.change.bytes", "--small", "--output", str(path))
    assert refused.returncode == 2 and "format 99" in refused.stderr
    assert "list.change.bytes" in said("--list").stdout
