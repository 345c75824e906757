"""The platform's owners: placed guests outlive their connections, and misbehaving owners disturb no
others."""

import pytest
import trio

from hazelhold.platform.codec import END, TEST, BinaryMessage, encode_binary
from tests.platform_rig import PLACED, Rig, end, play, set_up

# Owners.


def test_handed_over_guests_are_placed_and_their_ends_sent_on_any_connection_or_the_next() -> None:
    async def test(rig: Rig) -> None:
        first = await rig.owner()
        figures = "cores:1;memory:2;service:s;at:a"
        await first.say(*(set_up(guest, left="4294967", figures=figures) for guest in (1, 2)))
        await trio.sleep(0.2)
        await first.say(set_up(1, left="4294967", figures=figures))  # handed over again
        await trio.sleep(0.2)
        assert first.heard == [] and rig.planner.engine.is_placed(f"{1:016x}")
        await first.stream.aclose()
        second = await rig.owner()
        await second.say(BinaryMessage(TEST, "00000000000000aa", {17: b"\0"}))
        await trio.sleep(0.1)
        await rig.machines["a"].end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        assert second.of(1) == [(END, 16)]
        await second.stream.aclose()
        await trio.sleep(0.1)
        await rig.machines["a"].end(f"{2:016x}", 41, "oom")
        await trio.sleep(1)
        silent, third = await rig.owner(), await rig.owner()
        await third.say(set_up(5))
        await trio.sleep(0.1)
        assert third.of(2) == [(END, 41)] and silent.heard == []

    play(test)


def test_an_owner_stops_a_placed_guest_on_another_connection() -> None:
    async def test(rig: Rig) -> None:
        first, second = await rig.owner(), await rig.owner()
        await first.say(set_up(1))
        await trio.sleep(0.2)
        await second.say(end(1))
        await trio.sleep(0.2)
        sent = [
            line["op"]
            for line in rig.machines["a"].heard
            if line["call"] == f"{1:016x}" and line["op"] != "test"
        ]
        assert sent == ["offer", "end"] and not rig.planner.engine.records
        await rig.machines["a"].end(f"{1:016x}", 31)
        await trio.sleep(0.2)
        assert first.of(1) == PLACED and second.of(1) == []

    play(test, machines="a")


def test_open_guests_are_withdrawn_when_their_connection_closes() -> None:
    async def test(rig: Rig) -> None:
        rig.machines["a"].accepts = False
        owner = await rig.owner()
        await owner.say(set_up(1), set_up(2, "once"))
        await trio.sleep(0.2)
        await owner.stream.aclose()
        await trio.sleep(0.2)
        assert not rig.planner.engine.records
        assert {line["call"] for line in rig.machines["a"].heard if line["op"] == "end"} == {
            f"{1:016x}",
            f"{2:016x}",
        }

    play(test, machines="a")


def test_misbehaving_owners_are_answered_or_closed_within_three_seconds() -> None:
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


def test_a_busy_connection_whose_reads_always_end_in_a_partial_message_stays_open() -> None:
    """The timeout of a partial message was counted from the first of several. After 2 s of steady traffic in
    which every read ended within a message, the connection was closed with all its open guests."""

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
        assert owner.closed_at is not None  # part of one, and nothing more

    play(test)


def test_hundreds_of_silent_connections_do_not_lock_out_owners() -> None:
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
        assert len(rig.planner.owner_server.peers) <= rig.planner.limits.connections == 25
        await trio.sleep(2.5)
        assert all(owner.closed_at is not None for owner in silent) and usual.closed_at is None
        await trio.sleep(60)  # regular owners that are idle stay
        assert usual.closed_at is None

    play(test)


# Ends that cross their set-ups, and connections that use one id.


def test_an_end_before_the_handover_of_its_guest_is_sent_and_leaves_no_record() -> None:
    """After a planner's restart, machines send the ends that occurred meanwhile 10 ms after its start, which
    is before their guests are handed over."""

    async def test(rig: Rig) -> None:
        await trio.sleep(0.1)
        await rig.machines["a"].end(f"{1:016x}", 16)
        await trio.sleep(0.1)
        owner = await rig.owner()
        await owner.say(set_up(1, left="4294967", figures="cores:1;memory:2;service:s;at:a"))
        await trio.sleep(0.1)
        assert owner.of(1) == [(END, 16)] and not rig.planner.engine.records

    play(test, machines="a")


@pytest.mark.parametrize("product", ["plain", "once"])
def test_an_open_guest_cancelled_on_another_connection_is_answered_and_not_offered(product: str) -> None:
    """Such an end was ignored, so an owner that lost a connection could not cancel the guests open on it."""

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


def test_a_second_connection_with_the_same_id_does_not_affect_the_first() -> None:
    async def test(rig: Rig) -> None:
        rig.machines["a"].accepts = False
        usual, bad = await rig.owner(), await rig.owner()
        await usual.say(set_up(1))
        await trio.sleep(0.1)
        await bad.say(set_up(1, figures="cores:2;memory:1;service:x"), end(1))  # in one read
        await trio.sleep(0.1)
        assert bad.closed_at is not None and rig.planner.engine.is_outstanding(f"{1:016x}")
        await rig.machines["a"].accept(rig.machines["a"].streams[-1], f"{1:016x}")
        await trio.sleep(0.1)
        assert usual.of(1) == PLACED and bad.of(1) == [(END, 47)]  # only its own refusal

    play(test, machines="a")
