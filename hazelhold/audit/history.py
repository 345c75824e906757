"""Whether what clients saw of a register can have happened one after another: linearizability, by Wing and
Gong's search (1993) with a memory of states (Lowe 2017).

A call has a beginning and an end; one whose answer never came has no end, and may have happened at any
moment after its beginning or never. Times are of one clock. Imports nothing of what it judges.
"""

from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple

NEVER = 1 << 62


class Call(NamedTuple):
    """`kind`: once (value), swap (expect, value), read. `result` is what was answered: the value then in
    the key; None with `end` NEVER if the answer never came."""

    kind: str
    arguments: tuple
    result: Hashable
    begin: int
    end: int = NEVER


def step(state: Hashable, call: Call) -> Hashable:
    """The value after the call."""
    if call.kind == "once":
        return state or call.arguments[0]
    if call.kind == "swap":
        return call.arguments[1] if state == call.arguments[0] else state
    return state


def linearizable(
    calls: Iterable[Call], empty: Hashable = b"", step: Callable[[Hashable, Call], Hashable] = step
) -> bool:
    """Whether some order that respects what ended before what began explains every answer, for one key;
    `step` says what a call makes of a value."""
    calls = sorted(calls, key=lambda c: (c.begin, c.end))
    seen: set[tuple[frozenset[int], Hashable]] = set()
    stack: list[tuple[frozenset[int], Hashable]] = [(frozenset(range(len(calls))), empty)]
    while stack:
        remaining, state = stack.pop()
        if (remaining, state) in seen:
            continue
        seen.add((remaining, state))
        if all(calls[n].end == NEVER for n in remaining):
            return True  # what is left was never answered, and need not have happened
        first_end = min(calls[n].end for n in remaining)
        for n in remaining:
            call = calls[n]
            if call.begin > first_end:
                continue  # something ended before it began, and has not been placed yet
            after = step(state, call)
            if call.end == NEVER or after == call.result:
                stack.append((remaining - {n}, after))
    return False
