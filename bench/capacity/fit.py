"""Fits measured points by size: constant, n, n log n or n squared, each with an intercept.

Of several values of one size the median counts, since other work on the machine makes a few of them larger.
Least squares of the relative error, so that a small size counts as much as a large one.
"""

from collections.abc import Callable, Sequence
from math import log2, sqrt
from statistics import median

from bench.capacity.schema import Fit, Form, Point

FORMS: dict[Form, Callable[[float], float]] = {
    "constant": lambda size: 0.0,
    "n": lambda size: size,
    "n log n": lambda size: size * log2(size) if size > 0 else 0.0,
    "n squared": lambda size: size * size,
}

LEAST_SIZES = 3
"""Fewer different sizes tell no form from another."""

BETTER = 0.8
"""A form of a higher order is told only if its residual is below this part of the lower one's."""

RISES = 0.5
"""A form other than constant is told only if its residual is below this part of the constant's."""

FLAT = 0.03
"""Values that lie within so much of each other, 3 percent as the constant's residual, are constant."""


def value_at(fit: Fit, size: float) -> float:
    """The fitted value at a size."""
    return fit.intercept + fit.slope * FORMS[fit.form](size)


def fit_form(form: Form, points: Sequence[Point]) -> Fit:
    """The best curve of one form; the residual counts the curve's own freedom against it."""
    largest = max(abs(point.value) for point in points)
    if not largest:
        return Fit(form, 0.0, 0.0, 0.0)
    weights = [1 / max(abs(point.value), largest * 1e-3) ** 2 for point in points]
    scale = max(abs(FORMS[form](point.size)) for point in points) or 1.0
    shapes = [FORMS[form](point.size) / scale for point in points]
    total = sum(weights)
    mean_shape = _mean(weights, shapes, total)
    mean_value = _mean(weights, [point.value for point in points], total)
    spread = sum(w * (x - mean_shape) ** 2 for w, x in zip(weights, shapes, strict=True))
    slope = 0.0
    if spread > 1e-12 * total:
        together = sum(
            w * (x - mean_shape) * (point.value - mean_value)
            for w, x, point in zip(weights, shapes, points, strict=True)
        )
        slope = together / spread
    intercept = mean_value - slope * mean_shape
    errors = sum(
        w * (point.value - intercept - slope * x) ** 2
        for w, x, point in zip(weights, shapes, points, strict=True)
    )
    freedom = max(1, len(points) - (1 if form == "constant" else 2))
    return Fit(form, slope / scale, intercept, sqrt(errors / freedom))


def _mean(weights: Sequence[float], values: Sequence[float], total: float) -> float:
    return sum(w * value for w, value in zip(weights, values, strict=True)) / total


def fit_all(points: Sequence[Point]) -> tuple[list[Fit], Form | str]:
    """The fit of each form, and the form that is told: "" if there are too few sizes."""
    typical = medians(points)
    if len(typical) < LEAST_SIZES:
        return [], ""
    fits = [fit_form(form, typical) for form in FORMS]
    return fits, best_form(fits)


def medians(points: Sequence[Point]) -> list[Point]:
    """One point a size."""
    sizes = sorted({point.size for point in points})
    return [Point(size, median(p.value for p in points if p.size == size)) for size in sizes]


def best_form(fits: Sequence[Fit]) -> Form:
    """The simplest form that no other betters by much, so that noise seldom makes a slope of a constant.

    `fits` has one of each form, in the order of `FORMS`.
    """
    constant, best, *higher = fits
    for fit in higher:
        if fit.residual < BETTER * best.residual:
            best = fit
    flat = constant.residual <= FLAT or best.residual > RISES * constant.residual
    return constant.form if flat else best.form
