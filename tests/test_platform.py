"""The planner on the platform, from what crosses the streams."""

import json
from functools import partial
from pathlib import Path
from random import Random

import pytest
import trio

from hazelhold.engine.cases import Dial
from hazelhold.interface import Place
from hazelhold.platform import discovery
from hazelhold.platform.codec import (
    ANSWER,
    DESCRIPTION,
    END,
    TEST,
    TESTED,
    BinaryMessage,
    LineReader,
    encode_binary,
)
from hazelhold.platform.peer import MachinePeer
from hazelhold.protocol import messages as m
from tests.platform_rig import (
    DEPLOYMENT,
    Bulletin,
    Machine,
    Owner,
    Rig,
    end,
    event,
    file,
    host,
    play,
    set_up,
    until,
)

PLACED = [(ANSWER, None)]


def test_a_guest_is_placed_and_its_end_told_with_descriptions_as_they_are() -> None:
    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(BinaryMessage(TEST, "00000000000000aa", {17: b"\0"}))
        await owner.say(set_up(1))
        await trio.sleep(0.5)
        assert owner.heard[0].type == TESTED and owner.heard[0].cause == 1
        assert owner.of(1) == PLACED
        (name,) = rig.offers(1)
        offer = rig.machines[name].offers()[0]
        assert offer["desc"] == "ask 1\r\n\u00fc" and offer["with"]["class"] == "plain"
        assert offer["with"]["key"] == f"{1:016x}" and 1900 < int(offer["with"]["left"]) <= 2000
        assert owner.heard[1].parameters[DESCRIPTION] == f"{name} has {1:016x}\r\n".encode()
        await rig.machines[name].end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert owner.of(1) == [*PLACED, (END, 16)]

    play(test)


def test_the_bulletin_is_followed_where_the_list_comes_by_itself() -> None:
    """Seen on sockets: the settings say push, the module then asks for nothing, and no event was heard."""

    async def test(rig: Rig) -> None:
        await trio.sleep(0.3)
        assert rig.bulletin.asked[0][0] == 1
        rig.bulletin.events += [event(2, host("a", "terminating"))]
        await trio.sleep(0.2)
        owner = await rig.owner()
        await owner.say(*(set_up(guest) for guest in range(1, 21)))
        await trio.sleep(1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 21))
        assert {name for guest in range(1, 21) for name in rig.offers(guest)} == {"b"}

    play(test)


def test_an_owner_that_gives_up_is_owed_nothing_and_the_machine_hears_of_it() -> None:
    async def test(rig: Rig) -> None:
        for machine in rig.machines.values():
            machine.accepts = False
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.2)
        await owner.say(end(1))
        await trio.sleep(4)
        (name,) = rig.offers(1)
        assert owner.of(1) == []
        assert [
            (line["op"], line.get("why"))
            for line in rig.machines[name].heard
            if line["call"] == f"{1:016x}" and line["op"] != "test"
        ] == [("offer", None), ("end", 16)]
        assert not rig.planner.engine.cases

    play(test)


def test_a_set_up_without_a_number_ends_its_connection_and_reaches_no_machine() -> None:
    """Seen on sockets: machines close on it, and whatever else was open there went with it."""

    async def test(rig: Rig) -> None:
        usual, bad = await rig.owner(), await rig.owner()
        await bad.say(set_up(0), set_up(7))
        await usual.say(set_up(1))
        await trio.sleep(1)
        assert bad.closed_at is not None and bad.heard == []
        assert usual.of(1) == PLACED and usual.closed_at is None
        assert rig.offers(0) == rig.offers(7) == []

    play(test)


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
        rig.planner.engine.brain.answers[0].append(100_000)  # answers were seen: a time-out comes in time
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


# Owners.


