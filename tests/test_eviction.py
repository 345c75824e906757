"""Which idle connection is closed for a new one: the order, by standing and within one."""

from random import Random
from typing import Any

import pytest

from hazelhold.platform import eviction
from hazelhold.platform.eviction import FRESH, STUCK, eviction_order

NOW = 100.0


class Reader:
    def __init__(self, half: bool) -> None:
        self.has_partial_message = half


class Connection:
    """What the decision reads of an owner's connection."""

    def __init__(self, name: str, **facts: Any) -> None:  # noqa: ANN401
        self.name = name
        self.open: dict[str, None] = {}
        self.closing = self.sent_valid = self.had_placement = self.handed_over = self.sending = self.waits = (
            False
        )
        self.opened_at = self.used_at = self.sending_from = NOW - 10
        self.reader = Reader(facts.pop("half", False))
        vars(self).update(facts)

    def unsent(self) -> bool:
        return self.sending or self.waits


def order(*connections: Connection) -> list[str]:
    """The names in the order in which they go, which no order of the table may change."""
    found = [peer.name for peer in eviction_order(connections, NOW)]
    shuffled = list(connections)
    Random(1).shuffle(shuffled)
    assert [peer.name for peer in eviction_order(shuffled, NOW)] == found
    return found


def test_what_loses_least_goes_first() -> None:
    kept = Connection("kept", sent_valid=True, had_placement=True, used_at=NOW)
    assert order(
        Connection("fresh", opened_at=NOW - FRESH / 2),
        Connection("handed over", sent_valid=True, handed_over=True),
        Connection("served", sent_valid=True, had_placement=True),
        Connection("asked", sent_valid=True),
        Connection("silent"),
        kept,
    ) == ["silent", "asked", "served", "handed over", "fresh"]


def test_one_that_reads_nothing_counts_as_silent_whatever_it_was() -> None:
    stuck = {"sending": True, "sending_from": NOW - 2 * STUCK}
    assert order(
        Connection("reads nothing", sent_valid=True, had_placement=True, used_at=NOW - 1, **stuck),
        Connection("asked", sent_valid=True),
        Connection("kept", sent_valid=True, had_placement=True, used_at=NOW),
    ) == ["reads nothing", "asked"]


def test_being_fresh_protects_none_where_most_connections_are() -> None:
    crowd = [Connection(f"new {n}", opened_at=NOW - FRESH / 2, used_at=NOW - 1 - n) for n in range(3)]
    idle = Connection("idle", sent_valid=True)
    assert order(*crowd, idle) == ["new 2", "new 1", "new 0", "idle"]
    assert order(*crowd[:1], idle) == ["idle", "new 0"]


def test_requests_in_hand_closing_ones_and_the_last_of_an_owner_stay() -> None:
    assert order(
        Connection("open", sent_valid=True, open={"task": None}),
        Connection("closing", closing=True),
        Connection("last", sent_valid=True, handed_over=True, used_at=NOW),
        Connection("earlier", sent_valid=True, had_placement=True, used_at=NOW - 1),
    ) == ["earlier"]
    assert order(Connection("only", sent_valid=True, had_placement=True)) == []


def test_of_one_standing_goes_what_is_written_then_whole_then_longest_idle() -> None:
    assert order(
        Connection("used last", sent_valid=True, used_at=NOW - 1),
        Connection("used first", sent_valid=True, used_at=NOW - 9),
        Connection("half a message", sent_valid=True, half=True, used_at=NOW - 20),
        Connection("still written to", sent_valid=True, waits=True, used_at=NOW - 30),
    ) == ["used first", "used last", "half a message", "still written to"]


def test_without_the_standing_of_fresh_ones_the_check_sees_them_go(monkeypatch: pytest.MonkeyPatch) -> None:
    """The broken variant, as it was: a new connection taken for one that says nothing."""
    monkeypatch.setattr(eviction, "FRESH", 0.0)
    with pytest.raises(AssertionError):
        test_what_loses_least_goes_first()
