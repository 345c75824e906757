"""The precedence of rows, the member table, and suspicion timeouts."""

from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.membership.local_health import expected_confirmations, suspicion_timeout
from hazelhold.membership.rows import ALIVE, GONE, LEFT, SUSPECTED, Row, key
from hazelhold.membership.table import Table

ROWS = st.builds(
    Row,
    name=st.sampled_from(["a", "b"]),
    life=st.integers(1, 3),
    nonce=st.integers(1, 2),
    seq=st.integers(0, 3),
    state=st.sampled_from([ALIVE, SUSPECTED, GONE, LEFT]),
    address=st.just("x"),
)


@given(st.lists(ROWS, max_size=8), st.randoms(use_true_random=False))
def test_rows_merged_in_any_order_and_twice_give_the_same_table(rows: list[Row], random: Random) -> None:
    def merged(order: list[Row]) -> tuple:
        table = Table(Row("me", 1, 1, 0, ALIVE, "me"), 0, Random(1), 100)
        for row in order:
            before = table.row(row.name)
            if table.newer(row):
                table.put(row, 0)
            else:
                assert key(before) >= key(row)
        return {name: key(m.row) for name, m in table.members.items()}, table.digests

    shuffled = rows * 2
    random.shuffle(shuffled)
    assert merged(rows) == merged(shuffled)


def test_gone_is_refuted_by_a_greater_seq_of_the_same_incarnation_and_left_is_not() -> None:
    row = Row("a", 5, 7, 3, GONE, "x")
    replace = msgspec.structs.replace
    assert key(replace(row, state=ALIVE)) < key(row) < key(replace(row, state=ALIVE, seq=4))
    assert key(replace(row, state=LEFT, seq=0)) > key(replace(row, state=ALIVE, seq=9))
    assert key(replace(row, state=ALIVE, life=6, seq=0)) > key(replace(row, state=LEFT))


def test_a_suspicion_is_shorter_the_more_members_confirm_it() -> None:
    timeouts = [suspicion_timeout(10, 40, accusers, 3) for accusers in (1, 2, 3, 4, 5)]
    assert (
        timeouts[0] == 40 and timeouts[3] == timeouts[4] == 10 and timeouts == sorted(timeouts, reverse=True)
    )
    assert (
        expected_confirmations(2) == 0 and expected_confirmations(3) == 1 and expected_confirmations(230) == 3
    )
    assert suspicion_timeout(10, 40, 1, 0) == 10


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_the_indexes_of_the_table_stay_consistent(data: st.DataObject) -> None:
    """Digests, pools and buckets match the rows after any additions and removals."""
    table = Table(Row("me", 1, 1, 0, ALIVE, "me"), 0, Random(1), 100)
    for row in data.draw(st.lists(ROWS, max_size=12)):
        if table.newer(row):
            table.put(row, 0)
        elif data.draw(st.booleans()):
            table.forget(row.name)
        table.next_probe(set())
        table.gossip.take(table, 200, 3)
    fresh = Table(Row("me", 1, 1, 0, ALIVE, "me"), 0, Random(1), 100)
    for member in table.members.values():
        if member.row.name != "me":
            fresh.put(member.row, 0)
    assert fresh.digests == table.digests
    assert set(fresh.live.names) == set(table.live.names) and set(fresh.lost.names) == set(table.lost.names)
    assert fresh.in_bucket == [
        dict.fromkeys(sorted(b, key=list(fresh.members).index)) for b in table.in_bucket
    ]