def test_found_guests_stand_and_their_end_is_told_over_any_connection_or_the_next() -> None:
    async def test(rig: Rig) -> None:
        first = await rig.owner()
        figures = "cores:1;memory:2;service:s;at:a"
        await first.say(*(set_up(guest, left="4294967", figures=figures) for guest in (1, 2)))
        await trio.sleep(0.2)
        await first.say(set_up(1, left="4294967", figures=figures))  # handed over once more
        await trio.sleep(0.2)
        assert first.heard == [] and rig.planner.engine.stands(f"{1:016x}")
        await first.stream.aclose()
        second = await rig.owner()
        await second.say(BinaryMessage(TEST, "00000000000000aa", {17: b"\0"}))
        await trio.sleep(0.1)
        ended_at = trio.current_time()
        await rig.machines["a"].end(f"{1:016x}", 16)
        await until(lambda: second.of(1))
        assert second.of(1) == [(END, 16)] and trio.current_time() - ended_at < 0.6  # due within 1 s
        await second.stream.aclose()
        await trio.sleep(0.1)
        await rig.machines["a"].end(f"{2:016x}", 41, "oom")
        await trio.sleep(1)
        silent, third = await rig.owner(), await rig.owner()
        await third.say(set_up(5))
        await trio.sleep(0.1)
        assert third.of(2) == [(END, 41)] and silent.heard == []

    play(test)


def test_an_owner_ends_what_stands_over_another_connection() -> None:
    async def test(rig: Rig) -> None:
        first, second = await rig.owner(), await rig.owner()
        await first.say(set_up(1))
        await trio.sleep(0.2)
        await second.say(end(1))
        await trio.sleep(0.2)
        words = [
            line["op"]
            for line in rig.machines["a"].heard
            if line["call"] == f"{1:016x}" and line["op"] != "test"
        ]
        assert words == ["offer", "end"] and not rig.planner.engine.cases
        await rig.machines["a"].end(f"{1:016x}", 31)
        await trio.sleep(0.2)
        assert first.of(1) == PLACED and second.of(1) == []

    play(test, machines="a")


def test_set_ups_end_with_their_owner_s_connection() -> None:
    async def test(rig: Rig) -> None:
        rig.machines["a"].accepts = False
        owner = await rig.owner()
        await owner.say(set_up(1), set_up(2, "once"))
        await trio.sleep(0.2)
        await owner.stream.aclose()
        await trio.sleep(0.2)
        assert not rig.planner.engine.cases
        assert {line["call"] for line in rig.machines["a"].heard if line["op"] == "end"} == {
            f"{1:016x}",
            f"{2:016x}",
        }

    play(test, machines="a")


def test_bad_owners_are_answered_or_closed_within_three_seconds_and_disturb_nobody() -> None:
    half = bytes.fromhex("00ff0101")
    given = [
        b"",
        half,
        b"\xff\xff" + b"x" * 100_000,
        b"\x00\x00",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x80\x00" * 40,
    ]

    async def test(rig: Rig) -> None:
        usual = await rig.owner()
        await usual.say(set_up(1))
        await trio.sleep(0.2)
        bad = []
        for data in given:
            owner = await rig.owner()
            rig.nursery.start_soon(pour, owner, data)
            bad.append(owner)
        refused = [
            set_up(50, "nobody's"),
            set_up(51, tenant="nobody"),
            set_up(52, left="-1"),
            set_up(53, figures="cores:x;memory:1;service:s"),
            set_up(54, figures="cores:1;memory:1;service:s;at:unheard-of"),
        ]
        wrong = await rig.owner()
        await wrong.say(*refused)
        twice = await rig.owner()
        await twice.say(set_up(60), set_up(60))
        other = await rig.owner()
        rig.machines["a"].accepts = rig.machines["b"].accepts = False
        await usual.say(set_up(2))
        await trio.sleep(0.1)
        await other.say(set_up(2, figures="cores:2;memory:2;service:other"))
        await trio.sleep(0.1)
        unknown = await rig.owner()
        await unknown.say(*(end(guest) for guest in range(1000, 1300)))
        await trio.sleep(2.7)
        assert all(owner.closed_at is not None and owner.heard == [] for owner in bad)
        assert all([kind for kind, _ in wrong.of(guest)] == [END] for guest in range(50, 55))
        assert twice.closed_at is not None and PLACED[0] not in twice.of(60)
        assert other.closed_at is not None and other.heard == [end(2, 47)]
        assert unknown.closed_at is not None
        assert usual.of(1) == PLACED and usual.of(2) in ([], [(END, 34)], [(END, 41)])
        assert usual.closed_at is None

    play(test)


async def pour(owner: object, data: bytes) -> None:
    try:
        await owner.stream.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass


