"""The platform's machines: silence, deaths, late and second answers, the bytes of offers."""

import json
from itertools import pairwise

import pytest
import trio

from hazelhold.platform.codec import END, LineReader
from hazelhold.platform.peer import MachinePeer
from hazelhold.protocol import messages as m
from tests.platform_rig import DEPLOYMENT, PLACED, Machine, Rig, event, host, play, set_up

# Machines: endings, silence, lives.


def test_a_silent_machine_does_not_hold_back_others_and_what_stood_there_is_told_in_time() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(*(set_up(guest) for guest in range(1, 9)))
        await trio.sleep(0.5)
        there = [guest for guest in range(1, 9) if rig.offers(guest) == ["a"]]
        assert there
        rig.machines["a"].silent = True  # its connection stays open and silent, new ones never come up
        rig.net.doors["a:1"] = (never, rig.nursery)
        silent_at = trio.current_time()
        await owner.say(*(set_up(guest) for guest in range(11, 31)))
        await trio.sleep(7.9 - (trio.current_time() - silent_at))
        for guest in there:
            assert owner.of(guest) == [*PLACED, (END, 41)], guest
        for guest in range(11, 31):
            assert len(owner.of(guest)) == 1, guest
        late = set_up(40)
        await owner.say(late)
        await trio.sleep(0.3)
        assert owner.of(40) == PLACED and rig.offers(40) == ["b"]

    play(test)


async def never(stream: trio.abc.Stream) -> None:
    await trio.sleep_forever()


def test_a_machine_whose_process_died_has_lost_what_stood_there() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(*(set_up(guest) for guest in range(1, 9)))
        await trio.sleep(0.5)
        there = [guest for guest in range(1, 9) if rig.offers(guest) == ["a"]]

        async def refuse(address: str) -> trio.abc.Stream:
            if address == "a:1":
                raise ConnectionRefusedError
            return await dial(address)

        dial, rig.planner.net.dial = rig.planner.net.dial, refuse
        await rig.machines["a"].streams[-1].aclose()
        await trio.sleep(0.9)
        assert there and all(owner.of(guest) == [*PLACED, (END, 41)] for guest in there)

    play(test)


async def close_idle(machine: Machine, idle: float) -> None:
    """Closes the connections to a machine on which nothing was said for `idle` seconds, as machines do, for
    as long as it `closes`."""
    opened: dict[trio.abc.Stream, float] = {}
    while machine.closes:
        now = trio.current_time()
        for stream in machine.streams:
            opened.setdefault(stream, now)
        last = max((line["at"] for line in machine.heard), default=0.0)
        for stream, at in list(opened.items()):
            if now - max(at, last) >= idle:
                await stream.aclose()
        await trio.sleep(0.05)


MANY = DEPLOYMENT | {"balancers": 16}  # planners, of which none asks all machines each second


def test_a_machine_that_closes_idle_connections_is_not_probed_for_each() -> None:
    """A probe has its price. Each planner asked each machine that had tasks of its after each such close."""

    async def test(rig: Rig) -> None:
        owner, machine = await rig.owner(), rig.machines["a"]
        rig.nursery.start_soon(close_idle, machine, 0.5)
        await owner.say(set_up(1))
        await trio.sleep(20.0)
        assert owner.of(1) == PLACED and len(machine.streams) >= 30  # it was dialled again each time
        probes = [line["at"] for line in machine.heard if line["op"] == "test"]
        spans = [later - earlier for earlier, later in pairwise(probes)]
        assert 4 <= len(probes) <= 6 and all(3.5 <= span <= 4.5 for span in spans)
        machine.owed.append(f"{1:016x}")  # told on the next connection
        await trio.sleep(1.0)
        assert owner.of(1) == [*PLACED, (END, 16)]

    play(test, machines="a", settings=MANY)


