"""What crosses at the wrong instant, forced on loopback sockets by gates that hold a byte or a step back."""

import socket
import struct
import time
from copy import deepcopy
from pathlib import Path

import pytest
import trio

from hazelhold.platform import planner as planners
from hazelhold.platform.codec import ANSWER, END, TEST, BinaryMessage, encode_binary
from hazelhold.platform.peer import MachinePeer
from hazelhold.protocol import messages as m
from hazelhold.service.net import TcpNet
from tests.platform_rig import (
    DEPLOYMENT,
    Bulletin,
    Owner,
    Rig,
    SocketRig,
    end,
    event,
    file,
    host,
    on_sockets,
    play,
    set_up,
    until,
)

PLACED = [(ANSWER, None)]


def name(guest: int) -> str:
    return f"{guest:016x}"


def settings(**changes: object) -> dict:
    """The rig's settings, with some of their parts changed."""
    made = deepcopy(DEPLOYMENT)
    for key, value in changes.items():
        if isinstance(value, dict):
            made[key] = made[key] | value
        else:
            made[key] = value
    return made


def reset(stream: trio.SocketStream) -> None:
    """Closes with a reset, whatever is unread."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


class Tap:
    """A stream whose writes can be stopped, as those into a full socket are."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.open, self.stopped = stream, trio.Event(), False
        self.half = 0  # bytes of the next write that still go

    def __getattr__(self, attribute: str) -> object:
        return getattr(self.stream, attribute)

    async def send_all(self, data: bytes) -> None:
        if self.stopped:
            await self.stream.send_all(data[: self.half])
            await self.open.wait()
            data = data[self.half :]
        await self.stream.send_all(data)


# A client that has gone.


@pytest.mark.parametrize("way", ["close", "reset", "half"])
def test_an_owner_that_goes_with_answers_unread_is_gone_at_once(way: str) -> None:
    """What was still to be written to it held its set-ups open for a second, and they were dispatched."""

    async def test(rig: SocketRig) -> None:
        rig.machines["a"].accepts = False
        owner = await rig.owner()
        await owner.say(BinaryMessage(TEST, name(9), {17: b"\0"}))
        await until(lambda: owner.heard)
        (peer,) = rig.planner.door.peers.values()
        peer.stream = tap = Tap(peer.stream)
        tap.stopped = True
        await owner.say(set_up(1), BinaryMessage(TEST, name(8), {17: b"\0"}))
        await until(lambda: rig.offers(1) and peer.sending)
        if way == "reset":
            reset(owner.stream)
        elif way == "half":
            await owner.stream.send_eof()
        else:
            await owner.stream.aclose()
        await until(lambda: not rig.planner.engine.out(name(1)))
        assert peer.sending and peer.name in rig.planner.door.peers  # the answer is still on its way out
        await until(
            lambda: (
                [line["op"] for line in rig.machines["a"].heard if line["op"] != "test"] == ["offer", "end"]
            )
        )

    on_sockets(test, machines="a")


@pytest.mark.parametrize("rest", [b"", encode_binary(end(1)), encode_binary(end(1)) * 2])
def test_an_end_before_its_set_up_or_in_one_read_with_it_lets_nothing_begin(rest: bytes) -> None:
    async def test(rig: SocketRig) -> None:
        owner, other = await rig.owner(), await rig.owner()
        if rest:
            await owner.stream.send_all(encode_binary(set_up(1)) + rest)
        else:
            await other.say(end(1))  # it overtook its set-up, which comes on another connection
            await until(lambda: rig.planner.door.early)
            await owner.say(set_up(1))
            await until(lambda: owner.of(1))
            assert owner.of(1) == [(END, 34)]
        await owner.say(set_up(2))
        await until(lambda: owner.of(2) == PLACED)
        assert not rig.offers(1) and not rig.planner.engine.out(name(1))

    on_sockets(test)