def test_a_busy_connection_whose_reads_always_end_in_half_a_message_stays_open() -> None:
    """Half a message was counted from the first of a row of them: after 2 s of steady traffic in which every
    read ended amid one, the connection was closed over all that was open on it."""

    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        sent = b"".join(encode_binary(set_up(guest)) for guest in range(1, 41))
        cuts = [len(sent) * part // 40 - 20 for part in range(1, 41)]
        for start, stop in zip([0, *cuts], [*cuts, len(sent)], strict=True):
            await owner.stream.send_all(sent[start:stop])
            await trio.sleep(0.1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 41)) and owner.closed_at is None
        await owner.stream.send_all(sent[:50])
        await trio.sleep(2.5)
        assert owner.closed_at is not None  # half of one, and nothing more

    play(test)


def test_hundreds_of_silent_connections_leave_room_for_owners() -> None:
    async def test(rig: Rig) -> None:
        usual = await rig.owner()
        await usual.say(set_up(1))
        await trio.sleep(0.2)
        silent = [await rig.owner() for _ in range(300)]
        await trio.sleep(0.1)
        late = await rig.owner()
        await late.say(set_up(2))
        await trio.sleep(0.5)
        assert late.of(2) == PLACED and usual.closed_at is None
        assert len(rig.planner.owners) <= rig.planner.limits.connections == 25
        await trio.sleep(2.5)
        assert all(owner.closed_at is not None for owner in silent) and usual.closed_at is None
        await trio.sleep(60)  # usual owners that are merely quiet stay
        assert usual.closed_at is None

    play(test)


# The bulletin.


