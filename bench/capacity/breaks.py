"""At which part of the target each role breaks: the first step of the page's rule.

For each verdict, its arithmetic is evaluated for 1/64, 1/32, ... 1 of the target. A part scales the sizes at
which rows are read and the demands; plain numbers in the arithmetic (periods, shares, the constants of a
protocol) stay. A verdict whose budget is zero stands for a role without any mechanism: it breaks at the
smallest part. Nothing is said of a verdict that was not measured.
"""

import ast
import operator
import re
from collections.abc import Callable
from dataclasses import dataclass
from fractions import Fraction

from bench.capacity.figures import FigureError, fit_at, show, value_at, verdict_id
from bench.capacity.schema import ResultFile, Verdict

PARTS = tuple(Fraction(1, 2**power) for power in range(6, -1, -1))
"""1/64, 1/32, ... 1, the smallest first."""

NO_MECHANISM = "none"
"""How a verdict's resource or note begins if the program has no mechanism for it."""

NAME = re.compile(r"[A-Za-z_][\w-]*(?:\.[\w-]+)+(?:@[\d,]+)?")
OPERATORS: dict[type, Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}
CALLS: dict[str, Callable[..., float]] = {"max": max, "min": min}


class FormulaError(ValueError):
    """An arithmetic that cannot be evaluated, with its text and the reason."""


@dataclass(frozen=True)
class Break:
    """A role, the smallest part at which it breaks, and by what."""

    role: str
    part: Fraction
    why: str


class Evaluation:
    """Evaluates arithmetic over a result file's rows and demands, for one part of the target."""

    def __init__(self, result: ResultFile, part: Fraction = PARTS[-1]) -> None:
        self.rows = {row.id: row for row in result.rows}
        self.demands = {demand.id: demand for demand in result.demands}
        self.part = float(part)

    def value(self, text: str) -> float:
        """Raises FormulaError."""
        names: list[str] = []

        def placed(match: re.Match[str]) -> str:
            names.append(match[0])
            return f"name_{len(names) - 1}"

        try:
            tree = ast.parse(NAME.sub(placed, text), mode="eval")
            return self._node(tree.body, names)
        except (SyntaxError, FigureError, ZeroDivisionError, FormulaError) as fault:
            raise FormulaError(f'"{text}": {fault}') from None

    def _node(self, node: ast.expr, names: list[str]) -> float:
        if isinstance(node, ast.BinOp) and type(node.op) in OPERATORS:
            return OPERATORS[type(node.op)](self._node(node.left, names), self._node(node.right, names))
        if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
            return float(node.value)
        if isinstance(node, ast.Name) and node.id.startswith("name_"):
            return self._named(names[int(node.id.removeprefix("name_"))])
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id in CALLS:
            return CALLS[node.func.id](*(self._node(argument, names) for argument in node.args))
        raise FormulaError("only + - * / min max, numbers, rows and demands")

    def _named(self, text: str) -> float:
        name, _, size = text.partition("@")
        if name in self.demands and not size:
            return self.demands[name].value * self.part
        if name in self.rows and size:
            return self._row(name, int(size.replace(",", "")))
        if name.endswith(".slope") and name.removesuffix(".slope") in self.rows:
            fit = self.rows[name.removesuffix(".slope")].best_fit()
            if fit is not None:
                return fit.slope
        raise FormulaError(f"no row or demand is called {text}")

    def _row(self, name: str, size: int) -> float:
        row = self.rows[name]
        if self.part == 1 and any(point.size == size for point in row.points):
            return value_at(row, size)
        fit = row.best_fit()
        if fit is None:
            raise FormulaError(f"{name} has no fit")
        return fit_at(fit, max(1.0, size * self.part))


def breaks_at(verdict: Verdict, result: ResultFile) -> Fraction | None:
    """The smallest part at which the verdict's value exceeds its budget."""
    if verdict.value is None:
        return None
    for part in PARTS:
        if Evaluation(result, part).value(verdict.arithmetic) > verdict.budget:
            return part
    return None


def find_breaks(result: ResultFile) -> list[Break]:
    """Each role that breaks, the smallest part first; of equals those without a mechanism, then the worst."""
    found: dict[str, tuple[Fraction, float, str]] = {}
    for verdict in result.verdicts:
        part = breaks_at(verdict, result)
        if part is None:
            continue
        spent = f"{show(verdict.value or 0.0, verdict.unit)} beside {show(verdict.budget, verdict.unit)}"
        why = f"[{verdict.resource}](#{verdict_id(verdict)}), at full size {spent}"
        entry = (part, -(verdict.factor or 0.0), why)
        if verdict.role not in found or entry < found[verdict.role]:
            found[verdict.role] = entry
    ordered = sorted(found.items(), key=lambda item: item[1][:2])
    return [Break(role, part, why) for role, (part, _, why) in ordered]
