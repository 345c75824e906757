"""Race conditions of connections that open, break or close, forced on loopback sockets."""

import pytest
import trio

from hazelhold.platform.codec import END, TEST, BinaryMessage
from hazelhold.protocol import messages as m
from hazelhold.service.net import TcpNet
from tests.crossings_rig import PLACED, Tap, name, reset, settings
from tests.platform_rig import Rig, SocketRig, end, event, host, on_sockets, play, set_up, until


def test_a_dial_that_connects_as_it_is_cancelled_replaces_no_other_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The old dial replaced the new stream by its own: the machine seemed connected, and nothing reached
    it."""

    async def test(rig: SocketRig) -> None:
        held = trio.Event()
        real, dialled, watched = TcpNet.dial, [], rig.planner.engine.roster.machines["a"].address

        async def dial(self: TcpNet, address: str) -> trio.SocketStream:
            dialled.extend([address] * (address == watched))
            if address != watched or len(dialled) > 1:
                return await real(self, address)
            with (
                trio.CancelScope(shield=True),
                trio.move_on_after(5),
            ):  # it connects in the iteration in which it is cancelled
                stream = await real(self, address)
                await held.wait()
            return stream

        monkeypatch.setattr(TcpNet, "dial", dial)
        owner = await rig.owner()
        await owner.say(set_up(1, left="3000"))
        await until(lambda: len(dialled) > 1)
        held.set()
        await until(lambda: owner.of(1))
        assert owner.of(1) == PLACED and rig.planner.counts["unsent"] == 0
        scope, peer = rig.planner.links.by_machine["a"]
        assert peer is not None and not scope.cancel_called and not peer.closing

    on_sockets(test, machines="a")


class Broken(Tap):
    """A stream whose next write fails; what was sent before is read only after that."""

    def __init__(self, stream: trio.SocketStream) -> None:
        super().__init__(stream)
        self.broke = trio.Event()

    async def send_all(self, data: bytes) -> None:
        self.broke.set()
        raise trio.BrokenResourceError

    async def receive_some(self, max_bytes: int) -> bytes:
        await self.broke.wait()
        return await self.stream.receive_some(max_bytes)


@pytest.mark.parametrize("said", [{"op": "accept", "desc": "mine\r\n"}, {"op": "end", "why": 34}])
def test_an_answer_that_is_unread_as_a_write_fails_is_still_handled(said: dict) -> None:
    """A failed write closed the connection before what its machine had sent was read."""

    async def test(rig: SocketRig) -> None:
        machine = rig.machines["a"]
        machine.accepts = False
        owner = await rig.owner()
        await owner.say(set_up(1, "once"))
        await until(lambda: rig.offers(1))
        peer, stream = rig.planner.links.by_machine["a"][1], machine.streams[-1]
        peer.stream = Broken(peer.stream)
        heard = rig.planner.engine.links["a"].heard_at
        await machine.say(stream, {"op": "tested", "call": name(77), "with": {}, "why": 1})
        await until(lambda: rig.planner.engine.links["a"].heard_at > heard)  # the next read waits
        await machine.say(stream, {"call": name(1), "with": {}} | said)
        peer.send(m.Probe(number=5))
        await until(lambda: owner.of(1))
        assert owner.of(1)[:1] == (PLACED if said["op"] == "accept" else [(END, 34)])

    on_sockets(test, machines="a")


def test_a_connection_about_to_be_closed_as_idle_is_replaced_before_an_offer_or_end_is_sent() -> None:
    """Idle connections were checked twice a second: with a short idle time the machine closed first, just as
    an offer was written, and the guest failed as one that may have run."""

    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await until(lambda: owner.of(1) == PLACED)
        link, limit = rig.planner.engine.links["a"], rig.planner.limits.idle_close_ms * 1000
        assert limit == 240_000
        link.used_at = link.heard_at = link.opened_at = rig.net.now() - limit - 1
        await owner.say(set_up(2, "once"))
        await until(lambda: owner.of(2) == PLACED)
        assert len(rig.machines["a"].streams) == 2
        link.used_at = link.heard_at = link.opened_at = rig.net.now() - limit - 1
        await owner.say(end(2))
        await until(lambda: any(line["op"] == "end" for line in rig.machines["a"].heard))
        assert len(rig.machines["a"].streams) == 3 and owner.of(1) == PLACED
        await owner.say(end(1))
        await until(
            lambda: link.state == "down"
        )  # an unused connection is closed well before the machine would
        assert rig.net.now() - max(link.used_at, link.heard_at) < 300_000

    # No probes: an answer that comes after the times above are set would make the connection active again.
    limits = {"idle-close": 300.0, "probing": False}
    # In virtual time, so that a loaded computer does not delay the close.
    play(test, machines="a", settings=settings(limits=limits))


def test_an_idle_connection_to_a_machine_that_left_the_list_still_carries_a_guest_s_end() -> None:
    async def test(rig: SocketRig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await until(lambda: owner.of(1) == PLACED)
        link = rig.planner.engine.links["a"]
        rig.bulletin.events += [event(2, host("a", "terminated"))]
        await until(lambda: not rig.planner.engine.roster.machines)
        rig.planner.engine.idle_check_at = (
            rig.net.now() + 60_000_000
        )  # no check closes it before the end is read
        link.used_at = link.heard_at = link.opened_at = rig.net.now() - 300_000
        await owner.say(end(1))
        await until(lambda: any(line["op"] == "end" for line in rig.machines["a"].heard))
        assert len(rig.machines["a"].streams) == 1

    on_sockets(test, machines="a", settings=settings(limits={"idle-close": 300.0}))


def test_an_end_written_as_its_connection_breaks_is_sent_to_the_machine_once_more() -> None:
    """The machine never read it and kept the guest forever."""

    async def test(rig: SocketRig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await until(lambda: owner.of(1) == PLACED)
        machine = rig.machines["a"]
        peer = rig.planner.links.by_machine["a"][1]
        peer.stream = tap = Tap(peer.stream)
        tap.stopped = True
        await owner.say(end(1))
        await until(lambda: peer.sending)
        reset(machine.streams[-1])
        await until(lambda: any(line["op"] == "end" for line in machine.heard))
        assert len(machine.streams) == 2

    on_sockets(test, machines="a")


def test_an_end_whose_dial_fails_is_sent_when_the_machine_can_be_reached_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It waited for the next dial of that machine, which may never come."""

    async def test(rig: SocketRig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await until(lambda: owner.of(1) == PLACED)
        link, real, failed = rig.planner.engine.links["a"], TcpNet.dial, []

        async def dial(self: TcpNet, address: str) -> trio.SocketStream:
            if not failed:
                failed.append(address)
                raise OSError("no way there")
            return await real(self, address)

        monkeypatch.setattr(TcpNet, "dial", dial)
        link.used_at = link.heard_at = link.opened_at = (
            rig.net.now() - 300_000
        )  # closed as idle before it is used
        await owner.say(end(1))
        await until(lambda: any(line["op"] == "end" for line in rig.machines["a"].heard))
        assert failed and rig.planner.counts["dials_failed"] == 1

    on_sockets(test, machines="a", settings=settings(limits={"idle-close": 300.0}, balancers=20))


def test_an_unsent_end_of_a_placed_guest_is_sent_on_another_connection() -> None:
    async def test(rig: SocketRig) -> None:
        first, second = await rig.owner(), await rig.owner()
        await second.say(BinaryMessage(TEST, name(9), {17: b"\0"}))
        await first.say(set_up(1))
        await until(lambda: first.of(1) == PLACED and second.heard)
        peer = rig.planner.owner_server.peers["c1"]
        peer.stream = tap = Tap(peer.stream)
        tap.stopped = True
        await rig.machines["a"].end(name(1), 16)
        await until(lambda: peer.sending)
        reset(first.stream)
        await until(lambda: second.of(1))
        assert second.of(1) == [(END, 16)] and not peer.releases

    on_sockets(test, machines="a")