def test_breaks_silence_and_junk_end_a_call_and_lose_no_event() -> None:
    async def test(rig: Rig) -> None:
        bulletin = rig.bulletin
        await trio.sleep(0.2)
        bodies = [
            b'{"no":2,"items":[{"no":2,"ros',
            b"noise",
            b'{"no":9,"items":[{"no":9}]}',
            b"[]",
            b'{"no":2,"items":[{"no":"2"}]}',
            b'{"no":2,"items":[{"no":2,"roster":{"hosts":[{"host":"a","health":"asleep"}]}}]}',
        ]
        answers = [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body) for body in bodies]
        answers += [
            b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{",
            b"junk\r\n\r\n",
            b"",
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b" " * (2 * discovery.MOST),
        ]
        for answer in answers:
            bulletin.broken = answer
            rig.planner.follower.unread = (0, 0)
            failures = rig.planner.counts["discovery_failures"]
            await trio.sleep(0.6 if b"asleep" in answer else 2)  # before it is passed over
            assert rig.planner.counts["discovery_failures"] > failures, answer[:60]
            assert rig.planner.follower.last == 1
        bulletin.broken, bulletin.silent = None, True
        await trio.sleep(4)
        bulletin.events += [event(2, host("a", "terminating")), event(3, host("a", "terminated"))]
        bulletin.silent = False
        await trio.sleep(2)
        assert rig.planner.follower.last == 3 and set(rig.planner.engine.roster.fellows) == {"b"}

    play(test)


def test_after_a_reload_the_new_address_is_asked_at_once_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def test(rig: Rig) -> None:
        planner = rig.planner
        planner.config = tmp_path / "config.json"
        await trio.sleep(0.2)
        new = Bulletin()
        new.events = [event(2, host("a", "terminating"))]
        await rig.net.listen("news:2", new.door, rig.nursery)
        planner.config.write_text("{")
        planner.reload()
        await trio.sleep(0.1)
        assert planner.follower.address == "news:1" and planner.counts["reloads_refused"] == 1
        planner.config.write_text(file(bulletin="news:2"))
        heard_at = planner.engine.brain.list_heard_at
        planner.reload()
        assert planner.engine.brain.list_heard_at == heard_at  # nothing was heard yet
        await trio.sleep(0.1)
        assert new.asked[0][0] == 1 and planner.follower.last == 2
        assert planner.counts["discovery_failures"] == 0

    play(test)


# The end.


def test_a_stop_serves_what_still_comes_answers_all_and_ends() -> None:
    async def test(rig: Rig) -> None:
        rig.machines["b"].accepts = False
        owner = await rig.owner()
        await owner.say(set_up(1), set_up(2, "once"), set_up(3))
        await trio.sleep(0.1)
        began = trio.current_time()
        rig.planner.stop()
        await trio.sleep(0.3)
        late = await rig.owner()
        await late.say(set_up(4))
        await trio.sleep(0.4)
        await late.say(set_up(5, "once"))
        await rig.planner.ended.wait()
        assert 3.2 < trio.current_time() - began < 3.4  # the longest patience is 3 s: SIGKILL after 3.7
        for guest in (1, 2, 3):
            assert len(owner.of(guest)) == 1
        assert len(late.of(4)) == len(late.of(5)) == 1

    play(test)


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_over_random_interleavings(seed: int) -> None:
    """Answers, refusals, resets, give-ups, drains, reloads and a stop at any message; what crossed the
    streams is then judged."""
    random = Random(seed)
    drained: dict[str, float] = {}

    async def test(rig: Rig) -> None:
        offered: list[tuple[float, str, str]] = []
        proven: set[tuple[str, str]] = set()  # dispatches whose machine said that they never ran

        async def answer(machine: Machine, stream: trio.abc.Stream, line: dict) -> None:
            if line["op"] == "test":
                await machine.say(
                    stream, {"op": "tested", "call": line["call"], "why": 1, "with": {"load": "x0:20;x1:30"}}
                )
                return
            if line["op"] != "offer":
                return
            offered.append((line["at"], machine.name, line["call"]))
            await trio.sleep(random.choice((0, 0, 0.01, 0.3)))
            what = random.random()
            if what < 0.6:
                await machine.accept(stream, line["call"])
            elif what < 0.75:
                proven.add((line["call"], machine.name))
                await machine.say(
                    stream,
                    {
                        "op": "end",
                        "call": line["call"],
                        "why": random.choice((34, 102)),
                        "with": {"note": random.choice(("busy", "mem_full", "cpu_full"))},
                    },
                )
            elif what < 0.85:
                await machine.say(stream, {"op": "end", "call": line["call"], "why": random.choice((47, 41))})
            elif what < 0.92:
                await stream.aclose()
            if random.random() < 0.1:
                await machine.accept(stream, line["call"])

        for machine in rig.machines.values():
            machine.answer = partial(answer, machine)
        owners = [await rig.owner() for _ in range(3)]
        asked: dict[int, tuple[Owner, str, float]] = {}
        given_up: dict[int, float] = {}
        number = 1
        for step in range(60):
            what = random.random()
            if what < 0.8:
                owner, product = random.choice(owners), random.choice(("plain", "once"))
                asked[number] = owner, product, trio.current_time()
                await owner.say(set_up(number, product, "1500"))
                number += 1
            elif what < 0.88 and asked:
                guest = random.choice(list(asked))
                if not asked[guest][0].of(guest):
                    given_up.setdefault(guest, trio.current_time())
                    await asked[guest][0].say(end(guest))
            elif what < 0.93 and len(drained) < 2 and step > 20:
                name = random.choice([n for n in rig.machines if n not in drained])
                rig.bulletin.events.append(event(2 + len(drained), host(name, "terminating")))
                drained[name] = trio.current_time()
            else:
                rig.planner.follower.move("news:1")
            await trio.sleep(random.choice((0, 0.001, 0.02, 0.1)))
        rig.planner.stop()
        await trio.sleep(4)
        for guest, (owner, product, _) in asked.items():
            told = owner.of(guest)
            offers = [(when, name) for when, name, call in offered if call == f"{guest:016x}"]
            never_ran = [(f"{guest:016x}", name) in proven for _, name in offers]
            if guest not in given_up:
                assert told, guest
            assert len(told) <= (2 if told[:1] == PLACED else 1), (guest, told)
            assert len(offers) <= 4
            assert all(when <= given_up.get(guest, 1e9) + 0.05 for when, _ in offers), guest
            for when, name in offers:
                assert when <= drained.get(name, 1e9) + 0.25, (guest, name)
            if product == "once":
                assert all(never_ran[:-1]), (guest, offers)  # nothing after one that may have run
                if told[:1] == [(END, 34)]:
                    assert all(never_ran), (guest, offers)

    play(test, machines="abcd")


def test_an_end_that_comes_before_its_guest_is_handed_over_is_told_and_leaves_no_ghost() -> None:
    """Seen at restarts on sockets: machines send the ends of the time between 10 ms after the start."""

    async def test(rig: Rig) -> None:
        await trio.sleep(0.1)
        await rig.machines["a"].end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        owner = await rig.owner()
        await owner.say(set_up(1, left="4294967", figures="cores:1;memory:2;service:s;at:a"))
        await trio.sleep(0.1)
        assert owner.of(1) == [(END, 16)] and not rig.planner.engine.cases

    play(test, machines="a")


def test_a_stop_tells_the_ends_of_what_stands_until_it_is_over() -> None:
    """Seen on sockets: a planner that left as soon as all was answered left ends untold for 3 s."""

    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.2)
        rig.planner.stop()
        await trio.sleep(3)
        await rig.machines["a"].end(f"{1:016x}", 41, "drained")
        await trio.sleep(0.1)
        assert owner.of(1) == [*PLACED, (END, 41)]

    play(test, machines="a")


