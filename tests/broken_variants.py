"""Broken variants of a program: each breaks one argument for its safety, and a scenario has to catch it."""

from collections.abc import Callable
from typing import NamedTuple

import pytest

Patch = Callable[[pytest.MonkeyPatch], None]


class Variant(NamedTuple):
    """`scenario` holds for the program as it is, and fails an assertion once it is patched."""

    scenario: Callable[[], None]
    patch: Patch


def patched(*changes: tuple[object, str, object]) -> Patch:
    """Sets attributes: where, which, and to what."""

    def apply(patch: pytest.MonkeyPatch) -> None:
        for where, name, value in changes:
            patch.setattr(where, name, value)

    return apply


def assert_caught(variant: Variant, monkeypatch: pytest.MonkeyPatch) -> None:
    """The scenario of a patched program fails an assertion."""
    variant.patch(monkeypatch)
    with pytest.raises(AssertionError):
        variant.scenario()
