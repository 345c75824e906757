"""Connections of owners: which of them a planner may close, and when, without losing a set-up."""

import socket

import pytest
import trio

from hazelhold.platform.codec import ANSWER, END, TEST, BinaryMessage, encode_binary
from tests.platform_rig import Owner, Rig, SocketRig, on_sockets, play, set_up, until

PLACED = [(ANSWER, None)]
ERROR = (END, 47)
PROBE_ID = "00000000000000ff"


class RawOwner(Owner):
    """An owner that can also send without the event loop, so that the bytes reach the planner at once."""

    def __init__(self, address: str, nursery: trio.Nursery) -> None:
        host, port = address.split(":")
        self.raw = socket.create_connection((host, int(port)))
        super().__init__(trio.SocketStream(trio.socket.from_stdlib_socket(self.raw)), nursery)

    def send_now(self, data: bytes) -> None:
        self.raw.send(data)


async def idle_owners(rig: SocketRig) -> list[RawOwner]:
    """Opens as many connections as the planner allows, each idle after a probe; the longest idle is first."""
    owners = []
    for _ in range(rig.planner.limits.connections):
        owner = RawOwner(rig.planner.address, rig.nursery)
        await owner.say(BinaryMessage(TEST, PROBE_ID, {17: b"\0"}))
        await until(lambda owner=owner: owner.heard)
        owners.append(owner)
    return owners


def test_a_connection_with_an_unread_set_up_is_not_evicted() -> None:
    """If the event loop had not read the set-up yet, its connection was evicted as the longest idle one and
    the set-up was lost."""

    async def test(rig: SocketRig) -> None:
        longest_idle, next_idle, *_ = await idle_owners(rig)
        real = rig.planner.owner_server._free_connection

        def request_comes_first() -> bool:
            longest_idle.send_now(encode_binary(set_up(1)))
            rig.planner.owner_server._free_connection = real
            return real()

        rig.planner.owner_server._free_connection = request_comes_first
        newcomer = await rig.owner()
        await newcomer.say(set_up(2))
        await until(lambda: newcomer.of(2) == PLACED)
        await until(lambda: longest_idle.of(1) or longest_idle.closed_at)
        assert longest_idle.of(1) == PLACED and longest_idle.closed_at is None
        await until(lambda: next_idle.closed_at is not None)

    on_sockets(test)


def test_a_connection_with_a_partial_set_up_is_not_evicted_while_others_are_idle() -> None:
    async def test(rig: SocketRig) -> None:
        longest_idle, next_idle, *_ = await idle_owners(rig)
        request = encode_binary(set_up(1))
        await longest_idle.stream.send_all(request[:40])
        await until(
            lambda: any(peer.reader.has_partial_message for peer in rig.planner.owner_server.peers.values())
        )
        for peer in rig.planner.owner_server.peers.values():
            peer.used_at += not peer.reader.has_partial_message  # others go first even if used later
        newcomer = await rig.owner()
        await newcomer.say(set_up(2))
        await until(lambda: newcomer.of(2) == PLACED)
        await until(lambda: next_idle.closed_at is not None)
        await longest_idle.stream.send_all(request[40:])
        await until(lambda: longest_idle.of(1) == PLACED)

    on_sockets(test)


def test_a_fresh_connection_is_not_evicted_while_others_are_idle() -> None:
    """A new connection had sent no valid message yet, so it was evicted for the next one before any idle
    connection."""

    async def test(rig: SocketRig) -> None:
        longest_idle, next_idle, *_ = await idle_owners(rig)
        newcomer, next_newcomer = await rig.owner(), await rig.owner()
        await until(lambda: rig.planner.counts["connections_closed_for_others"] == 2)
        await newcomer.say(set_up(1))
        await next_newcomer.say(set_up(2))
        await until(lambda: newcomer.closed_at or (newcomer.of(1) and next_newcomer.of(2)))
        assert newcomer.of(1) == PLACED and next_newcomer.of(2) == PLACED
        await until(lambda: longest_idle.closed_at and next_idle.closed_at)

    on_sockets(test)


def test_a_silent_connection_is_evicted_before_an_idle_one() -> None:
    async def test(rig: SocketRig) -> None:
        owners = await idle_owners(rig)
        silent, newcomer = await rig.owner(), None
        await until(lambda: owners[0].closed_at)
        await trio.sleep(0.3)
        newcomer = await rig.owner()
        await newcomer.say(set_up(1))
        await until(lambda: newcomer.of(1) == PLACED)
        await until(lambda: silent.closed_at)
        assert not any(owner.closed_at for owner in owners[1:])

    on_sockets(test)