@pytest.mark.parametrize("product", ["plain", "once"])
def test_an_open_set_up_ended_on_another_connection_is_begun_no_more_and_answered(product: str) -> None:
    """Before, such an end was passed over: who lost a connection could not give up what was open on it."""

    async def test(rig: Rig) -> None:
        rig.machines["a"].accepts = False
        usual, other = await rig.owner(), await rig.owner()
        await usual.say(set_up(1, product))
        await trio.sleep(0.1)
        await other.say(end(1), end(1))
        await trio.sleep(0.1)
        assert [line["op"] for line in rig.machines["a"].heard if line["op"] != "test"] == ["offer", "end"]
        await rig.machines["a"].end(f"{1:016x}", 34)  # it never ran there
        await trio.sleep(0.1)
        assert usual.of(1) == [(END, 34)] and not other.of(1) and other.closed_at is None
        await trio.sleep(3)
        assert len(rig.offers(1)) == 1 and len(usual.of(1)) == 1

    play(test, machines="a")


def test_of_two_connections_under_one_name_the_second_takes_nothing_from_the_first() -> None:
    async def test(rig: Rig) -> None:
        rig.machines["a"].accepts = False
        usual, bad = await rig.owner(), await rig.owner()
        await usual.say(set_up(1))
        await trio.sleep(0.1)
        await bad.say(set_up(1, figures="cores:2;memory:1;service:x"), end(1))  # in one read
        await trio.sleep(0.1)
        assert bad.closed_at is not None and rig.planner.engine.out(f"{1:016x}")
        await rig.machines["a"].accept(rig.machines["a"].streams[-1], f"{1:016x}")
        await trio.sleep(0.1)
        assert usual.of(1) == PLACED and bad.of(1) == [(END, 47)]  # its own refusal, and no more

    play(test, machines="a")


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


def test_an_event_that_stays_unreadable_is_passed_over_and_holds_nothing_up() -> None:
    async def test(rig: Rig) -> None:
        rig.bulletin.events += [{"no": 2, "roster": {"hosts": 7}}, event(3, host("b", "terminated"))]
        await trio.sleep(1)
        assert rig.planner.follower.last == 3 and set(rig.planner.engine.roster.fellows) == {"a"}
        counts = rig.planner.counts
        assert counts["discovery_unreadable"] == 3 and counts["discovery_failures"] == 2

    play(test)


def test_an_entry_that_cannot_be_read_costs_no_drain_told_beside_or_before_it() -> None:
    """One spoilt entry made its whole event, and all events before it, wait for three calls."""

    async def test(rig: Rig) -> None:
        rig.bulletin.events += [
            event(2, host("a", "terminating")),
            event(3, host("b", "terminating"), host("c", "asleep"), whole=True),
            event(4, host("c", "terminating") | {"class": "no such box"}),
        ]
        await trio.sleep(0.03)  # one call, and the time that it takes to be heard
        modes = {name: f.mode.name for name, f in rig.planner.engine.roster.fellows.items()}
        assert modes["a"] == modes["b"] == "CORDONED"
        await trio.sleep(0.5)
        modes = {name: f.mode.name for name, f in rig.planner.engine.roster.fellows.items()}
        assert modes == dict.fromkeys("abc", "CORDONED") and rig.planner.follower.last == 4

    play(test, machines="abc")


def test_zones_that_the_settings_do_not_name_are_told_apart() -> None:
    async def test(rig: Rig) -> None:
        rig.bulletin.events += [
            event(
                2,
                *(host(name) | {"site": site} for name, site in (("a", "z1"), ("b", "new"), ("c", "newer"))),
            )
        ]
        await trio.sleep(0.1)
        machines = rig.planner.engine.brain.machines
        assert len({machines[name].listed.zone for name in "abc"}) == 3
        assert len({machines[name].place(Place.CELL) for name in "abc"}) == 3  # block 0 of each

    play(test, machines="abc")


