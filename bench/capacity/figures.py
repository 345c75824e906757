"""Figures as the capacity page writes them, and whether the result file gives them.

A figure in the page's prose is a Markdown link `[TEXT](#ID "WHICH")`:

| WHICH | ID names | value |
| --- | --- | --- |
| `at N` | a row | its measurement at size N (the median, if there are several) |
| `fit at N` | a row | the fitted curve at size N |
| `slope`, `residual` | a row | those of its best fit |
| nothing | a demand | its value |
| `value`, `budget`, `factor` | `ROLE/RESOURCE` of a verdict | that field |
| `breaks` | a role | the smallest part of the target size at which it breaks |

TEXT is a number and, if the value has one, its unit: `1.17 MB`, `4 kB/s`, `1/64`. The value, rounded to the
digits of the text, has to be the text's number.
"""

import re
from dataclasses import dataclass
from fractions import Fraction
from math import floor, isclose, log10
from statistics import median
from typing import NamedTuple

from bench.capacity.fit import value_at
from bench.capacity.schema import ResultFile, Row, Verdict

SIGNIFICANT_DIGITS = 3
"""Digits that generated tables show; a whole number in prose may be rounded to so many."""

SCALES: dict[str, tuple[str, float]] = {
    "B": ("bytes", 1),
    "bytes": ("bytes", 1),
    "kB": ("bytes", 1e3),
    "KB": ("bytes", 1e3),
    "MB": ("bytes", 1e6),
    "GB": ("bytes", 1e9),
    "KiB": ("bytes", 2**10),
    "MiB": ("bytes", 2**20),
    "ns": ("seconds", 1e-9),
    "us": ("seconds", 1e-6),
    "ms": ("seconds", 1e-3),
    "s": ("seconds", 1),
    "seconds": ("seconds", 1),
    "min": ("seconds", 60),
    "h": ("seconds", 3600),
    "%": ("share", 0.01),
    "share": ("share", 1),
}
"""What a unit's name measures, and how many base units it is."""

PARTS = ("/s", " a second", " per second", "/day", " a day")
"""Ends of a unit that make it a rate; the first of a kind is what they are compared by."""

RATES = {"/s": "/s", " a second": "/s", " per second": "/s", "/day": "/day", " a day": "/day"}

FIGURE = re.compile(r"^(?P<number>\d+/\d+|-?\d[\d,]*(?:\.\d+)?)(?:[ ]?(?P<unit>[^\d].*))?$")


class FigureError(ValueError):
    """A figure that names nothing in the result file, or that the file gives otherwise."""


class Unit(NamedTuple):
    """A unit taken apart: what it measures, how many base units, and per what."""

    measures: str
    scale: float
    rate: str


@dataclass(frozen=True)
class Value:
    """A figure's value as the result file has it; `unit` is "" where it is a plain ratio, `fraction` is set
    where it is a part of the target."""

    value: float
    unit: str
    fraction: Fraction | None = None


def read_unit(text: str) -> Unit:
    """A unit that is not known stands for itself, with scale 1."""
    text = text.strip()
    for end in PARTS:
        if text.endswith(end):
            return read_unit(text[: -len(end)])._replace(rate=RATES[end])
    if text.startswith("% "):
        return read_unit(text[2:])._replace(scale=SCALES["%"][1])
    measures, scale = SCALES.get(text, (text, 1.0))
    return Unit(measures, scale, "")


def measured(row: Row, size: int) -> float:
    """The measurement at just that size, the median if there are several."""
    found = [point.value for point in row.points if point.size == size]
    if not found:
        raise FigureError(f"{row.id} was not measured at {size}")
    return median(found)


def round_to(value: float, digits: int) -> float:
    """`value` rounded to so many significant digits."""
    if not value:
        return 0.0
    return round(value, digits - 1 - floor(log10(abs(value))))


def digits_of(number: str) -> int:
    """How many significant digits a number's text claims; a whole number's last zeros past the third do not
    count."""
    plain = number.replace(",", "").lstrip("-")
    given = len(plain.replace(".", "").lstrip("0")) or 1
    if "." in plain:
        return given
    return max(min(SIGNIFICANT_DIGITS, given), len(plain.rstrip("0")))


def same(number: str, value: float) -> bool:
    """Whether `value`, rounded to the text's digits, is its number. One digit alone has to be exact."""
    meant = float(number.replace(",", ""))
    digits = digits_of(number)
    if digits < 2:
        return abs(value - meant) <= 1e-9 * max(abs(meant), 1)
    return abs(round_to(value, digits) - meant) <= 1e-9 * max(abs(meant), 1e-300)


