"""A client closes its connection with much still unread: nothing may be started for it any more.

The end of input stands behind all that is unread, but the kernel tells at once that the peer has closed.
"""

import contextlib
import socket

import pytest
import trio

from hazelhold.platform.codec import encode_binary
from hazelhold.platform.peer import OwnerPeer
from tests.broken_variants import Variant, assert_caught, patched
from tests.platform_rig import PLACED, Rig, SocketRig, end, on_sockets, play, set_up

MANY = 1500
LATEST_START = 0.1  # seconds after a close in which an attempt may still begin


def leave_with_much_unread() -> None:
    """Three clients send their set-ups in one piece and close; another one is served meanwhile."""
    late: list[float] = []

    async def story(rig: SocketRig) -> None:
        usual = await rig.owner()
        closed: dict[str, float] = {}
        for client in range(3):
            stream = await rig.net.dial(rig.planner.address)
            guests = range(1000 + client * MANY, 1000 + (client + 1) * MANY)
            figures = "cores:0.01;memory:0.01;service:s"
            await stream.send_all(b"".join(encode_binary(set_up(guest, figures=figures)) for guest in guests))
            await stream.aclose()
            closed.update(dict.fromkeys((f"{guest:016x}" for guest in guests), trio.current_time()))
        await trio.sleep(1.0)
        await usual.say(set_up(1))
        await trio.sleep(0.5)
        assert usual.of(1) == PLACED
        offers = [line for machine in rig.machines.values() for line in machine.offers()]
        late.extend(
            line["at"] - closed[line["call"]]
            for line in offers
            if line["call"] in closed and line["at"] - closed[line["call"]] > LATEST_START
        )

    on_sockets(story)
    assert late == []


def test_no_attempt_begins_once_a_client_has_left_with_much_unread() -> None:
    """Guards against requests that are sent on after their client has closed the connection."""
    leave_with_much_unread()


def offers_behind_a_close() -> None:
    """All that an owner sent is read but its close: whether its offers wait."""

    async def story(rig: Rig) -> None:
        near, far = socket.socketpair()
        with near, far:
            near.setblocking(False)
            peer = OwnerPeer("c", trio.SocketStream(trio.socket.from_stdlib_socket(near)), 1 << 16, 0.0)
            rig.planner.owner_server.peers["c"] = peer
            far.send(bytes(100))
            peer.read_begins()
            near.recv(100)
            peer.was_read(100)
            waiting.append(rig.planner.owner_server.has_unread_input("c"))
            far.close()
            waiting.append(rig.planner.owner_server.has_unread_input("c"))
            del rig.planner.owner_server.peers["c"]

    waiting: list[bool] = []
    play(story)
    assert waiting == [False, True]


def test_offers_wait_for_an_owner_that_has_closed() -> None:
    """Guards against an offer that is written between the last bytes of its owner and its close."""
    offers_behind_a_close()


@pytest.mark.parametrize("wait", [0.0, 0.05, 0.5])
def test_an_id_that_comes_again_after_its_client_has_left_is_served_once(wait: float) -> None:
    """Guards against an id that runs twice, and one that is refused for the end of the time before."""

    async def story(rig: SocketRig) -> None:
        for machine in rig.machines.values():
            machine.silent = True  # the first offer stays open
        stream = await rig.net.dial(rig.planner.address)
        filler = [set_up(guest, figures="cores:0.01;memory:0.01;service:s") for guest in range(1000, 1400)]
        await stream.send_all(b"".join(encode_binary(each) for each in [*filler, set_up(1), end(1)]))
        await stream.aclose()
        await trio.sleep(wait)
        for machine in rig.machines.values():
            machine.silent = False
        owner = await rig.owner()
        with contextlib.suppress(trio.TooSlowError), trio.fail_after(2.0):
            while not owner.of(1):
                await owner.say(set_up(1))
                await trio.sleep(0.5)
        assert owner.of(1) == PLACED
        accepted = [name for name, machine in rig.machines.items() if f"{1:016x}" in accepted_by(machine)]
        assert len(accepted) == 1

    on_sockets(story)


def accepted_by(machine: object) -> list[str]:
    """The guests whose offers a machine received and that were not withdrawn there since."""
    found: list[str] = []
    for line in machine.heard:
        if line["op"] == "offer":
            found.append(line["call"])
        elif line["op"] == "end" and line["call"] in found:
            found.remove(line["call"])
    return found


def test_a_variant_that_does_not_ask_the_kernel_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an argument that no scenario would miss."""
    blind = patched((OwnerPeer, "ended_by_peer", lambda self: False))
    assert_caught(Variant(offers_behind_a_close, blind), monkeypatch)
