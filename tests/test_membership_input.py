"""Datagrams that membership's core must not trust: damaged, strange, old, or too many."""

from hypothesis import given
from hypothesis import strategies as st

from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership import messages
from hazelhold.membership.core import Core, News, Post
from hazelhold.membership.rows import ALIVE, Row, key, told
from tests.membership_world import SEEDS, TERMS, names, within, world


def alone_core(**terms: object) -> Core:
    core = Core(Row("me", 5, 9, 0, ALIVE, "at-me"), [], TERMS._replace(**terms), 1, 0)
    core.start(0)
    return core


def datagram(
    payload: messages.Payload,
    rows: tuple[Row, ...] = (),
    deployment: str = "tests",
    name: str = "x",
    life: int = 5,
    nonce: int = 3,
) -> bytes:
    me = Row(name, life, nonce, 0, ALIVE, f"at-{name}")
    return messages.encode(deployment, me, payload, [told(r) for r in rows])


def test_torn_spoilt_strange_and_newer_datagrams_are_counted_and_do_nothing() -> None:
    core = alone_core()
    good = datagram(messages.Ping(1, "me"), (Row("x", 5, 3, 0, ALIVE, "at-x"),))
    newer = messages.ENCODER.encode([messages.VERSION + 1, "tests", {"what": "no idea"}])
    for body in [
        b"",
        b"\x00",
        b"\xc1" * 30,
        good[:-3],
        datagram(messages.Ping(1, "me"), deployment="other"),
        newer,
        b"\x9a" * 1300,
        datagram(messages.Ack(1, "me"), (Row("y", 1 << 60, 1, 0, ALIVE, "a"),)),
    ]:
        core.hear(1000, body)
    assert core.counts == {"spoilt": 5, "stranger": 1, "newer_version": 1, "too_long": 1}
    assert len(core.table.members) == 1 and not core.actions


@given(st.binary(max_size=300), st.integers(0, 200), st.integers(0, 255))
def test_no_bytes_raise(noise: bytes, place: int, value: int) -> None:
    core = alone_core()
    core.hear(10, noise)
    body = bytearray(datagram(messages.Sync(1, [5] * messages.BUCKETS), (Row("x", 5, 3, 0, ALIVE, "at-x"),)))
    body[place % len(body)] = value
    core.hear(20, bytes(body))
    core.wake(30)


def test_a_thousand_names_that_do_not_exist_are_bounded_probed_and_forgotten() -> None:
    terms = TERMS._replace(most_members=300, forget=20_000_000)
    made = MembershipSimulation(1, terms)
    for name in names(4):
        made.start(name, list(SEEDS))
    made.run(3)
    core = made.processes["m0"].core
    for number in range(1000):
        core.hear(
            made.processes["m0"].clock(made.now),
            datagram(
                messages.Rows(),
                (Row(f"x{number}", 1, 1, 0, ALIVE, "no"),),
                name="m3",
                life=core.table.row("m3").life,
                nonce=core.table.row("m3").nonce,
            ),
        )
    assert len(core.table.members) == 300 and core.counts["table_full"] > 600
    made.run(500)
    assert all(made.view(a, b) == ALIVE for a in names(4) for b in names(4))
    assert len(core.table.members) < 60


def test_what_an_earlier_life_sent_is_counted_and_changes_nothing() -> None:
    made = world(4, 1)
    kept: list[bytes] = []
    post = made._send_datagram

    def listen(process: object, action: Post) -> None:
        if process.name == "m1":
            kept.append(action.body)
        post(process, action)

    made._send_datagram = listen
    made.run(made.now / 1e6 + 5)
    made._send_datagram = post
    made.crash("m1")
    made.start("m1", list(SEEDS))
    within(made, 5, made.agree)
    core = made.processes["m0"].core
    before = {n: key(m.row) for n, m in core.table.members.items()}
    for body in kept:
        core.hear(made.processes["m0"].clock(made.now), body)
    assert core.counts["earlier_life"] >= len(kept) > 20
    assert {n: key(m.row) for n, m in core.table.members.items()} == before


def test_answers_to_questions_are_bounded_in_number_and_size() -> None:
    core = alone_core()
    for number in range(200):
        core.hear(2000, datagram(messages.ViewQuery(number + 1), name="-"))
    assert sum(not isinstance(a, News) for a in core.actions) <= TERMS.answers_a_second + 1
    assert core.counts["put_off"] >= 150


def test_no_datagram_is_longer_than_the_bound_with_a_thousand_members() -> None:
    core = alone_core()
    for number in range(1023):
        core._merge(
            Row(
                f"planner-{number:04d}",
                1_796_000_000_000 + number,
                (1 << 62) + number,
                3,
                ALIVE,
                f"10.20.30.40:{10000 + number}",
                "",
                f"zone-{number % 5}",
                "0.3.0",
                [1],
            ),
            "x",
        )
    core.hear(
        1000,
        datagram(
            messages.Sync(1, [5] * messages.BUCKETS),
            name="planner-0001",
            life=1_796_000_000_001,
            nonce=(1 << 62) + 1,
        ),
    )
    core.hear(1000, datagram(messages.ViewQuery(3), name="-"))
    for at in range(2000, 3_000_000, 50_000):
        core.wake(at)
    sizes = [len(a.body) for a in core.actions if not isinstance(a, News)]
    assert len(sizes) > 20 and max(sizes) <= messages.MAX_BYTES and max(sizes) > 1000