class Figures:
    """A result file's figures by the names that a page gives them; `breaks` has each role's smallest part."""

    def __init__(self, result: ResultFile, breaks: dict[str, Fraction] | None = None) -> None:
        self.rows = {row.id: row for row in result.rows}
        self.demands = {demand.id: demand for demand in result.demands}
        self.verdicts = {verdict_id(verdict): verdict for verdict in result.verdicts}
        self.breaks = {hyphened(role): part for role, part in (breaks or {}).items()}

    def value(self, name: str, which: str) -> Value:
        """Raises FigureError if the file has no such figure."""
        if not which:
            return self._demand(name)
        if which in ("value", "budget", "factor"):
            return self._verdict(name, which)
        if which == "breaks":
            if name not in self.breaks:
                raise FigureError(f"role {name} does not break at any part")
            return Value(float(self.breaks[name]), "", self.breaks[name])
        return self._row(name, which)

    def _demand(self, name: str) -> Value:
        if name not in self.demands:
            raise FigureError(f"no demand is called {name}")
        return Value(self.demands[name].value, self.demands[name].unit)

    def _verdict(self, name: str, which: str) -> Value:
        if name not in self.verdicts:
            raise FigureError(f"no verdict is called {name}")
        verdict = self.verdicts[name]
        value = getattr(verdict, which)
        if value is None:
            raise FigureError(f"{name} was not measured, so it has no {which}")
        return Value(value, "" if which == "factor" else verdict.unit)

    def _row(self, name: str, which: str) -> Value:
        if name not in self.rows:
            raise FigureError(f"no row is called {name}")
        row = self.rows[name]
        if which.startswith("at "):
            return Value(measured(row, read_size(which[3:])), row.unit)
        fit = row.best_fit()
        if fit is None:
            raise FigureError(f"{name} has no fit")
        if which == "slope":
            return Value(fit.slope, row.unit)
        if which == "residual":
            return Value(fit.residual, "share")
        if which.startswith("fit at "):
            return Value(value_at(fit, read_size(which[7:])), row.unit)
        raise FigureError(f'{name}: "{which}" is no way to name a figure')

    def check(self, text: str, name: str, which: str) -> None:
        """Raises FigureError unless the file gives just this figure."""
        found = self.value(name, which)
        match = FIGURE.match(text)
        if match is None:
            raise FigureError(f'"{text}" is no number with a unit')
        given, unit = read_unit(match["unit"] or ""), read_unit(found.unit)
        if (given.measures, given.rate) != (unit.measures, unit.rate):
            raise FigureError(f'"{text}" is not in {found.unit or "a plain number"}, as {name} is')
        value = found.value * unit.scale / given.scale
        number = match["number"]
        if "/" in number:
            right = abs(float(Fraction(number)) - value) < 1e-9
        else:
            right = same(number, value)
        if not right:
            raise FigureError(
                f'"{text}" stands where the file gives {show(found.value, found.unit)} ({name})'
            )


def read_size(text: str) -> int:
    """A size as a figure names it; commas are passed over."""
    try:
        return int(text.replace(",", ""))
    except ValueError:
        raise FigureError(f'"{text}" is no size') from None


def verdict_id(verdict: Verdict) -> str:
    """How figures name a verdict: ROLE/RESOURCE, with hyphens for all but letters and digits."""
    return f"{hyphened(verdict.role)}/{hyphened(verdict.resource)}"


def hyphened(text: str) -> str:
    """Small letters and digits, with hyphens for all else, as in the anchors of headings."""
    return re.sub("[^a-z0-9]+", "-", text.lower()).strip("-")


def show_number(value: float) -> str:
    """A number with three significant digits, thousands parted by commas."""
    if value == 0:
        return "0"
    if abs(value) < 1e-4:
        return f"{value:.2e}"
    rounded = round_to(value, SIGNIFICANT_DIGITS)
    if abs(rounded) >= 100 or isclose(value, round(value), rel_tol=1e-9):
        return f"{rounded:,.0f}"
    return f"{rounded:.{SIGNIFICANT_DIGITS - 1 - floor(log10(abs(rounded)))}f}"


def show(value: float, unit: str) -> str:
    """A value as the tables show it: bytes and times in the greatest unit that leaves a whole number before
    the point."""
    found = read_unit(unit)
    base = value * found.scale
    steps = {"bytes": ("GB", "MB", "kB", "B"), "seconds": ("s", "ms", "us", "ns")}.get(found.measures)
    if found.measures == "share" and not found.rate:
        return f"{show_number(100 * base)}%"
    if unit.startswith("of a "):
        return f"{show_number(100 * base)}% {unit}"
    if steps is None:
        return f"{show_number(value)} {unit}".strip()
    name = next((step for step in steps if abs(base) >= SCALES[step][1]), steps[-1])
    if not base:
        name = "s" if found.measures == "seconds" else "B"
    return f"{show_number(base / SCALES[name][1])} {name}{found.rate}"
