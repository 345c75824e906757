"""What the connections of owners hold together, and what one of them may use of it."""

import trio
import trio.testing

from hazelhold.platform.codec import DESCRIPTION, FIGURES, TEST, BinaryMessage, encode_binary
from hazelhold.platform.connection_memory import ConnectionMemory, OpenRequests
from hazelhold.platform.handover_limits import MAX_ON_MACHINE
from hazelhold.platform.translation import FULL, RESET
from tests.platform_rig import PLACED, Rig, end, play, set_up

NOWHERE = "cores:100;memory:2;service:one"  # within what the largest machine accepts, more than any has
MANY = 5000


def refused(owner: object) -> int:
    """How many releases for want of room the owner has received."""
    return sum(binary.cause == FULL for binary in owner.heard)


def test_a_connection_beyond_its_share_is_refused_and_another_is_not() -> None:
    """Guards against one client whose requests that fit nowhere fill the planner's table of guests: those of
    all others were refused, and each step grew with them."""

    async def story(rig: Rig) -> None:
        limit = rig.planner.owner_server.memory.max_requests
        bad, usual = await rig.owner(), await rig.owner()
        for first in range(0, 2 * limit, 256):
            await bad.say(*(set_up(1000 + first + n, figures=NOWHERE, left="3000") for n in range(256)))
        await trio.sleep(0.2)
        assert len(rig.planner.engine.records) <= limit
        assert refused(bad) >= limit
        await usual.say(set_up(1))
        await trio.sleep(0.2)
        assert usual.of(1) == PLACED

    play(story)


def test_requests_without_time_do_not_delay_others() -> None:
    """Guards against requests that are refused one after the other although their time is over when they are
    read: those of other clients were placed behind all of them, and late."""

    async def story(rig: Rig) -> None:
        bad, usual = await rig.owner(), await rig.owner()
        await bad.say(*(set_up(1000 + n, left="1") for n in range(MANY)))
        await usual.say(set_up(1, left="300"))
        await trio.sleep(0.3)
        assert usual.of(1) == PLACED
        assert refused(bad) == MANY

    play(story)


def test_requests_of_hundreds_of_clients_are_limited_in_bytes_together() -> None:
    """Guards against memory that grows with connections times the largest request: 300 clients with 16
    requests of 15 KB each had the process at 131 MB."""

    async def story(rig: Rig) -> None:
        memory = rig.planner.owner_server.memory
        for owner in [await rig.owner() for _ in range(20)]:
            first = id(owner) % 10**9
            content = {DESCRIPTION: b"d" * 15_000}
            requests = [
                set_up(first * 100 + n, figures=NOWHERE, left="3000", parameters=content) for n in range(30)
            ]
            await owner.say(*requests)
        await trio.sleep(0.1)
        held = sum(len(each.submit.description) for each in rig.planner.engine.records.values())
        assert 0 < held <= memory.max_request_bytes
        assert memory.request_bytes <= memory.max_request_bytes

    play(story)


def test_a_placed_guest_keeps_no_content_of_its_request() -> None:
    """Guards against memory that grows with the requests of guests that run for a long time."""

    async def story(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1, parameters={DESCRIPTION: b"d" * 15_000}))
        handed_over = {FIGURES: b"cores:1;memory:1;service:s;at:a", DESCRIPTION: b"d" * 15_000}
        await owner.say(set_up(2, parameters=handed_over))
        await trio.sleep(0.2)
        assert owner.of(1) == PLACED
        records = rig.planner.engine.records.values()
        assert len(records) == 2
        assert not any(each.submit.description for each in records)
        memory = rig.planner.owner_server.memory
        assert (memory.requests, memory.request_bytes, memory.users) == (0, 0, 0)

    play(story)


