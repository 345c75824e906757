"""The tables of the capacity page, written from the result file alone.

A region's name names its table: `machine`, `summary`, `demands`, `breaks`, `constants`, `failures`,
`role ROLE`, `rows`.
"""

from collections.abc import Callable
from typing import NamedTuple

from bench.capacity.breaks import CONSTANTS, Break, find_breaks, is_variant, without_mechanism
from bench.capacity.figures import measured, show, show_number, verdict_id
from bench.capacity.schema import Fit, ResultFile, Row, Verdict

FAILURES = "failures"
"""The role of rows that tell what failures cost."""

NONE = "-"


class TableError(ValueError):
    """A region whose name names no table, or a table that the file has nothing for."""


class Table(NamedTuple):
    """A Markdown table."""

    heads: list[str]
    lines: list[list[str]]

    def text(self) -> str:
        """The table's lines; bars within cells are escaped."""
        rows = [self.heads, ["---"] * len(self.heads), *self.lines]
        return "\n".join("| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |" for row in rows)


def render(name: str, result: ResultFile) -> str:
    """The text of the region called `name`; TableError if there is no such table."""
    kind, _, role = name.partition(" ")
    if kind == "role" and role:
        return _role(result, role).text()
    if kind == "rows" and not role:
        return _all_rows(result)
    if name not in TABLES:
        raise TableError(f'no table is called "{name}"')
    return TABLES[name](result).text()


def roles(result: ResultFile) -> list[str]:
    """All roles of the file but the failures, in the file's order."""
    found = [item.role for items in (result.verdicts, result.demands, result.rows) for item in items]
    return [role for role in dict.fromkeys(found) if role != FAILURES]


def needed(result: ResultFile) -> list[str]:
    """The regions that a page must have, so that no figure of the file is left out."""
    names = ["machine", "summary", "demands", "breaks", "constants", "failures", "rows"]
    judged = dict.fromkeys(verdict.role for verdict in result.verdicts)
    return names + [f"role {role}" for role in judged]


def link(name: str) -> str:
    """A reference to a row's or a demand's line on the page."""
    return f"[{name}](#{name})"


def anchor(name: str, text: str = "") -> str:
    """What references to `name` lead to; `text` is shown, by default the name."""
    return f'<a id="{name}"></a>{text or name}'


def verdict_text(verdict: Verdict) -> str:
    """The verdict in words, with its factor."""
    if without_mechanism(verdict):
        return "**no mechanism**"
    if verdict.holds == "not measured" or verdict.factor is None:
        return "not measured"
    if verdict.holds == "holds":
        by = f", by a factor of {show_number(1 / verdict.factor)}" if verdict.factor else ""
        return f"holds{by}"
    return f"**falls short**, by a factor of {show_number(verdict.factor)}"


def _spent(verdict: Verdict) -> str:
    return NONE if verdict.value is None else show(verdict.value, verdict.unit)


def _role(result: ResultFile, role: str) -> Table:
    how = {row.id: row.how for row in result.rows}
    lines = []
    for verdict in result.verdicts:
        if verdict.role != role:
            continue
        rows = [f"{link(name)} ({how.get(name, 'no such row')})" for name in verdict.rows]
        lines.append(
            [
                anchor(verdict_id(verdict), verdict.resource),
                _spent(verdict),
                show(verdict.budget, verdict.unit),
                verdict_text(verdict),
                f"`{verdict.arithmetic}`" if verdict.arithmetic else NONE,
                ", ".join(rows + [link(name) for name in verdict.demands]) or NONE,
                verdict.note or NONE,
            ]
        )
    if not lines:
        raise TableError(f"the file has no verdict for {role}")
    return Table(["resource", "spent", "budget", "verdict", "slope x demand", "figures", "note"], lines)


def residual(fit: Fit) -> str:
    """The fit's relative error in percent."""
    return "under 0.1%" if fit.residual < 0.001 else f"{100 * fit.residual:.2g}%"


def growth(row: Row) -> str:
    """The fit that is told, with its residual, and the others' residuals beside it."""
    fit = row.best_fit()
    if fit is None:
        return NONE
    others = ", ".join(f"{o.form} {residual(o)}" for o in row.fits if o is not fit)
    slope = "" if fit.form == "constant" else f" + {show(fit.slope, row.unit)} x {fit.form}"
    told = f"{show(fit.intercept, row.unit)}{slope}, residual {residual(fit)}"
    return f"{told} ({others})" if others else told


def _measured(row: Row) -> str:
    sizes = list(dict.fromkeys(point.size for point in row.points))
    return "; ".join(f"{size:,}: {show(measured(row, size), row.unit)}" for size in sizes) or NONE


