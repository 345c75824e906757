"""Which idle connection is closed for a new one: the order by rank and within a rank."""

from random import Random
from typing import Any

import pytest

from hazelhold.platform import eviction
from hazelhold.platform.eviction import FRESH_PERIOD, STUCK_AFTER, eviction_order

NOW = 100.0


class Reader:
    def __init__(self, partial: bool) -> None:
        self.has_partial_message = partial


class Connection:
    """The attributes of an owner's connection that the decision reads."""

    def __init__(self, name: str, **attributes: Any) -> None:  # noqa: ANN401
        self.name = name
        self.open: dict[str, None] = {}
        self.closing = self.sent_valid = self.had_placement = self.handed_over = self.sending = self.waits = (
            False
        )
        self.opened_at = self.used_at = self.sending_from = NOW - 10
        self.reader = Reader(attributes.pop("partial", False))
        vars(self).update(attributes)

    def unsent(self) -> bool:
        return self.sending or self.waits


def order(*connections: Connection) -> list[str]:
    """The names in the order of eviction, which must not depend on the order of the input."""
    found = [peer.name for peer in eviction_order(connections, NOW)]
    shuffled = list(connections)
    Random(1).shuffle(shuffled)
    assert [peer.name for peer in eviction_order(shuffled, NOW)] == found
    return found


def test_the_connection_that_loses_least_is_closed_first() -> None:
    kept = Connection("kept", sent_valid=True, had_placement=True, used_at=NOW)
    assert order(
        Connection("fresh", opened_at=NOW - FRESH_PERIOD / 2),
        Connection("handed over", sent_valid=True, handed_over=True),
        Connection("served", sent_valid=True, had_placement=True),
        Connection("asked", sent_valid=True),
        Connection("silent"),
        kept,
    ) == ["silent", "asked", "served", "handed over", "fresh"]


def test_a_stuck_connection_ranks_as_silent() -> None:
    stuck = {"sending": True, "sending_from": NOW - 2 * STUCK_AFTER}
    assert order(
        Connection("reads nothing", sent_valid=True, had_placement=True, used_at=NOW - 1, **stuck),
        Connection("asked", sent_valid=True),
        Connection("kept", sent_valid=True, had_placement=True, used_at=NOW),
    ) == ["reads nothing", "asked"]


def test_fresh_connections_are_not_protected_if_most_are_fresh() -> None:
    crowd = [Connection(f"new {n}", opened_at=NOW - FRESH_PERIOD / 2, used_at=NOW - 1 - n) for n in range(3)]
    idle = Connection("idle", sent_valid=True)
    assert order(*crowd, idle) == ["new 2", "new 1", "new 0", "idle"]
    assert order(*crowd[:1], idle) == ["idle", "new 0"]


def test_open_closing_and_last_served_connections_are_not_closed() -> None:
    assert order(
        Connection("open", sent_valid=True, open={"task": None}),
        Connection("closing", closing=True),
        Connection("last", sent_valid=True, handed_over=True, used_at=NOW),
        Connection("earlier", sent_valid=True, had_placement=True, used_at=NOW - 1),
    ) == ["earlier"]
    assert order(Connection("only", sent_valid=True, had_placement=True)) == []


def test_within_a_rank_output_then_partial_messages_then_idle_time_decide() -> None:
    assert order(
        Connection("used last", sent_valid=True, used_at=NOW - 1),
        Connection("used first", sent_valid=True, used_at=NOW - 9),
        Connection("half a message", sent_valid=True, partial=True, used_at=NOW - 20),
        Connection("still written to", sent_valid=True, waits=True, used_at=NOW - 30),
    ) == ["used first", "used last", "half a message", "still written to"]


def test_without_the_rank_of_fresh_ones_the_order_test_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """Mutation check: if new connections rank as silent, the order test has to fail."""
    monkeypatch.setattr(eviction, "FRESH_PERIOD", 0.0)
    with pytest.raises(AssertionError):
        test_the_connection_that_loses_least_is_closed_first()
