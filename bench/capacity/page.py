"""Holds docs/CAPACITY.md and the result file together.

    python -m bench.capacity.page            # writes tables and stale references anew, then checks
    python -m bench.capacity.page --check    # changes nothing; ends with 1 and names every fault

`regenerate` writes the tables, `renew_references` the figures in prose that changed (a new figure may be
written as `[?](#ID "WHICH")`), `faults` finds what the result file does not give: a table that differs, a
figure in prose without a source or with another value, arithmetic that does not give its value, a role or row
that the page leaves out, a module that the page names and the program lacks.
"""

import argparse
import re
import sys
from collections import Counter
from math import isclose
from pathlib import Path

from bench.capacity.arithmetic import Known, MissingError, NotArithmeticError
from bench.capacity.breaks import find_breaks
from bench.capacity.figures import Figures, verdict_id
from bench.capacity.prose import MARK, PageError, generated, prose_faults, renew_references
from bench.capacity.schema import RESULT_PATH, ResultFile, load
from bench.capacity.tables import TableError, needed, render

ROOT = Path(__file__).parent.parent.parent
PAGE_PATH = ROOT / "docs" / "CAPACITY.md"
MODULE = re.compile(r"`((?:hazelhold|bench)/[\w/.]+)`")


def figures_of(result: ResultFile) -> Figures:
    """The figures that prose may refer to."""
    return Figures(result, {found.role: found.part for found in find_breaks(result)})


def regenerate(text: str, result: ResultFile) -> str:
    """The page with each generated region written anew; TableError or PageError if one cannot be."""
    generated(text)  # the marks pair, or PageError
    kept: list[str] = []
    inside = False
    for line in text.splitlines():
        mark = MARK.match(line.strip())
        if mark is not None and mark["what"] == "begin":
            inside = True
            kept += [line, render(mark["name"], result)]
        elif mark is not None and mark["what"] == "end":
            inside = False
            kept.append(line)
        elif not inside:
            kept.append(line)
    return "\n".join(kept) + "\n"


def faults(text: str, result: ResultFile, root: Path = ROOT) -> list[str]:
    """All that is wrong with the page beside the result file."""
    try:
        regions = generated(text)
    except PageError as fault:
        return [str(fault)]
    found = [f'the table "{name}" is missing' for name in needed(result) if name not in regions]
    for name, body in regions.items():
        try:
            if body != render(name, result):
                found.append(f'the table "{name}" is not what the result file gives')
        except TableError as fault:
            found.append(str(fault))
    found += prose_faults(text, figures_of(result))
    found += arithmetic_faults(result)
    names = [row.id for row in result.rows] + [demand.id for demand in result.demands]
    found += [f"{name} is the id of two figures" for name, count in Counter(names).items() if count > 1]
    return found + [f"no module {name}" for name in MODULE.findall(text) if not (root / name).exists()]


def bent_slopes(arithmetic: str, result: ResultFile) -> list[str]:
    """Slopes in an arithmetic whose row does not grow by its size alone: they multiply another form."""
    bent = {row.id for row in result.rows if row.best not in ("", "n")}
    return [
        name for name in re.findall(r"[\w.]+\.slope\b", arithmetic) if name.removesuffix(".slope") in bent
    ]


def arithmetic_faults(result: ResultFile) -> list[str]:
    """Demands and verdicts whose written arithmetic does not give their value."""
    known = Known(result.rows, result.demands)
    written = [(f"demand {demand.id}", demand.arithmetic, demand.value) for demand in result.demands]
    written += [(verdict_id(v), v.arithmetic, v.value) for v in result.verdicts if v.value is not None]
    found = []
    for name, arithmetic, value in written:
        found += [f"{name}: {slope} is no cost of one more" for slope in bent_slopes(arithmetic, result)]
        try:
            given = known.evaluate(arithmetic)
        except (MissingError, NotArithmeticError) as fault:
            found.append(f"{name}: {fault}")
        else:
            if not isclose(given, value, rel_tol=1e-9):
                found.append(f"{name}: its arithmetic gives {given:g}, the file {value:g}")
    return found


def main(arguments: list[str] | None = None) -> int:
    """The command; returns its exit code."""
    parser = argparse.ArgumentParser(prog="python -m bench.capacity.page", description=__doc__)
    parser.add_argument("--check", action="store_true", help="change nothing")
    given = parser.parse_args(arguments)
    result = load(RESULT_PATH)
    text = PAGE_PATH.read_text()
    if not given.check:
        text, changed = renew_references(regenerate(text, result), figures_of(result))
        PAGE_PATH.write_text(text)
        for change in changed:
            print(f"read its sentence again: {change}")
    found = faults(text, result)
    for fault in found:
        print(f"{PAGE_PATH.name}: {fault}", file=sys.stderr)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