def _rows(result: ResultFile, role: str) -> Table:
    lines = []
    for row in result.rows:
        if row.role != role:
            continue
        refused = "; ".join(f"{each.size:,}: {each.reason}" for each in row.refused)
        lines.append(
            [
                anchor(row.id),
                f"{row.quantity}, by {row.by}" if row.by.strip("-") else row.quantity,
                row.how,
                _measured(row),
                growth(row),
                refused or NONE,
                row.note or NONE,
            ]
        )
    return Table(["row", "quantity", "how", "measured", "fit", "refused", "note"], lines)


def _all_rows(result: ResultFile) -> str:
    """A table for each role, but for the failures, which have one of their own."""
    found = [role for role in dict.fromkeys(row.role for row in result.rows) if role != FAILURES]
    return "\n\n".join(f"### Rows: {role}\n\n{_rows(result, role).text()}" for role in found)


def _demands(result: ResultFile) -> Table:
    lines = [
        [
            anchor(demand.id),
            demand.role,
            show(demand.value, demand.unit),
            f"`{demand.arithmetic}`" if demand.arithmetic else NONE,
            demand.note or NONE,
        ]
        for demand in result.demands
    ]
    return Table(["demand", "role", "value", "arithmetic", "note"], lines)


def worst(result: ResultFile, role: str) -> Verdict | None:
    """The role's verdict that is nearest to its budget or furthest past it, if any was measured. Those on
    other numbers of planners do not count."""
    found = [
        verdict
        for verdict in result.verdicts
        if verdict.role == role and verdict.factor is not None and not is_variant(verdict)
    ]
    return max(found, key=lambda verdict: verdict.factor or 0.0, default=None)


def standing(verdict: Verdict) -> str:
    """The verdict in a word or two."""
    return "no mechanism" if without_mechanism(verdict) else verdict.holds


STANDINGS = ("holds", "falls short", "not measured", "no mechanism")


def _summary(result: ResultFile) -> Table:
    lines = []
    for role in roles(result):
        verdicts = [v for v in result.verdicts if v.role == role and not is_variant(v)]
        count = [str(sum(standing(verdict) == kind for verdict in verdicts)) for kind in STANDINGS]
        found = worst(result, role)
        near = NONE if found is None else f"[{found.resource}](#{verdict_id(found)}): {verdict_text(found)}"
        lines.append([role, *count, near])
    return Table(["role", *STANDINGS, "nearest to, or furthest past, a budget"], lines)


def _break_line(number: int, found: Break) -> list[str]:
    part = "whole" if found.part == 1 else str(found.part)
    return [str(number), found.role, part, found.why]


def _breaks(result: ResultFile) -> Table:
    found = find_breaks(result)
    lines = [_break_line(1 + sum(other.part < item.part for other in found), item) for item in found]
    broken = {item.role for item in found}
    for role in roles(result):
        if role not in broken:
            measured_at_all = worst(result, role) is not None
            part = ["none", "no measured budget is exceeded"] if measured_at_all else ["not measured", NONE]
            lines.append([NONE, role, *part])
    return Table(["", "role", "smallest part of the target that breaks it", "by"], lines)


def _constants(result: ResultFile) -> Table:
    lines = [
        [verdict.role, f"[{verdict.resource}](#{verdict_id(verdict)})", verdict_text(verdict)]
        for verdict in result.verdicts
        if verdict_id(verdict) in CONSTANTS
    ]
    return Table(["role", "constant", "at the target size"], lines)


def _failures(result: ResultFile) -> Table:
    return _rows(result, FAILURES)


def _machine(result: ResultFile) -> Table:
    machine = result.machine
    revisions = ", ".join(
        f"`{name[:10]}`" for name in dict.fromkeys(row.revision for row in result.rows) if name
    )
    counts = [f"{how}: {sum(row.how == how for row in result.rows)}" for how in ROW_KINDS]
    lines = [
        ["cores", str(machine.cores)],
        ["memory", show(machine.memory_bytes, "bytes")],
        ["processor", machine.processor or NONE],
        ["system, Python", f"{machine.system}, {machine.python}"],
        ["load when the run began", show_number(machine.load)],
        ["revisions measured", revisions or NONE],
        ["rows by how they were measured", ", ".join(counts)],
        ["note", machine.note or NONE],
    ]
    return Table(["machine", ""], lines)


ROW_KINDS = ("real process", "hollow", "module alone", "computed")

TABLES: dict[str, Callable[[ResultFile], Table]] = {
    "machine": _machine,
    "summary": _summary,
    "demands": _demands,
    "breaks": _breaks,
    "constants": _constants,
    "failures": _failures,
}