def test_answers_that_are_not_read_are_limited_for_all_connections_together() -> None:
    """Guards against memory that grows with connections times the largest queue of answers."""

    async def story(rig: Rig) -> None:
        server = rig.planner.owner_server
        server.memory.max_buffer_bytes = 100_000
        test = encode_binary(BinaryMessage(TEST, f"{7:016x}", {17: b"\0"}))
        for _ in range(10):
            near, far = trio.testing.lockstep_stream_pair()  # nothing is buffered in between
            rig.nursery.start_soon(server.serve, far)
            with trio.move_on_after(0.1):
                await near.send_all(test * 2000)
            assert server.memory.buffer_bytes <= server.memory.max_buffer_bytes
            assert server.memory.buffer_bytes == sum(peer.buffered for peer in server.peers.values())
        assert rig.planner.counts["connections_closed_for_memory"] > 0

    play(story)


def test_requests_that_are_not_complete_are_limited_for_all_connections_together() -> None:
    """Guards against memory that grows with connections times the largest message."""

    async def story(rig: Rig) -> None:
        server = rig.planner.owner_server
        server.memory.max_buffer_bytes = 50_000
        request = encode_binary(set_up(1, parameters={DESCRIPTION: b"d" * 15_000}))
        for stream in [await rig.net.dial("door:1") for _ in range(10)]:
            await stream.send_all(request[:-1])
        await trio.sleep(0.1)
        assert 0 < server.memory.buffer_bytes <= server.memory.max_buffer_bytes
        await trio.sleep(3.0)
        assert not server.peers and server.memory.buffer_bytes == 0

    play(story)


def test_handovers_of_one_connection_are_limited_by_what_the_machine_accepts() -> None:
    """Guards against guests that a client says to run on a machine, more than that could take: each was held
    for good, and the answers of others came up to 15 s late."""

    async def story(rig: Rig) -> None:
        bad, usual = await rig.owner(), await rig.owner()
        figures = "cores:0.01;memory:2;service:s;at:a"
        await bad.say(*(set_up(1000 + n, figures=figures) for n in range(MANY)))
        await trio.sleep(0.5)
        accepted = 41.0 * 1.5 / 2  # the machine's memory, by what each guest requests
        assert accepted <= len(rig.planner.engine.records) <= 2 * accepted + 1
        assert sum(binary.cause == RESET for binary in bad.heard) >= MANY - 2 * accepted - 1
        await usual.say(set_up(1), set_up(2, figures=figures))
        await trio.sleep(0.2)
        assert usual.of(1) == PLACED
        assert rig.planner.engine.newest_records[f"{2:016x}"].placed

    play(story)


def test_handovers_that_have_ended_leave_room_for_others() -> None:
    """Guards against a connection that may hand over nothing any more after a long life."""

    async def story(rig: Rig) -> None:
        owner = await rig.owner()
        for turn in range(300):
            figures = "cores:20;memory:2;service:s;at:a"
            await owner.say(set_up(1000 + turn, figures=figures))
            await trio.sleep(0.05)
            await owner.say(end(1000 + turn))
            await trio.sleep(0.05)
        assert not any(binary.cause == RESET for binary in owner.heard)
        (peer,) = rig.planner.owner_server.peers.values()
        assert not peer.handovers.guests and not peer.handovers.by_machine

    play(story)


def test_handovers_of_small_guests_are_limited_in_number() -> None:
    """Guards against a bound that guests with tiny requests pass."""

    async def story(rig: Rig) -> None:
        bad = await rig.owner()
        figures = "cores:0.0001;memory:0.0001;service:s;at:a"
        await bad.say(*(set_up(1000 + n, figures=figures) for n in range(MANY)))
        await trio.sleep(0.5)
        assert len(rig.planner.engine.records) == MAX_ON_MACHINE

    play(story)


def test_shares_add_up_to_the_limit() -> None:
    """Guards against shares that together pass the limit, and one that leaves a connection nothing."""
    memory = ConnectionMemory(0, max_requests=100)
    connections = [OpenRequests(memory) for _ in range(12)]
    for turn in range(200):
        for number, each in enumerate(connections):
            if memory.admits(each, 1):
                each.add(f"{number}-{turn}", 1)
    assert all(connections)
    assert memory.requests == sum(map(len, connections)) <= 100
    for each in connections:
        each.remove_all()
    assert (memory.requests, memory.request_bytes, memory.users) == (0, 0, 0)