def test_a_machine_that_dies_after_an_idle_close_has_lost_what_stood_there() -> None:
    async def test(rig: Rig) -> None:
        owner, machine = await rig.owner(), rig.machines["a"]
        rig.nursery.start_soon(close_idle, machine, 0.5)
        await owner.say(set_up(1))
        await trio.sleep(2.5)
        assert owner.of(1) == PLACED

        async def refuse(address: str) -> trio.abc.Stream:
            if address == "a:1":
                raise ConnectionRefusedError
            return await dial(address)

        dial, rig.planner.net.dial = rig.planner.net.dial, refuse
        await trio.sleep(1.5)
        assert owner.of(1) == [*PLACED, (END, 41)]

    play(test, machines="a", settings=MANY)


@pytest.mark.parametrize("then", ["takes none", "stays open", "closes on"])
def test_a_machine_that_falls_silent_after_an_idle_close_is_found_out(then: str) -> None:
    """It takes no connection after the next close, or says nothing on those that it takes."""

    async def test(rig: Rig) -> None:
        owner, machine = await rig.owner(), rig.machines["a"]
        rig.nursery.start_soon(close_idle, machine, 0.5)
        await owner.say(set_up(1))
        await trio.sleep(2.5)
        assert owner.of(1) == PLACED
        opened = len(machine.streams)
        while len(machine.streams) == opened:  # an idle close, and the connection after it
            await trio.sleep(0.01)
        machine.silent, machine.closes = True, then == "closes on"
        if then == "takes none":
            rig.net.doors["a:1"] = (never, rig.nursery)
            await machine.streams[-1].aclose()
        await trio.sleep(7.9)
        assert owner.of(1) == [*PLACED, (END, 41)]

    play(test, machines="a", settings=MANY)


def test_a_connection_that_breaks_ends_its_open_set_ups_and_not_what_stands() -> None:
    async def test(rig: Rig) -> None:
        machine = rig.machines["a"]
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.3)
        machine.accepts = False
        await owner.say(set_up(2, "once"), set_up(3))
        await trio.sleep(0.1)
        await machine.streams[-1].aclose()
        await trio.sleep(0.2)
        # The exclusive one may have run: failed, no other dispatch. The rerunnable one is offered again.
        assert owner.of(1) == PLACED and owner.of(2) == [(END, 41)]
        assert rig.offers(2) == ["a"] and owner.of(3) == []
        assert len(machine.streams) == 2
        await machine.end(f"{1:016x}", 16)  # on the new connection
        await trio.sleep(0.1)
        assert owner.of(1) == [*PLACED, (END, 16)]
        machine.accepts = True
        await trio.sleep(0.5)
        assert rig.offers(3) == ["a"]  # it may still speak of the first dispatch
        rig.bulletin.events.append(event(2, host("b")))
        await trio.sleep(1.0)
        assert owner.of(3) == PLACED and rig.offers(3) == ["a", "b"] and rig.offers(2) == ["a"]

    play(test, machines="ab", known={"no": 1, "items": [event(1, host("a"), whole=True)]})


def test_late_words_on_a_withdrawn_dispatch_are_not_heard_as_of_the_next() -> None:
    """What a machine says names the guest, not the dispatch: its refusal of the first, sent late, was taken
    for one of a second dispatch to it, which then stood beside a third."""

    async def test(rig: Rig) -> None:
        rig.planner.engine.scheduler.answers[0].append(100_000)  # answers were seen: a time-out comes in time
        slow, owner = rig.machines["a"], await rig.owner()
        slow.silent = True
        await owner.say(set_up(1))
        await trio.sleep(0.1)
        assert rig.offers(1) == ["a"]
        while not any(line["op"] == "end" for line in slow.heard):
            await trio.sleep(0.01)
        await slow.end(f"{1:016x}", 34, "wrong_host")
        await trio.sleep(0.02)
        await slow.accept(slow.streams[-1], f"{1:016x}")
        await trio.sleep(1.0)
        assert rig.offers(1) == ["a"] and owner.of(1) == []
        rig.bulletin.events.append(event(2, host("b")))
        await trio.sleep(1.0)
        assert rig.offers(1) == ["a", "b"] and owner.of(1) == PLACED

    play(test, machines="ab", known={"no": 1, "items": [event(1, host("a"), whole=True)]})


