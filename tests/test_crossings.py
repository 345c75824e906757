"""Race conditions, forced on loopback sockets by gates that hold back a byte or a step.

Covered are clients that disconnect, and offers of which never two may be outstanding.
"""

import time

import pytest

from hazelhold.platform.codec import END, TEST, BinaryMessage, encode_binary
from hazelhold.platform.peer import MachinePeer
from hazelhold.protocol import messages as m
from tests.crossings_rig import PLACED, Tap, name, reset, settings
from tests.platform_rig import DEPLOYMENT, Owner, SocketRig, end, on_sockets, set_up, until

# Clients that have disconnected.


@pytest.mark.parametrize("way", ["close", "reset", "half"])
def test_an_owner_that_disconnects_with_unread_answers_is_gone_at_once(way: str) -> None:
    """Unsent answers kept its guests open for a second, and they were dispatched."""

    async def test(rig: SocketRig) -> None:
        rig.machines["a"].accepts = False
        owner = await rig.owner()
        await owner.say(BinaryMessage(TEST, name(9), {17: b"\0"}))
        await until(lambda: owner.heard)
        (peer,) = rig.planner.owner_server.peers.values()
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
        await until(lambda: not rig.planner.engine.is_outstanding(name(1)))
        assert (
            peer.sending and peer.name in rig.planner.owner_server.peers
        )  # the answer is still on its way out
        await until(
            lambda: (
                [line["op"] for line in rig.machines["a"].heard if line["op"] != "test"] == ["offer", "end"]
            )
        )

    on_sockets(test, machines="a")


@pytest.mark.parametrize("rest", [b"", encode_binary(end(1)), encode_binary(end(1)) * 2])
def test_an_end_before_its_submission_or_in_one_read_with_it_starts_nothing(rest: bytes) -> None:
    async def test(rig: SocketRig) -> None:
        owner, other = await rig.owner(), await rig.owner()
        if rest:
            await owner.stream.send_all(encode_binary(set_up(1)) + rest)
        else:
            await other.say(end(1))  # it overtook its submission, which comes on another connection
            await until(lambda: rig.planner.owner_server.early_ends)
            await owner.say(set_up(1))
            await until(lambda: owner.of(1))
            assert owner.of(1) == [(END, 34)]
        await owner.say(set_up(2))
        await until(lambda: owner.of(2) == PLACED)
        assert not rig.offers(1) and not rig.planner.engine.is_outstanding(name(1))

    on_sockets(test)


def test_a_guest_that_its_owner_ended_before_its_handover_is_stopped_at_its_machine() -> None:
    async def test(rig: SocketRig) -> None:
        owner, other = await rig.owner(), await rig.owner()
        await other.say(end(1))
        await until(lambda: rig.planner.owner_server.early_ends)
        await owner.say(set_up(1, figures=f"cores:1;memory:2;service:{1:016x};at:a"))
        await until(lambda: any(line["op"] == "end" for line in rig.machines["a"].heard))
        assert not rig.planner.engine.is_placed(name(1)) and not owner.of(1)

    on_sockets(test)


def test_the_rest_of_an_offer_in_a_full_socket_is_not_sent_once_its_owner_has_gone() -> None:
    """The rest was sent when the socket accepted bytes again, however late, and the machine got the whole
    offer."""

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
        assert not rig.offers(2) and owner.of(1) == PLACED  # a placed guest outlives the connection
        assert rig.planner.engine.counts["links_silent"] == 0  # it was not closed for its silence, later

    on_sockets(test, machines="a")


def test_a_planner_that_is_behind_with_placing_reads_a_close_after_a_decision_or_two() -> None:
    """Each iteration made eight decisions, however long they took."""

    async def test(rig: SocketRig) -> None:
        rig.machines["a"].accepts = rig.machines["b"].accepts = False
        engine, owner = rig.planner.engine, await rig.owner()
        real, begun = engine.scheduler.decide, []

        def slow(now: int) -> object:
            time.sleep(0.03)
            if engine.counts["dispatches"] == 17:  # the first decision of an iteration, if eight go into one
                begun.append(engine.counts["dispatches"])
                reset(owner.stream)
            return real(now)

        engine.scheduler.decide = slow
        await owner.say(*(set_up(guest) for guest in range(1, 41)))
        await until(lambda: begun and not engine.records)
        assert engine.counts["dispatches"] <= begun[0] + 2

    on_sockets(test)


def test_a_deduplication_window_counts_for_the_bytes_and_not_for_the_decision() -> None:
    """A repeat was decided within the window, waited in a full socket, and was sent after it."""
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
        record = engine.newest_records[name(1)]
        await until(lambda: rig.net.now() - record.may_have_run_since >= 200_000)
        tap.stopped = False
        tap.open.set()
        await until(lambda: owner.of(1))
        assert owner.of(1) in ([(END, 34)], [(END, 41)]) and rig.offers(1) == [first]

    on_sockets(test, settings=settings(classes=classes, **{"family-info": family}))


# Never two outstanding dispatches.


async def one_outstanding(rig: SocketRig) -> tuple[Owner, Tap, MachinePeer, MachinePeer]:
    """A guest offered to one machine that does not answer: its owner, its tap, its connection, the other
    one."""
    for machine in rig.machines.values():
        machine.accepts = False
    owner = await rig.owner()
    await until(
        lambda: all(rig.planner.links.by_machine.get(each, (0, 0))[1] for each in "ab")
    )  # all are probed
    rig.planner.engine.scheduler.answers[0].extend([10_000] * 10)  # answers were fast: the timeouts are short
    await owner.say(set_up(1))
    await until(lambda: rig.offers(1))
    (first,) = rig.offers(1)
    one, other = (rig.planner.links.by_machine[each][1] for each in (first, "ab".replace(first, "")))
    one.stream = Tap(one.stream)
    return owner, one.stream, one, other


@pytest.mark.parametrize("before", [True, False])
def test_no_second_offer_is_sent_before_the_first_is_withdrawn(before: bool) -> None:
    """The withdrawal waited in a full socket, the next offer did not: on the bench this made a second copy of
    a deduplicated guest. `before`: other bytes filled the socket already."""

    async def test(rig: SocketRig) -> None:
        _, tap, one, other = await one_outstanding(rig)
        tap.stopped = True
        if before:
            one.send(m.Probe(number=5))
        await until(lambda: len([each for each in "ab" if each in rig.offers(1)]) == 2)
        assert one.stream.socket.fileno() < 0 and rig.planner.counts["offers_behind"] == 1
        assert not rig.planner.links.fences and not other.deferred

    on_sockets(test)


@pytest.mark.parametrize("way", ["hung up", "ending"])
def test_no_second_offer_is_sent_before_an_abandoned_connection_is_closed(way: str) -> None:
    """`ending`: the machine closes it, and the dispatch times out before the close is done here."""

    async def test(rig: SocketRig) -> None:
        _, tap, one, other = await one_outstanding(rig)
        order: list[str] = []

        async def aclose() -> None:
            if way == "ending":
                engine.pump(engine.newest_records[name(1)].due_at + 1)
                rig.planner._carry_out()
            await until(lambda: other.deferred or order)
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
            engine._drop_silent_link(rig.net.now(), engine.links[first])
            rig.planner._carry_out()
            rig.planner.ticker.notify()
        await until(lambda: "offered" in order and "closed" in order)
        assert order[:2] == ["closed", "offered"] and not rig.planner.links.fences

    on_sockets(test)
