"""Datagrams that the membership core must not trust: damaged, foreign, old, or too many."""

from hypothesis import given
from hypothesis import strategies as st

from hazelhold.emulate.membership_simulation import MembershipSimulation
from hazelhold.membership import messages
from hazelhold.membership.core import MembershipChange, MembershipCore, SendDatagram
from hazelhold.membership.rows import ALIVE, Row, encode_row, key
from tests.membership_world import SEEDS, SETTINGS, names, within, world


def alone_core(**settings: object) -> MembershipCore:
    core = MembershipCore(Row("me", 5, 9, 0, ALIVE, "at-me"), [], SETTINGS._replace(**settings), 1, 0)
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
    return messages.encode(deployment, me, payload, [encode_row(r) for r in rows])


def test_truncated_damaged_foreign_and_newer_datagrams_are_counted_and_ignored() -> None:
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
        core.receive(1000, body)
    assert core.counts == {"spoilt": 5, "stranger": 1, "newer_version": 1, "too_long": 1}
    assert len(core.table.members) == 1 and not core.actions


@given(st.binary(max_size=300), st.integers(0, 200), st.integers(0, 255))
def test_no_bytes_raise(noise: bytes, place: int, value: int) -> None:
    core = alone_core()
    core.receive(10, noise)
    body = bytearray(datagram(messages.Sync(1, [5] * messages.BUCKETS), (Row("x", 5, 3, 0, ALIVE, "at-x"),)))
    body[place % len(body)] = value
    core.receive(20, bytes(body))
    core.wake(30)


def test_a_thousand_nonexistent_members_are_bounded_probed_and_forgotten() -> None:
    settings = SETTINGS._replace(most_members=300, forget=20_000_000)
    simulation = MembershipSimulation(1, settings)
    for name in names(4):
        simulation.start(name, list(SEEDS))
    simulation.run(3)
    core = simulation.processes["m0"].core
    for number in range(1000):
        core.receive(
            simulation.processes["m0"].clock(simulation.now),
            datagram(
                messages.Rows(),
                (Row(f"x{number}", 1, 1, 0, ALIVE, "no"),),
                name="m3",
                life=core.table.row("m3").life,
                nonce=core.table.row("m3").nonce,
            ),
        )
    assert len(core.table.members) == 300 and core.counts["table_full"] > 600
    simulation.run(500)
    assert all(simulation.view(a, b) == ALIVE for a in names(4) for b in names(4))
    assert len(core.table.members) < 60


def test_datagrams_of_an_earlier_incarnation_are_counted_and_change_nothing() -> None:
    simulation = world(4, 1)
    recorded: list[bytes] = []
    send = simulation._send_datagram

    def listen(process: object, action: SendDatagram) -> None:
        if process.name == "m1":
            recorded.append(action.body)
        send(process, action)

    simulation._send_datagram = listen
    simulation.run(simulation.now / 1e6 + 5)
    simulation._send_datagram = send
    simulation.crash("m1")
    simulation.start("m1", list(SEEDS))
    within(simulation, 5, simulation.agree)
    core = simulation.processes["m0"].core
    before = {n: key(m.row) for n, m in core.table.members.items()}
    for body in recorded:
        core.receive(simulation.processes["m0"].clock(simulation.now), body)
    assert core.counts["earlier_life"] >= len(recorded) > 20
    assert {n: key(m.row) for n, m in core.table.members.items()} == before


def test_replies_to_queries_are_limited_in_rate() -> None:
    core = alone_core()
    for number in range(200):
        core.receive(2000, datagram(messages.ViewQuery(number + 1), name="-"))
    assert sum(not isinstance(a, MembershipChange) for a in core.actions) <= SETTINGS.answers_a_second + 1
    assert core.counts["put_off"] >= 150


def test_no_datagram_exceeds_the_limit_with_a_thousand_members() -> None:
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
    core.receive(
        1000,
        datagram(
            messages.Sync(1, [5] * messages.BUCKETS),
            name="planner-0001",
            life=1_796_000_000_001,
            nonce=(1 << 62) + 1,
        ),
    )
    core.receive(1000, datagram(messages.ViewQuery(3), name="-"))
    for at in range(2000, 3_000_000, 50_000):
        core.wake(at)
    sizes = [len(a.body) for a in core.actions if not isinstance(a, MembershipChange)]
    assert len(sizes) > 20 and max(sizes) <= messages.MAX_BYTES and max(sizes) > 1000
