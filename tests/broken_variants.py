"""Broken variants of the program: each disables one safety argument, and a scenario has to detect it."""

from collections.abc import Callable
from typing import NamedTuple

import pytest

Patch = Callable[[pytest.MonkeyPatch], None]


class Variant(NamedTuple):
    """A patch and the scenario that passes without it and fails an assertion with it."""

    scenario: Callable[[], None]
    patch: Patch


def patched(*changes: tuple[object, str, object]) -> Patch:
    """A patch that sets attributes, each given as object, name and value."""

    def apply(patch: pytest.MonkeyPatch) -> None:
        for where, name, value in changes:
            patch.setattr(where, name, value)

    return apply


def assert_caught(variant: Variant, monkeypatch: pytest.MonkeyPatch) -> None:
    """Asserts that the scenario fails an assertion once the program is patched."""
    variant.patch(monkeypatch)
    with pytest.raises(AssertionError):
        variant.scenario()
