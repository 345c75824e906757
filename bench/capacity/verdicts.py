"""Holds what each role spends at the target size against its budget: a verdict for each line of `budgets`."""

from collections.abc import Iterable

from bench.capacity.arithmetic import Known, MissingError
from bench.capacity.budgets import HELD, Held
from bench.capacity.schema import Demand, Row, Verdict


def verdicts(rows: Iterable[Row], demands: Iterable[Demand]) -> list[Verdict]:
    """All verdicts; one that refers to what has no value yet is "not measured"."""
    known = Known(rows, demands)
    return [_verdict(held, known) for held in HELD]


def _verdict(held: Held, known: Known) -> Verdict:
    value, note = None, held.note
    if held.arithmetic:
        try:
            value = known.evaluate(held.arithmetic)
        except MissingError as missing:
            note = f"{note}; no value of {missing}".removeprefix("; ")
    factor = None if value is None else value / held.budget
    holds = "not measured" if factor is None else "holds" if factor <= 1 else "falls short"
    return Verdict(
        role=held.role,
        resource=held.resource,
        budget=held.budget,
        value=value,
        unit=held.unit,
        rows=known.rows_in(held.arithmetic),
        demands=known.demands_in(held.arithmetic),
        arithmetic=held.arithmetic,
        holds=holds,
        factor=factor,
        note=note,
    )
