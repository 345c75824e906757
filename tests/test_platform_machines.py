"""The platform's machines: silence, crashes, late and duplicate answers, encoding of offers."""

import json
from itertools import pairwise

import pytest
import trio

from hazelhold.platform.codec import END, LineReader
from hazelhold.platform.peer import MachinePeer
from hazelhold.protocol import messages as m
from tests.platform_rig import DEPLOYMENT, PLACED, Machine, Rig, event, host, play, set_up

# Crashes, silence and restarts.


def test_a_silent_machine_delays_no_others_and_the_loss_of_its_guests_is_sent_in_time() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(*(set_up(guest) for guest in range(1, 9)))
        await trio.sleep(0.5)
        there = [guest for guest in range(1, 9) if rig.offers(guest) == ["a"]]
        assert there
        rig.machines["a"].silent = True  # its connection stays open and silent, new ones never come up
        rig.net.listeners["a:1"] = (never, rig.nursery)
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


def test_a_machine_whose_process_crashed_has_lost_its_guests() -> None:
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
    """Closes a machine's connections that were idle for `idle` seconds, as machines do, while it `closes`."""
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


MANY = DEPLOYMENT | {"balancers": 16}  # with so many planners, none probes all machines every second


def test_a_machine_that_closes_idle_connections_is_not_probed_for_each() -> None:
    """Probes are expensive, and each planner probed each machine with its guests after each such close."""

    async def test(rig: Rig) -> None:
        owner, machine = await rig.owner(), rig.machines["a"]
        rig.nursery.start_soon(close_idle, machine, 0.5)
        await owner.say(set_up(1))
        await trio.sleep(20.0)
        assert owner.of(1) == PLACED and len(machine.streams) >= 30  # it was dialled again each time
        probes = [line["at"] for line in machine.heard if line["op"] == "test"]
        spans = [later - earlier for earlier, later in pairwise(probes)]
        assert 4 <= len(probes) <= 6 and all(3.5 <= span <= 4.5 for span in spans)
        machine.owed.append(f"{1:016x}")  # sent on the next connection
        await trio.sleep(1.0)
        assert owner.of(1) == [*PLACED, (END, 16)]

    play(test, machines="a", settings=MANY)


def test_a_machine_that_crashes_after_an_idle_close_has_lost_its_guests() -> None:
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
def test_a_machine_that_becomes_silent_after_an_idle_close_is_detected(then: str) -> None:
    """It accepts no connection after the next close, or sends nothing on those that it accepts."""

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
            rig.net.listeners["a:1"] = (never, rig.nursery)
            await machine.streams[-1].aclose()
        await trio.sleep(7.9)
        assert owner.of(1) == [*PLACED, (END, 41)]

    play(test, machines="a", settings=MANY)


def test_a_broken_connection_ends_open_dispatches_and_not_placed_guests() -> None:
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
        # The at-most-once guest may have run: it failed, without another dispatch. The idempotent one is
        # offered again.
        assert owner.of(1) == PLACED and owner.of(2) == [(END, 41)]
        assert rig.offers(2) == ["a"] and owner.of(3) == []
        assert len(machine.streams) == 2
        await machine.end(f"{1:016x}", 16)  # on the new connection
        await trio.sleep(0.1)
        assert owner.of(1) == [*PLACED, (END, 16)]
        machine.accepts = True
        await trio.sleep(0.5)
        assert rig.offers(3) == ["a"]  # it may still answer the first dispatch
        rig.bulletin.events.append(event(2, host("b")))
        await trio.sleep(1.0)
        assert owner.of(3) == PLACED and rig.offers(3) == ["a", "b"] and rig.offers(2) == ["a"]

    play(test, machines="ab", known={"no": 1, "items": [event(1, host("a"), whole=True)]})


def test_late_answers_to_a_withdrawn_dispatch_are_not_taken_for_the_next_ones() -> None:
    """Machines' messages name the guest, not the dispatch. A late refusal of the first dispatch was taken for
    one of the second to the same machine, which then ran beside a third."""

    async def test(rig: Rig) -> None:
        rig.planner.engine.scheduler.answers[0].append(100_000)  # a known answer time: the time-out is soon
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


def test_damaged_answers_are_never_reported_as_placed() -> None:
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
            await trio.sleep(9)  # the planner backs off from the machine after a failure
            assert owner.of(guest) == [(END, 41)], guest
        assert (
            rig.planner.counts["machine_unreadable"]
            + rig.planner.counts["machine_too_long"]
            + (rig.planner.counts["machine_no_description"])
            == 4
        )

    play(test, machines="a")


def test_duplicate_and_unknown_answers_are_dropped_and_counted() -> None:
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


def test_an_offer_that_waits_for_a_connection_is_not_sent_once_its_machine_drains() -> None:
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


def test_a_new_incarnation_of_a_machine_ends_the_guests_of_the_previous_one() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(1)
        born = (rig.net.wall() - 300_000) / 1000
        rig.planner.links.peer("a").reset = True  # as by each process that dies
        await rig.machines["a"].streams[-1].aclose()
        rig.bulletin.events += [event(2, host("a", born=born))]
        await trio.sleep(0.2)
        assert owner.of(1) == [*PLACED, (END, 41)]
        started = rig.planner.engine.roster.machines["a"].started
        rig.bulletin.events += [event(3, host("a", born=born))]
        await trio.sleep(2)
        assert rig.planner.engine.roster.machines["a"].started == started

    play(test, machines="a")


# Times, limits, and the encoding of offers.


def test_an_offer_carries_the_time_left_when_it_is_written_or_is_not_sent() -> None:
    left = {"1": 2_000_000, "2": 0}
    peer = MachinePeer(trio.testing.memory_stream_pair()[0], 1 << 16, lambda offer: left[offer.guest])
    for guest in left:
        peer.send(m.Offer(guest=guest, product="plain", service="s", cores=1.0, memory=1.0))
    left["1"] = 1_250_000  # the socket was full in between
    peer.send(m.Offer(guest="3", product="plain", service="s", cores=1.0, memory=1.0))
    left["3"] = 500_000
    (line,) = LineReader().feed(peer.leaving())
    assert (line.call, line.text("left")) == ("1", "1250")
    left["3"] = 0  # its machine began to drain while the first was written: those behind it are not sent
    assert peer.leaving() == b"" and not peer.waits()
    peer.send(m.Offer(guest="1", product="plain", service="s", cores=1.0, memory=1.0))
    assert peer.remove_unsent(m.Withdraw(guest="2")) is None
    assert peer.remove_unsent(m.Withdraw(guest="1")).guest == "1"
    assert peer.leaving() == b""


def test_more_machines_than_descriptors_are_served_within_the_limit_without_lost_ends() -> None:
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
def test_a_close_at_every_byte_of_a_batch_gives_one_answer_each_and_no_second_run(first: int) -> None:
    """Three answers in one chunk, truncated at each byte: complete answers count. An at-most-once guest whose
    answer is incomplete fails and is offered nowhere else; idempotent ones are offered to another machine."""
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