def test_spoilt_answers_are_never_passed_on_as_placed() -> None:
    spoilt = [
        b"\x00\x01noise\n",
        b'{"op":"accept","call":"%s"}\n',
        b'{"op":"accept","call":"%s","desc":7}\n',
        b"{" + b"x" * 20_000,
        b'{"op":"accept","call":"%s","desc":"ha',
    ]

    async def test(rig: Rig) -> None:
        machine = rig.machines["a"]
        machine.accepts = False
        owner = await rig.owner()
        for guest, answer in enumerate(spoilt, 1):
            await owner.say(set_up(guest, "once"))
            await trio.sleep(0.2)
            assert rig.offers(guest) == ["a"], guest
            call = f"{guest:016x}".encode()
            await machine.streams[-1].send_all(answer % call if b"%s" in answer else answer)
            if answer.endswith(b"ha"):
                await machine.streams[-1].aclose()
            await trio.sleep(9)  # the machine rests after a failure
            assert owner.of(guest) == [(END, 41)], guest
        assert (
            rig.planner.counts["machine_unreadable"]
            + rig.planner.counts["machine_too_long"]
            + (rig.planner.counts["machine_no_description"])
            == 4
        )

    play(test, machines="a")


def test_second_copies_and_unknown_answers_are_dropped_and_counted() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.3)
        machine = rig.machines["a"]
        await machine.accept(machine.streams[-1], f"{1:016x}")
        await machine.accept(machine.streams[-1], f"{99:016x}")
        await owner.say(set_up(2))
        await trio.sleep(0.3)
        assert owner.of(1) == owner.of(2) == PLACED and owner.of(99) == []
        assert rig.planner.engine.counts["stray_messages"] == 1

    play(test, machines="a")


def test_an_offer_that_waits_for_its_connection_does_not_leave_once_its_machine_drains() -> None:
    async def test(rig: Rig) -> None:
        await trio.sleep(0.1)
        gate = trio.Event()
        dial = rig.planner.net.dial

        async def slow(address: str) -> trio.abc.Stream:
            if address == "c:1":
                await gate.wait()
            return await dial(address)

        rig.planner.net.dial = slow
        rig.bulletin.events += [event(2, host("c"), host("a", "terminating"))]
        owner = await rig.owner()
        await trio.sleep(0.1)
        await owner.say(set_up(1))
        await trio.sleep(0.05)
        rig.bulletin.events += [event(3, host("c", "terminating"))]
        await trio.sleep(0.05)
        gate.set()
        await trio.sleep(3)
        assert rig.offers(1) == [] and owner.of(1) == [(END, 34)]

    play(test, machines="a")


def test_a_new_machine_at_the_address_of_one_that_has_gone_inherits_nothing() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(*(set_up(guest) for guest in (1, 2)))
        await trio.sleep(0.3)
        old = rig.machines["a"].streams[-1]
        rig.bulletin.events += [event(2, host("a", "terminated"), host("c", dial="a:1"))]
        await old.aclose()
        await trio.sleep(2.5)
        assert [owner.of(guest) for guest in (1, 2)] == [[*PLACED, (END, 41)]] * 2
        await owner.say(set_up(3))
        await trio.sleep(0.3)
        assert owner.of(3) == PLACED
        assert set(rig.planner.engine.links) == {"c"}

    play(test, machines="a")


def test_a_machine_s_new_life_ends_what_came_to_the_old_one() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(1)
        born = (rig.net.wall() - 300_000) / 1000
        rig.bulletin.events += [event(2, host("a", born=born))]
        await trio.sleep(0.2)
        assert owner.of(1) == [*PLACED, (END, 41)]
        started = rig.planner.engine.roster.fellows["a"].started
        rig.bulletin.events += [event(3, host("a", born=born))]
        await trio.sleep(2)
        assert rig.planner.engine.roster.fellows["a"].started == started

    play(test, machines="a")


