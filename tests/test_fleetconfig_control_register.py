"""The control machine's core: registers that cannot be used, and how a head is written and read."""

import pytest
from fleetconfig_bench import Bench, chain_of, head_of, item, other_chain

from hazelhold.fleetconfig.head import Advance, Head, HeadError, Settle, decode_head, encode_head
from hazelhold.fleetconfig.revision import (
    Position,
)

UNUSABLE = [
    ("damaged", lambda good: good[:-1] + bytes([good[-1] ^ 1])),
    ("damaged", lambda good: b"x"),
    ("too_long", lambda good: good + bytes(1 << 20)),
    ("later_format", lambda good: encode_head(Head(format=2, number=7))),
    ("unreadable", lambda good: encode_head(Head(number="7"))),  # type: ignore[arg-type]
    ("register_lost", lambda good: b""),
    ("other_chain", lambda good: other_chain()),
    ("other_chain", lambda good: encode_head(Head(number=1, chain=bytes(16)))),
    ("wrong_tail", lambda good: encode_head(Head(number=1, tail=decode_head(good).tail))),
    ("wrong_tail", lambda good: encode_head(Head(number=1, tail=(b"x",)))),
    ("wrong_tail", lambda good: encode_head(Head(number=3, tail=tuple(s.body for s in chain_of(3)[::2])))),
]


@pytest.mark.parametrize(("code", "damage"), UNUSABLE)
def test_a_register_that_does_not_hold_this_chain_is_left_as_it_is(code: str, damage: object) -> None:
    bench = Bench()
    bench.propose("w", item("w", "x/1", 0))
    good = bench.value
    bad = bench.value = damage(good)
    bench.propose("x", item("x", "x/2", 0))
    bench.pass_time(300_000)
    assert bench.value == bad, "something was written over it"
    assert bench.core.broken.startswith(code)
    assert bench.propose("y", item("y", "x/3", 0)).outcome == "refused"
    assert bench.answers["y"].text.startswith(code)
    bench.value = good
    bench.pass_time(300_000)
    assert bench.core.broken == "" and bench.propose("z", item("z", "x/4", 0)).outcome == "committed"


def test_a_head_is_read_as_it_was_written() -> None:
    chain = chain_of(3)
    head = decode_head(head_of(chain, tail=2))
    assert head.position == chain[-1].position and head.tail == (chain[1].body, chain[2].body)
    assert decode_head(b"") == Head() and Head().position == Position()
    with pytest.raises(HeadError):
        decode_head(head_of(chain)[:-1])


def test_an_advance_is_made_once_and_only_on_its_parent() -> None:
    chain = chain_of(4)
    value = head_of(chain[:2], tail=2)
    after = Advance(chain[2].body, 1)(value)
    assert decode_head(after).tail == (chain[1].body, chain[2].body)
    assert Advance(chain[2].body, 2)(after) == after
    assert Advance(chain[3].body, 0)(value) == value and Advance(chain[0].body, 0)(value) == value
    assert Settle()(value) == Settle(0)(value) == value and Settle(9)(b"x") == b"x"
    settled = decode_head(Settle(1)(value))
    assert settled.tail == (chain[1].body,) and settled.position == chain[1].position
    assert decode_head(Settle(2)(value)) == Head(
        number=2, chain=chain[1].chain, content=chain[1].revision.content
    )
    assert decode_head(Advance(chain[2].body, 2)(Settle(2)(value))).tail == (chain[2].body,)