def test_more_machines_than_descriptors_are_served_within_the_bound_and_no_end_is_missed() -> None:
    names = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMN"

    async def test(rig: Rig) -> None:
        owner, links, most = await rig.owner(), rig.planner.limits.links, 0
        assert links == 64 - 25 - 16
        for guest in range(1, 81):
            await owner.say(set_up(guest))
            await trio.sleep(0.02)
            most = max(most, len(rig.planner.machines))
        await trio.sleep(1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 81))
        assert most == links and rig.planner.engine.counts["links_closed_for_others"]
        stands = {name: [line["call"] for line in machine.offers()] for name, machine in rig.machines.items()}
        closed = [name for name in names if stands[name] and name not in rig.planner.machines]
        told = {call for name in closed for call in stands[name]}
        assert told
        for name in closed:
            rig.machines[name].owed = stands[name]
        await trio.sleep(7.5)
        ended = {binary.id for binary in owner.heard if binary.type == END}
        assert ended == told and all(p.cause == 16 for p in owner.heard if p.type == END)

    play(test, machines=names)


def test_a_list_of_1100_machines_and_1024_planners_has_no_bound_in_its_way() -> None:
    """From what is known at the start and from the bulletin to the module; guests are served through it."""
    hosts = [host(f"m{number}", dial="a:1") | {"site": f"z{number % 9}"} for number in range(1, 1100)]

    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        assert len(rig.planner.engine.brain.machines) == 1100 and rig.planner.engine.facts.planners == 1024
        rig.bulletin.events += [event(2, *(each | {"health": "terminating"} for each in hosts))]
        await trio.sleep(0.1)
        assert [f.name for f in rig.planner.engine.roster.fellows.values() if f.mode.name == "READY"] == ["a"]
        rig.bulletin.events += [event(3, *hosts)]
        await trio.sleep(0.1)
        await owner.say(*(set_up(guest) for guest in range(1, 41)))
        await trio.sleep(1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 41))

    settings = json.loads(json.dumps(DEPLOYMENT)) | {"balancers": 1024, "slot-no": 1023}
    play(
        test,
        machines="a",
        known={"no": 1, "items": [event(1, host("a"), *hosts, whole=True)]},
        settings=settings,
    )


def test_a_drain_is_heard_in_time_by_a_planner_that_is_behind_with_placing() -> None:
    """Each decision takes 10 ms here; 32 of them before the bulletin was read were past the grace."""

    async def test(rig: Rig) -> None:
        clock, brain = trio.lowlevel.current_clock(), rig.planner.engine.brain
        place = brain._place_next

        def slow(now: int) -> object:
            clock.jump(0.01)
            return place(now)

        heard: list[float] = []
        listed = brain.machines_listed

        def noted(now: int, entries: list, whole: bool) -> None:
            if entries:
                heard.append(trio.current_time())
            listed(now, entries, whole)

        brain._place_next, brain.machines_listed = slow, noted
        owner = await rig.owner()
        for first in range(1, 400, 40):
            await owner.say(*(set_up(guest) for guest in range(first, first + 40)))
        await trio.sleep(0.2)
        told = trio.current_time()
        rig.bulletin.events += [event(2, host("a", "terminating"))]
        await trio.sleep(3)
        late = [line["at"] - told for line in rig.machines["a"].offers() if line["at"] > told + 0.25]
        assert not late and len(rig.machines["b"].offers()) > 20
        assert heard[0] - told < 0.25

    play(test)


def test_at_a_stop_machines_are_left_before_owners_so_that_no_end_is_heard_and_not_told() -> None:
    async def test(rig: Rig) -> None:
        owner, machine = await rig.owner(), rig.machines["a"]
        await owner.say(*(set_up(guest) for guest in range(1, 200)))
        await trio.sleep(1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 200))
        rig.planner.stop()
        await trio.sleep(3)
        said = []
        for guest in range(1, 200):
            try:
                await machine.end(f"{guest:016x}", 16)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                break
            said.append(guest)
            await trio.sleep(0.003)
        assert 0 < len(said) < 199  # until the planner left
        before = len(machine.streams)
        rig.planner._do(Dial("a", "a:1", 250_000))  # whatever the engine may still want
        await trio.sleep(0.01)
        assert len(machine.streams) == before
        await rig.planner.ended.wait()
        assert [guest for guest in said if owner.of(guest) != [*PLACED, (END, 16)]] == []

    play(test, machines="a")


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
