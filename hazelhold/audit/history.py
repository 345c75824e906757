"""Checks whether a history of calls on a register is linearizable.

Uses the search of Wing and Gong (1993) with memoised states (Lowe 2017). A call without an answer has no end:
it may have taken effect at any time after its beginning, or never. All times are of one clock. The module
imports none of the checked code.
"""

from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple

NEVER = 1 << 62


class Call(NamedTuple):
    """One call: once (value), swap (expect, value) or read.

    `result` is the answer, the value of the key after the call; None, with `end` NEVER, if no answer came.
    """

    kind: str
    arguments: tuple
    result: Hashable
    begin: int
    end: int = NEVER


def step(state: Hashable, call: Call) -> Hashable:
    """The value of the register after the call."""
    if call.kind == "once":
        return state or call.arguments[0]
    if call.kind == "swap":
        return call.arguments[1] if state == call.arguments[0] else state
    return state


def linearizable(
    calls: Iterable[Call], empty: Hashable = b"", step: Callable[[Hashable, Call], Hashable] = step
) -> bool:
    """Whether the calls on one key are linearizable.

    That is, whether some sequential order explains every answer and keeps each call that ended before another
    began ahead of it. `step` gives the value after a call.
    """
    calls = sorted(calls, key=lambda c: (c.begin, c.end))
    seen: set[tuple[frozenset[int], Hashable]] = set()
    stack: list[tuple[frozenset[int], Hashable]] = [(frozenset(range(len(calls))), empty)]
    while stack:
        remaining, state = stack.pop()
        if (remaining, state) in seen:
            continue
        seen.add((remaining, state))
        if all(calls[n].end == NEVER for n in remaining):
            return True  # the rest was never answered and need not have taken effect
        first_end = min(calls[n].end for n in remaining)
        for n in remaining:
            call = calls[n]
            if call.begin > first_end:
                continue  # a call that is not ordered yet ended before this one began
            after = step(state, call)
            if call.end == NEVER or after == call.result:
                stack.append((remaining - {n}, after))
    return False
