"""Evaluates written arithmetic with references to rows and demands: what is written is what is computed.

An expression has numbers, + - * / **, brackets, ceil, log2, max and min, and these references:

    planner.module.memory@7300    the row's value at a size: the median of its points there, else its best fit
    planner.task.memory.slope     the slope of the row's best fit, which has to be of form n
    demand.planner.starts         a demand's value
"""

import ast
import math
import operator
import re
from collections.abc import Callable, Iterable
from statistics import median

from bench.capacity.fit import value_at
from bench.capacity.schema import Demand, Row

BINARY: dict[type[ast.operator], Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
    ast.Pow: operator.pow,
}
FUNCTIONS: dict[str, Callable[..., float]] = {
    "ceil": math.ceil,
    "log2": math.log2,
    "max": max,
    "min": min,
}
REFERENCE = re.compile(r"[a-z_]+(?:\.[a-z0-9_]+)+(?:@[0-9.]*[0-9])?")


class NotArithmeticError(ValueError):
    """The text is no arithmetic as the module's first lines describe it."""


class MissingError(LookupError):
    """A reference to a row or demand that is not there or has no such value; the text is its name."""


class Known:
    """What references mean: rows and demands by their ids."""

    def __init__(self, rows: Iterable[Row] = (), demands: Iterable[Demand] = ()) -> None:
        self.rows = {row.id: row for row in rows}
        self.demands = {demand.id: demand for demand in demands}

    def evaluate(self, text: str) -> float:
        """The value of an expression. Raises `NotArithmeticError` or `MissingError`."""
        plain = REFERENCE.sub(lambda found: f"({self.value(found.group())!r})", text)
        try:
            tree = ast.parse(plain, mode="eval")
        except SyntaxError as wrong:
            raise NotArithmeticError(f"{text!r}: {wrong.msg}") from None
        return float(_value(tree.body))

    def value(self, reference: str) -> float:
        """What one reference stands for."""
        name, at, size = reference.partition("@")
        if name.startswith("demand."):
            demand = self.demands.get(name.removeprefix("demand."))
            if demand is None:
                raise MissingError(name)
            return demand.value
        if at:
            return self._at(name, float(size))
        row = self.rows.get(name.removesuffix(".slope"))
        fit = row.best_fit() if row is not None and name.endswith(".slope") else None
        if fit is None or fit.form != "n":
            raise MissingError(reference)
        return fit.slope

    def _at(self, name: str, size: float) -> float:
        row = self.rows.get(name)
        if row is None:
            raise MissingError(name)
        there = [point.value for point in row.points if point.size == size]
        if there:
            return median(there)
        fit = row.best_fit()
        if fit is None:
            raise MissingError(f"{name}@{size:g}")
        return value_at(fit, size)

    def rows_in(self, text: str) -> list[str]:
        """The ids of the rows that an expression refers to, each once."""
        names = [found.partition("@") for found in REFERENCE.findall(text)]
        plain = [n if at else n.removesuffix(".slope") for n, at, _ in names if not n.startswith("demand.")]
        return list(dict.fromkeys(plain))

    def demands_in(self, text: str) -> list[str]:
        """The ids of the demands that an expression refers to, each once."""
        names = [n.removeprefix("demand.") for n in REFERENCE.findall(text) if n.startswith("demand.")]
        return list(dict.fromkeys(names))


def _value(node: ast.expr) -> float:
    if isinstance(node, ast.Constant) and type(node.value) in (int, float):
        return node.value
    if isinstance(node, ast.UnaryOp) and isinstance(node.op, ast.USub):
        return -_value(node.operand)
    if isinstance(node, ast.BinOp) and type(node.op) in BINARY:
        return BINARY[type(node.op)](_value(node.left), _value(node.right))
    if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id in FUNCTIONS:
        if not node.keywords:
            return FUNCTIONS[node.func.id](*(_value(each) for each in node.args))
    raise NotArithmeticError(f"{ast.unparse(node)!r} is no arithmetic")