def test_what_an_owner_ended_before_it_was_handed_over_is_stopped_at_its_machine() -> None:
    async def test(rig: SocketRig) -> None:
        owner, other = await rig.owner(), await rig.owner()
        await other.say(end(1))
        await until(lambda: rig.planner.door.early)
        await owner.say(set_up(1, figures=f"cores:1;memory:2;service:{1:016x};at:a"))
        await until(lambda: any(line["op"] == "end" for line in rig.machines["a"].heard))
        assert not rig.planner.engine.stands(name(1)) and not owner.of(1)

    on_sockets(test)


def test_half_an_offer_in_a_full_socket_does_not_follow_once_its_owner_has_gone() -> None:
    """Its rest left when the socket took bytes again, however late, and the machine had it whole."""

    async def test(rig: SocketRig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await until(lambda: owner.of(1) == PLACED)
        peer = rig.planner.links.by_machine["a"][1]
        peer.stream = tap = Tap(peer.stream)
        tap.stopped, tap.half = True, 40
        await owner.say(set_up(2))
        await until(lambda: peer.offered == name(2))
        await owner.say(end(2))
        await until(lambda: rig.planner.links.by_machine.get("a", (None, None))[1] is not peer)
        tap.open.set()
        await owner.say(set_up(3))
        await until(lambda: owner.of(3) == PLACED)
        assert not rig.offers(2) and owner.of(1) == PLACED  # what stands outlives the connection
        assert rig.planner.engine.counts["links_silent"] == 0  # it was not left for its silence, later

    on_sockets(test, machines="a")


def test_a_planner_that_is_behind_with_placing_hears_of_a_close_after_a_decision_or_two() -> None:
    """Eight decisions went into each turn, whatever they took."""

    async def test(rig: SocketRig) -> None:
        rig.machines["a"].accepts = rig.machines["b"].accepts = False
        engine, owner = rig.planner.engine, await rig.owner()
        real, begun = engine.brain.decide, []

        def slow(now: int) -> object:
            time.sleep(0.03)
            if engine.counts["dispatches"] == 17:  # the first decision of a turn, if eight go into one
                begun.append(engine.counts["dispatches"])
                reset(owner.stream)
            return real(now)

        engine.brain.decide = slow
        await owner.say(*(set_up(guest) for guest in range(1, 41)))
        await until(lambda: begun and not engine.cases)
        assert engine.counts["dispatches"] <= begun[0] + 2

    on_sockets(test)


def test_a_ticket_s_window_is_kept_by_the_bytes_and_not_by_the_decision() -> None:
    """A repeat was decided within it, waited in a full socket, and left after it."""
    family = {
        key: [*value, value[-1]]
        for key, value in DEPLOYMENT["family-info"].items()
        if isinstance(value, list) and key not in ("mem-of-kind", "size-cores")
    }
    classes = [
        *DEPLOYMENT["classes"],
        DEPLOYMENT["classes"][0]
        | {"name": "mark", "idempotency": "dedup", "group": "all", "dedup-window": 200.0},
    ]

    async def test(rig: SocketRig) -> None:
        for machine in rig.machines.values():
            machine.accepts = False
        owner, engine = await rig.owner(), rig.planner.engine
        await until(
            lambda: all(rig.planner.links.by_machine.get(each, (0, 0))[1] for each in "ab")
        )  # all are probed
        await owner.say(set_up(1, "mark"))
        await until(lambda: rig.offers(1))
        (first,) = rig.offers(1)
        peer = rig.planner.links.by_machine["ab".replace(first, "")][1]
        peer.stream = tap = Tap(peer.stream)
        tap.stopped = True
        peer.send(m.Probe(number=5))
        await until(lambda: peer.sending)
        await rig.machines[first].end(name(1), 47)  # it may have run there
        await until(lambda: any(isinstance(each, m.Offer) for each in peer.messages))
        case = engine.newest[name(1)]
        await until(lambda: rig.net.now() - case.ran_from >= 200_000)
        tap.stopped = False
        tap.open.set()
        await until(lambda: owner.of(1))
        assert owner.of(1) in ([(END, 34)], [(END, 41)]) and rig.offers(1) == [first]

    on_sockets(test, settings=settings(classes=classes, **{"family-info": family}))


# Never two out.


async def one_out(rig: SocketRig) -> tuple[Owner, Tap, MachinePeer, MachinePeer]:
    """A guest that one machine was offered and says nothing of: its tap, its connection, the other one."""
    for machine in rig.machines.values():
        machine.accepts = False
    owner = await rig.owner()
    await until(
        lambda: all(rig.planner.links.by_machine.get(each, (0, 0))[1] for each in "ab")
    )  # all are probed
    rig.planner.engine.brain.answers[0].extend([10_000] * 10)  # answers come soon: none is waited for long
    await owner.say(set_up(1))
    await until(lambda: rig.offers(1))
    (first,) = rig.offers(1)
    one, other = (rig.planner.links.by_machine[each][1] for each in (first, "ab".replace(first, "")))
    one.stream = Tap(one.stream)
    return owner, one.stream, one, other


@pytest.mark.parametrize("before", [True, False])
def test_no_second_offer_leaves_before_the_first_is_taken_back(before: bool) -> None:
    """Seen on the bench as a second copy of a ticketed guest: the taking back waited in a full socket, the
    next offer did not. `before`: other bytes filled it already."""

    async def test(rig: SocketRig) -> None:
        _, tap, one, other = await one_out(rig)
        tap.stopped = True
        if before:
            one.send(m.Probe(number=5))
        await until(lambda: len([each for each in "ab" if each in rig.offers(1)]) == 2)
        assert one.stream.socket.fileno() < 0 and rig.planner.counts["offers_behind"] == 1
        assert not rig.planner.links.fences and not other.aside

    on_sockets(test)


@pytest.mark.parametrize("way", ["hung up", "ending"])
def test_no_second_offer_leaves_before_a_connection_that_was_given_up_is_closed(way: str) -> None:
    """`ending`: the machine closes it, and before that is done here the dispatch's time is up."""

    async def test(rig: SocketRig) -> None:
        _, tap, one, other = await one_out(rig)
        order: list[str] = []

        async def aclose() -> None:
            if way == "ending":
                engine.pump(engine.newest[name(1)].due_at + 1)
                rig.planner._carry_out()
            await until(lambda: other.aside or order)
            order.append("closed")
            await tap.stream.aclose()

        async def send_all(data: bytes) -> None:
            order.extend(["offered"] * (b"offer" in data))
            await second.stream.send_all(data)

        other.stream = second = Tap(other.stream)
        tap.aclose, second.send_all = aclose, send_all
        engine, (first,) = rig.planner.engine, rig.offers(1)
        if way == "ending":
            await rig.machines[first].streams[-1].aclose()
        else:
            engine._abandon(rig.net.now(), engine.links[first])
            rig.planner._carry_out()
            rig.planner.ticker.stir()
        await until(lambda: "offered" in order and "closed" in order)
        assert order[:2] == ["closed", "offered"] and not rig.planner.links.fences

    on_sockets(test)


# Connections at the wrong instant.


def test_a_dial_that_comes_up_as_it_is_hung_up_takes_no_other_connection_s_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The old dial put its stream in place of the new one: the machine looked up, and nothing reached it."""

    async def test(rig: SocketRig) -> None:
        held = trio.Event()
        real, dialled, watched = TcpNet.dial, [], rig.planner.engine.roster.fellows["a"].address

        async def dial(self: TcpNet, address: str) -> trio.SocketStream:
            dialled.extend([address] * (address == watched))
            if address != watched or len(dialled) > 1:
                return await real(self, address)
            with trio.CancelScope(shield=True), trio.move_on_after(5):  # it comes up in the turn of its end
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
    """A stream whose next write fails; what was said before is read only after that."""

    def __init__(self, stream: trio.SocketStream) -> None:
        super().__init__(stream)
        self.broke = trio.Event()

    async def send_all(self, data: bytes) -> None:
        self.broke.set()
        raise trio.BrokenResourceError

    async def receive_some(self, most: int) -> bytes:
        await self.broke.wait()
        return await self.stream.receive_some(most)


@pytest.mark.parametrize("said", [{"op": "accept", "desc": "mine\r\n"}, {"op": "end", "why": 34}])
def test_an_answer_that_lies_unread_as_a_write_breaks_is_still_heard(said: dict) -> None:
    """A write that failed closed the connection over what its machine had said before."""

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


def test_a_connection_about_to_be_closed_as_idle_is_left_before_an_offer_and_an_end_go_out() -> None:
    """Idle ones were looked for twice a second: with a short idle time the machine closed first, just as an
    offer was written, and what may have run of it was broken off."""

    async def test(rig: SocketRig) -> None:
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
        to_next_look: list[int] = []

        def closed() -> bool:
            to_next_look.append(rig.planner.engine.idle_at - rig.net.now())
            return link.state == "down"

        await until(closed)  # unused, it is closed by a look that comes before the machine would close it
        assert limit + max(to_next_look) < 300_000

    # No probes: an answer to one that comes after the times above are set makes the connection fresh again.
    limits = {"idle-close": 300.0, "probing": False}
    on_sockets(test, machines="a", settings=settings(limits=limits))


def test_a_quiet_connection_to_a_machine_that_left_the_list_still_takes_the_end_of_what_stands() -> None:
    async def test(rig: SocketRig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await until(lambda: owner.of(1) == PLACED)
        link = rig.planner.engine.links["a"]
        rig.bulletin.events += [event(2, host("a", "terminated"))]
        await until(lambda: not rig.planner.engine.roster.fellows)
        rig.planner.engine.idle_at = rig.net.now() + 60_000_000  # no look closes it before the end is read
        link.used_at = link.heard_at = link.opened_at = rig.net.now() - 300_000
        await owner.say(end(1))
        await until(lambda: any(line["op"] == "end" for line in rig.machines["a"].heard))
        assert len(rig.machines["a"].streams) == 1

    on_sockets(test, machines="a", settings=settings(limits={"idle-close": 300.0}))


def test_an_end_written_as_its_connection_breaks_is_told_to_the_machine_once_more() -> None:
    """The machine never read it and kept the guest for good."""

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


def test_an_end_whose_dial_fails_is_told_when_the_machine_can_be_reached_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It waited for whoever dialled that machine next, and nobody may."""

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
        link.used_at = link.heard_at = link.opened_at = rig.net.now() - 300_000  # left before it is used
        await owner.say(end(1))
        await until(lambda: any(line["op"] == "end" for line in rig.machines["a"].heard))
        assert failed and rig.planner.counts["dials_failed"] == 1

    on_sockets(test, machines="a", settings=settings(limits={"idle-close": 300.0}, balancers=20))


def test_an_end_of_what_stood_that_did_not_leave_is_told_on_another_connection() -> None:
    async def test(rig: SocketRig) -> None:
        first, second = await rig.owner(), await rig.owner()
        await second.say(BinaryMessage(TEST, name(9), {17: b"\0"}))
        await first.say(set_up(1))
        await until(lambda: first.of(1) == PLACED and second.heard)
        peer = rig.planner.door.peers["c1"]
        peer.stream = tap = Tap(peer.stream)
        tap.stopped = True
        await rig.machines["a"].end(name(1), 16)
        await until(lambda: peer.sending)
        reset(first.stream)
        await until(lambda: second.of(1))
        assert second.of(1) == [(END, 16)] and not peer.releases

    on_sockets(test, machines="a")


# The end of a planner.


def test_an_answer_that_crosses_the_taking_back_at_a_stop_is_not_told_as_standing() -> None:
    """The machine ends what it took when it is taken back, and says so with a cause that owners are not told:
    the owner was left with a guest that ran nowhere."""

    async def test(rig: SocketRig) -> None:
        machine = rig.machines["a"]
        machine.accepts = False
        owner = await rig.owner()
        await owner.say(set_up(1), set_up(2, "once"))
        await until(lambda: rig.offers(1) and rig.offers(2))
        rig.planner.engine.stop(rig.net.now())  # as the stop does at its first moment
        rig.planner._carry_out()
        await until(lambda: sum(line["op"] == "end" for line in machine.heard) == 2)
        for guest in (1, 2):  # both answers were on their way
            await machine.accept(machine.streams[-1], name(guest))
        rig.planner.ticker.stir()
        await until(lambda: owner.of(1) and owner.of(2))
        assert owner.of(1) == [(END, 34)] and owner.of(2) == [(END, 41)]

    on_sockets(test, machines="a")


@pytest.mark.parametrize("patience", [150.0, 600.0, 3000.0])
def test_a_stop_with_short_patience_serves_all_that_may_still_come(patience: float) -> None:
    """Its moments were counted back from SIGKILL alone: with patience under a second it had left before the
    last set-ups came."""
    moments: list[float] = []

    async def test(rig: SocketRig) -> None:
        begun = trio.current_time()

        async def note(at: float) -> None:
            moments.append(at - begun)

        with pytest.MonkeyPatch.context() as patched:
            patched.setattr(planners.trio, "sleep_until", note)
            await rig.planner._stop()
        kill = 0.7 + min(3.0, patience / 1000)
        assert all(0.7 < at < kill for at in moments) and moments == sorted(moments) and len(moments) == 3

    classes = [each | {"deadline": patience} for each in DEPLOYMENT["classes"]]
    on_sockets(test, machines="a", settings=settings(classes=classes))


def test_an_answer_half_written_at_the_end_is_owed_its_rest() -> None:
    async def test(rig: SocketRig) -> None:
        owner = await rig.owner()
        await owner.say(BinaryMessage(TEST, name(9), {17: b"\0"}))
        await until(lambda: owner.heard)
        (peer,) = rig.planner.door.peers.values()
        peer.stream = tap = Tap(peer.stream)
        tap.stopped, tap.half = True, 7
        await owner.say(set_up(1, left="800"))
        await until(lambda: peer.sending)
        rig.planner.stop()
        looks, real = [], peer.unsent
        peer.unsent = lambda: looks.append(1) or real()
        await until(lambda: len(looks) > 2 or rig.planner.ended.is_set())
        assert not rig.planner.ended.is_set() and not owner.of(1)
        tap.open.set()
        await rig.planner.ended.wait()
        await until(lambda: owner.closed_at)
        assert owner.of(1) == PLACED

    classes = [each | {"deadline": 900.0} for each in DEPLOYMENT["classes"]]
    on_sockets(test, machines="a", settings=settings(classes=classes))


# New configurations.


def test_a_file_half_written_at_its_signal_is_taken_once_it_is_whole(tmp_path: Path) -> None:
    """It was refused once, and the planner went on with a bulletin that had closed."""

    async def test(rig: SocketRig) -> None:
        rig.planner.config = path = tmp_path / "config.json"
        moved = Bulletin()
        at = await rig.net.listen("127.0.0.1:0", moved.door, rig.nursery)
        text = file(listen="127.0.0.1:0", bulletin=at, settings=settings(balancers=20, **{"slot-no": 17}))
        path.write_text(text[: len(text) // 2])
        rig.planner.reload()
        rig.planner.reload()  # twice at once
        assert rig.planner.counts["reloads_refused"] == 2 and not moved.asked
        path.write_text(text)
        await until(lambda: moved.asked)
        assert rig.planner.counts["reloads"] == 1 and rig.planner.counts["reloads_refused"] == 2
        known = rig.planner.engine.brain.deployment  # among how many the budgets are shared
        assert (known.planners, known.slot) == (20, 17) and rig.planner.engine.facts is known

    on_sockets(test, machines="a")


def test_an_address_that_is_none_in_an_event_or_the_file_ends_nothing() -> None:
    async def test(rig: SocketRig) -> None:
        rig.bulletin.events += [
            event(2, host("c", dial="x" * 80 + ":1"), host("d", dial="nowhere")),
            event(3, host("e", dial="127.0.0.1:0")),
        ]
        await until(lambda: "e" in rig.planner.engine.roster.fellows)
        owner = await rig.owner()
        await owner.say(set_up(1, figures=f"cores:1;memory:2;service:{1:016x};at:c"))
        await until(lambda: rig.planner.counts["dials_failed"])
        rig.planner.follower.move("x" * 80 + ":1")
        await until(lambda: rig.planner.counts["discovery_failures"])
        await owner.say(set_up(2))
        await until(lambda: owner.of(2) == PLACED)

    on_sockets(test, machines="a")


# Descriptors.


def test_an_owner_behind_hundreds_of_silent_connections_is_heard_within_some_turns() -> None:
    """One connection was accepted in each turn of the loop: a loaded planner took as many turns as there were
    silent ones before it."""

    async def test(rig: SocketRig) -> None:
        turns, real = [], rig.planner.engine.pump

        def pump(now: int) -> None:
            turns.append(now)
            real(now)
            rig.planner.ticker.stir()  # always something to do, once in a turn

        busy = await rig.owner()
        await busy.say(set_up(1))
        await until(lambda: busy.of(1) == PLACED)
        where = rig.planner.address.split(":")
        silent = [socket.create_connection((where[0], int(where[1]))) for _ in range(600)]  # in one turn
        late = Owner(
            trio.SocketStream(
                trio.socket.from_stdlib_socket(socket.create_connection((where[0], int(where[1]))))
            ),
            rig.nursery,
        )
        rig.planner.ticker.pause = 0.0
        rig.planner.engine.pump = pump
        rig.planner.ticker.stir()
        await late.say(set_up(2))
        await until(lambda: late.of(2))
        assert late.of(2) == PLACED and len(turns) < 250 and rig.planner.limits.connections < 300
        for each in silent:
            each.close()

    on_sockets(test)


def test_idle_owners_that_read_nothing_hold_no_descriptor_past_their_turn() -> None:
    """One that was turned out kept its descriptor while bytes waited, beside the one that took its place."""

    async def test(rig: SocketRig) -> None:
        limit = rig.planner.limits.connections
        rude = [await rig.owner() for _ in range(limit)]
        for owner in rude:
            await owner.say(BinaryMessage(TEST, name(9), {17: b"\0"}))
        await until(lambda: all(owner.heard for owner in rude))
        taps = []
        for peer in rig.planner.door.peers.values():
            peer.stream = tap = Tap(peer.stream)
            tap.stopped = True
            taps.append(tap)
        old = list(rig.planner.door.peers.values())
        for owner in rude:
            await owner.say(BinaryMessage(TEST, name(8), {17: b"\0"}))
        await until(lambda: all(peer.sending for peer in old))
        for peer in old:
            peer.sending_from -= 1
        for guest in range(1, 6):
            real = await rig.owner()
            await real.say(set_up(guest))
            await until(lambda real=real, guest=guest: real.of(guest) == PLACED)
        assert sum(peer.closing and peer.stream.socket.fileno() < 0 for peer in old) == 5

    on_sockets(test, machines="a")


def test_new_connections_do_not_close_each_other_before_their_requests_are_there() -> None:
    """Seen on a crowd's day: the door was full of connections that had asked once and stayed, and of those
    that came together each closed the one before, within the millisecond, as one that had said nothing."""

    async def test(rig: Rig) -> None:
        most = rig.planner.limits.connections
        idle = [await rig.owner() for _ in range(most)]
        for owner in idle:
            await owner.say(BinaryMessage(TEST, "00000000000000aa", {17: b"\0"}))
        await trio.sleep(0.6)
        assert len(rig.planner.door.peers) == most
        clients = [await rig.owner() for _ in range(6)]
        await trio.sleep(0.005)  # a request is some milliseconds behind the connection that it comes on
        for at, client in enumerate(clients):
            await client.say(set_up(at + 1))
        await trio.sleep(0.5)
        assert [client.of(at + 1) for at, client in enumerate(clients)] == [PLACED] * len(clients)
        assert len(rig.planner.door.peers) <= most

    play(test)