def test_one_connection_with_a_placed_guest_stays_for_the_ends_of_others() -> None:
    """All such connections were evicted, and ends were then sent to any owner with a valid message."""

    async def test(rig: SocketRig) -> None:
        first = await rig.owner()
        await first.say(set_up(1))
        await until(lambda: first.of(1) == PLACED)
        last = await rig.owner()
        await last.say(set_up(2))
        await until(lambda: last.of(2) == PLACED)
        rig.machines["a"].accepts = False
        others = [await rig.owner() for _ in range(rig.planner.limits.connections - 2)]
        for number, other in enumerate(others, 3):
            await other.say(set_up(number, left="3000"))
        await until(
            lambda: all(peer.open or peer.had_placement for peer in rig.planner.owner_server.peers.values())
        )
        stranger = others[-1]
        assert (
            first.closed_at is None and len(rig.planner.owner_server.peers) == rig.planner.limits.connections
        )
        await rig.owner()  # only the two on which a guest was placed are idle
        await until(lambda: first.closed_at)
        await rig.machines["a"].end(f"{1:016x}", 16)
        await until(lambda: last.of(1) or stranger.of(1))
        assert last.of(1) == [(END, 16)] and last.closed_at is None and not stranger.of(1)

    on_sockets(test, machines="a")


def test_a_new_connection_is_refused_if_every_idle_one_has_unread_input() -> None:
    async def test(rig: SocketRig) -> None:
        owners = await idle_owners(rig)
        real = rig.planner.owner_server._free_connection

        def all_speak() -> bool:
            for guest, owner in enumerate(owners, 1):
                owner.send_now(encode_binary(set_up(guest)))
            return real()

        rig.planner.owner_server._free_connection = all_speak
        newcomer = await rig.owner()
        await until(lambda: newcomer.closed_at is not None)
        for guest, owner in enumerate(owners, 1):
            await until(lambda guest=guest, owner=owner: len(owner.of(guest)) == 1)
        assert rig.planner.counts["connections_refused"] == 1

    on_sockets(test)


def test_a_second_set_up_of_an_open_id_closes_only_the_first_ones_connection() -> None:
    """Set-ups on two connections may be read in either order: the connection that is read second must not
    lose its other open guests."""

    async def test(rig: Rig) -> None:
        rig.machines["a"].accepts = False
        first, second = await rig.owner(), await rig.owner()
        await first.say(set_up(1))
        await second.say(set_up(2))
        await until(lambda: rig.offers(1) and rig.offers(2))
        await second.say(set_up(1, parameters={18: b"another description"}))
        await until(lambda: second.of(1) or second.closed_at)
        assert second.of(1) == [ERROR] and second.closed_at is None
        for guest in (1, 2):
            await rig.machines["a"].accept(rig.machines["a"].streams[-1], f"{guest:016x}")
        await until(lambda: first.of(1) and second.of(2))
        assert first.of(1) == PLACED and second.of(2) == PLACED and second.of(1) == [ERROR]
        assert len(rig.offers(1)) == 1

    play(test, machines="a")


@pytest.mark.parametrize("stands", [False, True])
@pytest.mark.parametrize("usable", [False, True])
def test_a_second_set_up_on_the_same_connection_closes_it_without_an_answer(
    stands: bool, usable: bool
) -> None:
    """A refusal there would be read as the first guest's answer, or as the end of the placed guest."""

    async def test(rig: Rig) -> None:
        rig.machines["a"].accepts = stands
        owner = await rig.owner()
        await owner.say(set_up(1))
        await until(lambda: rig.planner.engine.is_placed(f"{1:016x}") if stands else rig.offers(1))
        await owner.say(set_up(1, product="plain" if usable else "unknown"))
        await until(lambda: owner.closed_at or len(owner.of(1)) > stands)
        assert owner.closed_at and owner.of(1) == (PLACED if stands else [])
        assert rig.planner.engine.is_placed(f"{1:016x}") == stands

    play(test, machines="a")


def test_a_partial_message_closes_no_connection_on_which_an_answer_is_owed() -> None:
    """The timeout of two seconds for the rest closed the connection, which abandoned its open guest."""

    async def test(rig: Rig) -> None:
        rig.machines["a"].accepts = False
        owner = await rig.owner()
        request = encode_binary(set_up(2))
        await owner.stream.send_all(encode_binary(set_up(1, left="3000")) + request[:50])
        began = trio.current_time()
        await until(lambda: owner.of(1) or owner.closed_at)
        assert len(owner.of(1)) == 1 and trio.current_time() - began > 2.0
        await until(lambda: owner.closed_at is not None)  # the partial message has timed out
        assert trio.current_time() - began < 4.0

    play(test, machines="a")


def test_a_connection_with_handed_over_guests_outlasts_idle_ones_that_placed_guests() -> None:
    """Such a connection had placed nothing, so it was evicted first, and the ends of the guests that it had
    handed over were sent to other owners."""

    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1, figures=f"cores:1;memory:2;service:{1:016x};at:a"))
        await until(lambda: rig.planner.engine.is_placed(f"{1:016x}"))
        crowd = [await rig.owner() for _ in range(rig.planner.limits.connections - 1)]
        for number, other in enumerate(crowd, 2):
            await other.say(set_up(number))
            await until(lambda other=other, number=number: other.of(number) == PLACED)
        newcomers = [await rig.owner() for _ in range(len(crowd) // 2)]
        await until(lambda: sum(other.closed_at is not None for other in crowd) >= len(newcomers))
        assert owner.closed_at is None
        await rig.machines["a"].end(f"{1:016x}", 16)
        await until(lambda: owner.of(1))
        assert owner.of(1) == [(END, 16)] and not any(other.of(1) for other in crowd)

    play(test, machines="a")