# Times, bounds, and the bytes of offers.


def test_an_offer_tells_the_time_that_is_left_when_its_bytes_leave_or_stays() -> None:
    left = {"1": 2_000_000, "2": 0}
    peer = MachinePeer(trio.testing.memory_stream_pair()[0], 1 << 16, lambda offer: left[offer.guest])
    for guest in left:
        peer.send(m.Offer(guest=guest, product="plain", service="s", cores=1.0, memory=1.0))
    left["1"] = 1_250_000  # the socket was full meanwhile
    peer.send(m.Offer(guest="3", product="plain", service="s", cores=1.0, memory=1.0))
    left["3"] = 500_000
    (line,) = LineReader().feed(peer.leaving())
    assert (line.call, line.text("left")) == ("1", "1250")
    left["3"] = 0  # told to drain while the first was written: those behind it do not leave any more
    assert peer.leaving() == b"" and not peer.waits()
    peer.send(m.Offer(guest="1", product="plain", service="s", cores=1.0, memory=1.0))
    assert peer.taken_out(m.Withdraw(guest="2")) is None
    assert peer.taken_out(m.Withdraw(guest="1")).guest == "1"
    assert peer.leaving() == b""


def test_more_machines_than_descriptors_are_served_within_the_bound_and_no_end_is_missed() -> None:
    names = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMN"

    async def test(rig: Rig) -> None:
        owner, links, most = await rig.owner(), rig.planner.limits.links, 0
        assert links == 64 - 25 - 16
        for guest in range(1, 81):
            await owner.say(set_up(guest))
            await trio.sleep(0.02)
            most = max(most, len(rig.planner.links.by_machine))
        await trio.sleep(1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 81))
        assert most == links and rig.planner.engine.counts["links_closed_for_others"]
        stands = {name: [line["call"] for line in machine.offers()] for name, machine in rig.machines.items()}
        closed = [name for name in names if stands[name] and name not in rig.planner.links.by_machine]
        told = {call for name in closed for call in stands[name]}
        assert told
        for name in closed:
            rig.machines[name].owed = stands[name]
        await trio.sleep(7.5)
        ended = {binary.id for binary in owner.heard if binary.type == END}
        assert ended == told and all(p.cause == 16 for p in owner.heard if p.type == END)

    play(test, machines=names)


@pytest.mark.parametrize("first", range(8))
def test_a_reset_at_every_byte_of_a_batch_leaves_one_answer_each_and_no_second_run(first: int) -> None:
    """Three answers in one run of bytes, cut off at each place: what came whole counts; an exclusive guest
    whose answer did not is broken off and sent nowhere else, rerunnable ones go to another machine."""
    said = [{"op": "accept", "call": f"{n:016x}", "with": {}, "desc": f"a has {n}"} for n in (1, 2, 3)]
    lines = [json.dumps(line).encode() + b"\n" for line in said]
    batch = b"".join(lines)
    whole = [len(lines[0]), len(lines[0] + lines[1]), len(batch)]

    for cut in range(first, len(batch) + 1, 8):

        async def test(rig: Rig, cut: int = cut) -> None:
            machine, owner = rig.machines["a"], await rig.owner()
            machine.accepts = False
            await owner.say(set_up(1), set_up(2, "once"), set_up(3))
            await trio.sleep(0.2)
            assert [rig.offers(guest) for guest in (1, 2, 3)] == [["a"]] * 3
            if cut:
                await machine.streams[-1].send_all(batch[:cut])
            await machine.streams[-1].aclose()
            rig.bulletin.events.append(event(2, host("b")))
            await trio.sleep(4)
            for at, guest in enumerate((1, 2, 3)):
                came = cut >= whole[at]
                assert owner.of(guest) == (PLACED if came or guest != 2 else [(END, 41)]), (cut, guest)
                assert rig.offers(guest) == (["a"] if came or guest == 2 else ["a", "b"]), (cut, guest)

        play(test, machines="ab", known={"no": 1, "items": [event(1, host("a"), whole=True)]})
