"""The parts of a capacity page: generated regions, declared regions, and prose whose every figure has to be
given by the result file.

    <!-- capacity:begin TABLE -->    generated, see `tables`
    <!-- capacity:end -->
    <!-- capacity:declared NAME -->  the operators' target, the rule, assumptions: figures need no source
    <!-- capacity:end -->

Prose is the rest. There a figure is a reference (`figures`), or the check names its line. Not counted as
figures: the numbers of an ordered list's lines, digits within a name (`p99`), and number words up to three.
"""

import re
from typing import NamedTuple

from bench.capacity.figures import FigureError, Figures, show

MARK = re.compile(r"^<!-- capacity:(?P<what>begin|declared|end)(?: (?P<name>.*?))? -->$")
REFERENCE = re.compile(r'\[(?P<text>[^\]]+)\]\(#(?P<name>[^)\s"]+)(?: "(?P<which>[^"]*)")?\)')
LINK = re.compile(r"\]\([^)]*\)")
LIST_NUMBER = re.compile(r"^\s*\d+\. ")
NUMBER = re.compile(r"(?<![\w.])\d[\d,.]*\d|(?<![\w.])\d")
WORDS = (
    "four five six seven eight nine ten eleven twelve thirteen fourteen fifteen sixteen seventeen eighteen "
    "nineteen twenty thirty forty fifty sixty seventy eighty ninety dozen hundred hundreds thousand "
    "thousands million millions tenfold hundredfold"
).split()
NUMBER_WORD = re.compile(rf"\b(?:{'|'.join(WORDS)})\b", re.IGNORECASE)


class PageError(ValueError):
    """A page whose marks do not pair; the message names the line."""


class Region(NamedTuple):
    """A part of the page. `kind`: prose, begin (generated) or declared; `line` is its first line's number."""

    kind: str
    name: str
    line: int
    lines: list[str]


def split(text: str) -> list[Region]:
    """The page's regions in order, without the marks."""
    regions = [Region("prose", "", 1, [])]
    for number, line in enumerate(text.splitlines(), 1):
        mark = MARK.match(line.strip())
        if mark is None:
            if "capacity:" in line and "<!--" in line:
                raise PageError(f"line {number}: a mark that cannot be read")
            regions[-1].lines.append(line)
        elif mark["what"] == "end":
            if regions[-1].kind == "prose":
                raise PageError(f"line {number}: an end without a begin")
            regions.append(Region("prose", "", number + 1, []))
        else:
            if regions[-1].kind != "prose" or not mark["name"]:
                raise PageError(f"line {number}: a region within a region, or without a name")
            regions.append(Region(mark["what"], mark["name"], number + 1, []))
    if regions[-1].kind != "prose":
        raise PageError(f"line {regions[-1].line}: a region without an end")
    return regions


def prose_faults(text: str, figures: Figures) -> list[str]:
    """Every figure in the page's prose that the result file does not give, with its line."""
    found = []
    for region in split(text):
        if region.kind == "prose":
            for number, line in enumerate(region.lines, region.line):
                found += [f"line {number}: {fault}" for fault in _line_faults(line, figures)]
    return found


def _line_faults(line: str, figures: Figures) -> list[str]:
    found = []
    for reference in REFERENCE.finditer(line):
        try:
            figures.check(reference["text"], reference["name"], reference["which"] or "")
        except FigureError as fault:
            found.append(str(fault))
    rest = LIST_NUMBER.sub("", LINK.sub("]", REFERENCE.sub("", line)))
    for pattern in (NUMBER, NUMBER_WORD):
        found += [f'"{bare[0]}" is a figure without a source' for bare in pattern.finditer(rest)]
    return found


def renew_references(text: str, figures: Figures) -> tuple[str, list[str]]:
    """The page with every reference in prose that does not hold, or whose text is "?", written anew, and what
    was changed. References that name nothing stay, for the check to tell."""
    changed: list[str] = []

    def renewed(match: re.Match[str]) -> str:
        name, which = match["name"], match["which"] or ""
        try:
            figures.check(match["text"], name, which)
        except FigureError:
            try:
                found = figures.value(name, which)
            except FigureError:
                return match[0]
            shown = str(found.fraction) if found.fraction else show(found.value, found.unit)
            changed.append(f"{name}: {match['text']} -> {shown}")
            return match[0].replace(f"[{match['text']}]", f"[{shown}]", 1)
        return match[0]

    generated_here = False
    lines = []
    for line in text.splitlines():
        mark = MARK.match(line.strip())
        if mark is not None:
            generated_here = mark["what"] != "end"
        lines.append(line if generated_here else REFERENCE.sub(renewed, line))
    return "\n".join(lines) + "\n", changed


def generated(text: str) -> dict[str, str]:
    """What stands in each generated region, by the region's name."""
    return {region.name: "\n".join(region.lines) for region in split(text) if region.kind == "begin"}


def declared(text: str) -> dict[str, str]:
    """What stands in each declared region, by the region's name."""
    return {region.name: "\n".join(region.lines) for region in split(text) if region.kind == "declared"}
