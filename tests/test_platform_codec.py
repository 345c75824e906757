"""The platform's messages, configuration and meanings: no peers needed."""

import contextlib
import json
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhold.config.load import ConfigError
from hazelhold.engine.links import ENDINGS
from hazelhold.interface import DispatchOutcome, OutcomeReason
from hazelhold.platform import words
from hazelhold.platform.codec import (
    CAUSE,
    DESCRIPTION,
    END,
    FIGURES,
    LEFT,
    MOST,
    SET_UP,
    TICKET,
    WAIT,
    BinaryMessage,
    BinaryReader,
    CodecError,
    Line,
    LineReader,
    Sent,
    decode_line,
    encode_binary,
    encode_line,
)
from hazelhold.platform.configuration import check_start, flat
from hazelhold.protocol import messages as m
from hazelhold.simhost import Pairs, read_deployment
from tests.platform_rig import DEPLOYMENT, event, file, host, set_up

IDS = st.integers(1, 2**64 - 1).map(lambda n: f"{n:016x}")
VALUES = st.dictionaries(st.integers(1, 16), st.binary(max_size=60), max_size=5)
BOUNDS = words.Bounds((104.0, 60.0), {"plain": 3_000_000, "once": 2_500_000}, frozenset({"acme", "beta"}))


@given(
    st.lists(st.tuples(st.sampled_from((1, 6, 9, 12, 16, 44, 51, 52, 53)), IDS, VALUES), max_size=5),
    st.data(),
)
def test_binary_messages_come_back_from_every_split(given_: list[tuple], data: st.DataObject) -> None:
    binaries = [BinaryMessage(*each) for each in given_]
    raw = b"".join(encode_binary(binary) for binary in binaries)
    at = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=6)))
    reader, found = BinaryReader(), []
    for start, stop in zip([0, *at], [*at, len(raw)], strict=True):
        found += reader.feed(raw[start:stop])
    assert found == binaries and not reader.half


def test_every_split_in_two_of_lines_gives_the_same_lines() -> None:
    raw = encode_line(Sent("offer", "9b1f03aa5c7e2d41", {"class": "plain"}, desc="x\r\n\u00fc\n"))
    raw += b'{"op":"end","call":"9b1f03aa5c7e2d41","with":{},"why":34}\n'
    whole = LineReader().feed(raw)
    assert [line.op for line in whole] == ["offer", "end"] and whole[0].desc == "x\r\n\u00fc\n"
    for cut in range(len(raw) + 1):
        reader = LineReader()
        assert reader.feed(raw[:cut]) + reader.feed(raw[cut:]) == whole


@given(st.binary(max_size=400))
def test_junk_is_read_or_refused_and_never_held_without_bound(junk: bytes) -> None:
    for reader in (BinaryReader(), LineReader()):
        try:
            reader.feed(junk)
        except CodecError as wrong:
            assert wrong.code
        assert len(reader.held) <= MOST


@pytest.mark.parametrize(
    ("raw", "code"),
    [
        (b"\xff\xff" + bytes(20), "too_long"),
        (b"\x00\x00", "no_id"),
        (b"\x00\x05hello", "no_id"),
        (b"\x00\x09\x01" + bytes(8), "no_id"),
        (b"\x00\x09\x7b" + b"\x01" * 8, "unknown_type"),
        (b"\x00\x0c\x01" + b"\x01" * 8 + b"\x03\xff\xff", "bad_length"),
        (b"\x00\x0b\x01" + b"\x01" * 8 + b"\x03\x00", "bad_length"),
        (b"\x00\x0c\x0c" + b"\x01" * 8 + b"\x11\x00\x00", "bad_length"),
    ],
)
def test_what_cannot_be_read_is_refused_by_name(raw: bytes, code: str) -> None:
    with pytest.raises(CodecError) as wrong:
        BinaryReader().feed(raw)
    assert wrong.value.code == code


def test_what_came_whole_before_a_fault_is_given_first() -> None:
    reader = BinaryReader()
    assert reader.feed(encode_binary(set_up(1)) + b"\x00\x00") == [set_up(1)]
    assert reader.fault is not None and reader.fault.code == "no_id"


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00\n",
        b"[1]\n",
        b"7\n",
        b'{"op":"accept"}\n',
        b'{"op":"x","call":"1"}\n',
        b'{"op":"accept","call":"1","with":[],"desc":"d"}\n',
        b"\xff\xfe\n",
        b"[" * 5000 + b"\n",
    ],
)
def test_unreadable_lines_are_refused(raw: bytes) -> None:
    with pytest.raises(CodecError):
        LineReader().feed(raw)


def test_a_line_without_an_end_is_refused_once_it_is_too_long() -> None:
    reader = LineReader()
    assert reader.feed(b"{" + b" " * (MOST - 10)) == []
    with pytest.raises(CodecError, match="too_long"):
        reader.feed(b" " * 20)


# Configuration.


def test_both_forms_of_one_set_of_settings_give_the_same_deployment() -> None:
    """Nested in the file, and as path=value pairs on the simulator's wire, written out by hand."""
    wire = (
        "balancers=1 slot-no=0 discovery=push classes.count=2 classes.0.dedup-window=5000.0 "
        "classes.0.group=all classes.0.idempotency=retryable classes.0.on-time=400.0 classes.0.points=1.0 "
        "classes.1.dedup-window=5000.0 classes.1.group=all classes.1.idempotency=fragile "
        "classes.1.on-time=500.0 classes.1.points=3.0 family-info.accepts-memory=1.5 "
        "family-info.class-kind=-1,-1 family-info.class-most=2,2 family-info.class-priority=0,1 "
        "family-info.confirms=accepted family-info.cores-multiple=4.0 family-info.easy-until=1.0,0.8 "
        "family-info.fresh-offers=113.0 family-info.lists-free=true family-info.lost-after=1.0,0.2 "
        "family-info.makes-room=true family-info.mem-of-kind=41.0,80.0 family-info.report-counts=used "
        "family-info.size-cores=26,47 family-info.spread-over=off,off family-info.start-bonus-s=10.0,8.0 "
        "limits.max-attempts=4 limits.probing=true rules.cold=15000.0 rules.cold-from=0.24 "
        "rules.tip-after=2000.0"
    )
    start = check_start(file(), "test")
    assert start.terms.facts == read_deployment(Pairs(wire.split(" ")))._replace(
        dispatches_identified=False, ages_by_clock=True, list_lease=200_000
    )
    assert flat(DEPLOYMENT)["kinds"] == "small_box,large-box" and start.terms.kinds[0] == "small box"


@pytest.mark.parametrize(
    ("changes", "places"),
    [
        ({"listen": "nowhere"}, ["listen"]),
        ({"bulletin": 7}, ["bulletin"]),
        ({"seed": "xyz"}, ["seed"]),
        ({"settings": DEPLOYMENT | {"rules": {}}}, ["settings"]),
        ({"known": {"no": "x", "items": []}}, ["known"]),
        ({"limits": {"sockets": 4}, "listen": "x", "seed": "-"}, ["listen", "seed", "limits.sockets"]),
    ],
)
def test_all_that_is_wrong_with_a_file_is_named(changes: dict, places: list[str]) -> None:
    with pytest.raises(ConfigError) as wrong:
        check_start(file(**changes), "test")
    assert [place for place, _ in wrong.value.faults] == places


@pytest.mark.parametrize(
    "place,key,value",
    [
        ("", "slot-no", "1e999"),
        ("", "balancers", 0),
        ("", "balancers", "nan"),
        ("limits", "max-attempts", 0),
        ("rules", "cold", "inf"),
        ("rules", "tip-after", "1e308"),
        ("family-info", "cores-multiple", "nan"),
        ("family-info", "easy-until", ["nan", 1.0]),
        ("family-info", "size-cores", [0, 47]),
        ("family-info", "size-cores", [[1], {}]),
        ("", "classes", []),
    ],
)
def test_settings_that_can_be_read_and_not_be_meant_are_refused(place: str, key: str, value: object) -> None:
    """At a new configuration an infinite figure was an OverflowError that ended the planner, and no planners
    were divided by at the next offer to a cold machine."""
    made = json.loads(file("ab"))
    part = made["settings"][place] if place else made["settings"]
    part[key] = value
    with pytest.raises(ConfigError, match="settings"):
        check_start(json.dumps(made), "test")


ODD = (
    None,
    True,
    -1,
    1e308,
    10**30,
    "",
    "x",
    "nan",
    "-inf",
    "1e999",
    "1" * 5000,
    "\0",
    [],
    [None],
    {"a": 1},
    "x0:1e400;x1:2",
    ":;:;",
    "\u0661",
)


def test_odd_values_anywhere_are_refused_by_name_and_never_escape() -> None:
    random = Random(3)
    odd = lambda: random.choice(ODD)  # noqa: E731
    for _ in range(4000):
        line = {
            "op": random.choice(("accept", "end", "tested", "info")),
            "call": odd() if odd() else "aa",
            "with": random.choice(
                ({"note": random.choice(("cpu", "tight", odd())), "value": odd(), "load": odd()}, odd())
            ),
            "why": random.choice((16, 34, odd())),
        }
        with contextlib.suppress(CodecError):
            words.from_machine(decode_line(json.dumps(line).encode()), random.random() < 0.5)
        entry = host("a")
        entry[random.choice(list(entry))] = odd()
        with contextlib.suppress(ValueError, TypeError, KeyError, AttributeError, OverflowError):  # as _event
            words.listing(
                {"seq": odd(), "whole": odd(), "hosts": random.choice((odd(), [odd()], [entry]))},
                {"z1": 0},
                10**15,
            )
        code = random.choice((3, 4, 5, 7, 8, 16, 18))
        with contextlib.suppress(words.BadAskError, CodecError):
            text = f"cores:{odd()};memory:{odd()};service:{odd()}".encode()
            words.wanted(set_up(5, parameters={code: text}), BOUNDS)
    for _ in range(300):
        made = json.loads(file("ab"))
        part = random.choice(
            (
                made,
                made["settings"],
                made["settings"]["rules"],
                made["settings"]["limits"],
                made["settings"]["family-info"],
            )
        )
        part[random.choice(list(part))] = odd()
        with contextlib.suppress(ConfigError):
            check_start(json.dumps(made), "test")


def test_a_file_that_is_no_object_is_refused() -> None:
    for text in ("", "[]", "{", "\x00"):
        with pytest.raises(ConfigError):
            check_start(text, "test")


# Meanings.


def test_the_mark_of_a_ticketed_guest_goes_on_unchanged() -> None:
    """Seen on a site with such a product: offers were not as their owners had sent them, the day was void."""
    marked = set_up(6, parameters={TICKET: b"24afb465d4b09c63"})
    offer = m.Offer(
        guest=marked.id,
        product="plain",
        service="s",
        cores=1.0,
        memory=1.0,
        ticket=words.wanted(marked, BOUNDS).submit.ticket,
    )
    assert words.to_machine(offer, 1_000_000).fields["idem"] == "24afb465d4b09c63"
    assert (
        "idem"
        not in words.to_machine(
            m.Offer(guest=marked.id, product="plain", service="s", cores=1.0, memory=1.0), 1_000_000
        ).fields
    )


@pytest.mark.parametrize(
    "line",
    [
        b'{"op":"info","call":"aa","with":{"note":"cpu","value":1' + b"0" * 400 + b"}}",
        b'{"op":"info","call":"aa","with":{"note":"mem","value":1e300}}',
        b'{"op":"info","call":"aa","with":{"note":"tight","value":"-1e200"}}',
    ],
)
def test_a_figure_past_all_bounds_is_none_and_ends_nothing(line: bytes) -> None:
    """Seen with a probe: the first was an OverflowError that ended the process, the others in the Brain's
    sums."""
    assert words.from_machine(decode_line(line), True) is None
    report = decode_line(b'{"op":"end","call":"aa","why":34,"with":{"load":"x0:1;x1:-1e300"}}')
    assert words.from_machine(report, False).load is None
    roster = {
        "hosts": [
            host("a") | {"room": [1e300, "nan"]},
            host("b", dial="nowhere"),
            host("c", "terminating", dial="") | {"room": ["x"]},
        ]
    }
    listing, faults = words.listing(roster, {"z1": 0}, 0)
    assert [(e.machine, e.cores_room, e.memory_room) for e in listing.entries] == [("a", 0, 0), ("c", 0, 0)]
    assert len(faults) == 1 and "nowhere" in faults[0]


def test_a_set_up_becomes_an_ask_with_all_that_it_says() -> None:
    submit, at = words.wanted(set_up(5, "once", "1500", "cores:0.5;memory:2;service:s7"), BOUNDS)
    assert at == "" and submit == m.Submit(
        guest=f"{5:016x}",
        product="once",
        service="s7",
        cores=0.5,
        memory=2.0,
        patience=1_500_000,
        customer="acme",
        key=f"{5:016x}",
        description=b"ask 5\r\n\xc3\xbc",
    )
    figures = "cores:1;memory:1;service:s;at:m1"
    assert words.wanted(set_up(5, left="4294967", figures=figures), BOUNDS).at == "m1"


@pytest.mark.parametrize(
    "bad",
    [
        {"product": "plain_x"},
        {"product": ""},
        {"tenant": "nobody"},
        {"left": "soon"},
        {"left": "-5"},
        {"left": "0"},
        {"left": ""},
        {"left": "1e23"},
        {"left": "inf"},
        {"figures": "cores:1"},
        {"figures": "cores:nan;memory:1;service:s"},
        {"figures": "cores:-1;memory:1;service:s"},
        {"figures": "cores:1e9;memory:1;service:s"},
        {"figures": "cores:1;memory:1"},
        {"figures": ";;;"},
        {"parameters": {DESCRIPTION: b"\xff"}},
        {"parameters": {FIGURES: b"\xff"}},
        {"parameters": {LEFT: b""}},
        {"parameters": {7: b""}},
    ],
)
def test_asks_that_cannot_be_used_are_refused(bad: dict) -> None:
    with pytest.raises((words.BadAskError, CodecError)):
        words.wanted(set_up(1, **bad), BOUNDS)


@pytest.mark.parametrize(
    ("line", "placed", "ending", "remark"),
    [
        ({"why": 34, "note": "mem_full"}, False, DispatchOutcome.REFUSED, OutcomeReason.NO_MEMORY),
        ({"why": 34, "note": "cpu_full"}, False, DispatchOutcome.REFUSED, OutcomeReason.NO_CORES),
        ({"why": 34, "note": "busy"}, False, DispatchOutcome.REFUSED, OutcomeReason.QUEUE_FULL),
        ({"why": 34, "note": "wrong_host"}, False, DispatchOutcome.REFUSED, OutcomeReason.NOT_ACCEPTED),
        ({"why": 34}, False, DispatchOutcome.REFUSED, OutcomeReason.NONE),
        ({"why": 47}, False, DispatchOutcome.ERROR, OutcomeReason.NONE),
        ({"why": 102}, False, DispatchOutcome.NOT_SENT, OutcomeReason.NONE),
        ({"why": 41}, False, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE),
        ({"why": 41, "note": "oom"}, False, DispatchOutcome.INTERRUPTED, OutcomeReason.EVICTED),
        ({"why": 41, "note": "preempted"}, False, DispatchOutcome.INTERRUPTED, OutcomeReason.PREEMPTED),
        ({"why": 41, "note": "drained"}, False, DispatchOutcome.INTERRUPTED, OutcomeReason.DRAINED),
        ({"why": 41, "note": "busy"}, False, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE),
        ({"why": 47, "note": "oom"}, False, DispatchOutcome.ERROR, OutcomeReason.NONE),
        ({"why": 34, "note": "oom"}, False, DispatchOutcome.REFUSED, OutcomeReason.NONE),
        (
            {"why": 16},
            False,
            DispatchOutcome.COMPLETED,
            OutcomeReason.NONE,
        ),  # its answer is late: it was accepted, and ran
        ({"why": 31}, False, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE),
        ({"why": 99}, False, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE),
        ({}, False, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE),
        ({"why": 16}, True, DispatchOutcome.COMPLETED, OutcomeReason.NONE),
        ({"why": 31}, True, DispatchOutcome.WITHDRAWN, OutcomeReason.NONE),
        ({"why": 41, "note": "oom"}, True, DispatchOutcome.INTERRUPTED, OutcomeReason.EVICTED),
        ({"why": 41, "note": "preempted"}, True, DispatchOutcome.INTERRUPTED, OutcomeReason.PREEMPTED),
        ({"why": 41, "note": "drained"}, True, DispatchOutcome.INTERRUPTED, OutcomeReason.DRAINED),
        ({"why": 41}, True, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE),
        ({"why": 34}, True, DispatchOutcome.INTERRUPTED, OutcomeReason.NONE),
    ],
)
def test_every_ending_means_what_it_means_on_the_simulator(
    line: dict, placed: bool, ending: DispatchOutcome, remark: OutcomeReason
) -> None:
    fields = {"note": line["note"]} if "note" in line else {}
    message = words.from_machine(Line("end", "1", fields, line.get("why")), placed)
    if isinstance(message, m.Refused):
        from hazelhold.engine.links import REMARKS

        assert (ending, remark) == (
            DispatchOutcome.REFUSED,
            REMARKS.get(message.remark, OutcomeReason.NONE),
        )
    else:
        assert ENDINGS.get(message.how, (DispatchOutcome.INTERRUPTED, OutcomeReason.NONE)) == (ending, remark)


def test_notes_reports_and_tests_mean_what_they_mean_on_the_simulator() -> None:
    def said(text: str) -> m.Message | None:
        return words.from_machine(decode_line(text.encode()), True)

    note = '{"op":"info","call":"1","with":{"note":"%s","value":%s}}'
    assert said(note % ("up", "0")) == m.Started(guest="1")
    assert said(note % ("cpu", "0.5")) == m.Use(guest="1", cores=0.5)
    assert said(note % ("mem", '"1.5"')) == m.Use(guest="1", memory=1.5)
    assert said(note % ("share", "0.25")) == m.Served(guest="1", share=0.25)
    assert said(note % ("tight", "0.9")) == m.Pressed(share=0.9)
    assert said(note % ("cpu", '"nan"')) is None and said(note % ("cpu", '"x"')) is None
    assert said('{"op":"tested","call":"0a","why":1,"with":{"load":"x0:12;x1:40;queue:3"}}') == m.Report(
        number=10, load=m.Load(12.0, 40.0), well=True
    )
    assert said('{"op":"tested","call":"0a","why":0}') == m.Report(number=10, well=False)
    with pytest.raises(CodecError):
        said('{"op":"accept","call":"1","with":{}}')


def test_answers_to_owners_say_whether_another_try_is_harmless() -> None:
    guest = f"{1:016x}"
    assert words.to_owner(m.TurnedBack(guest=guest, again_after=1_500_000)) == BinaryMessage(
        END, guest, {WAIT: b"1500", CAUSE: b"\x22"}
    )
    assert words.to_owner(m.TurnedBack(guest=guest)).parameters == {CAUSE: b"\x22"}
    harmless = {34, 42, 102}
    assert words.to_owner(m.BrokenOff(guest=guest)).cause not in harmless
    assert words.to_owner(m.Rejected(guest=guest, code="unknown_product")).cause not in harmless
    assert words.to_owner(m.Held(guest=guest)) is None
    assert words.to_owner(m.Placed(guest=guest, machine="a", description=b"\x00\xff")).parameters == {
        DESCRIPTION: b"\x00\xff"
    }


def test_a_roster_is_read_with_its_starts_and_rooms() -> None:
    wall = 1_700_000_010_000_000
    roster = event(4, host("a", "terminating", 1_700_000_000_000), host("b", "asleep"), whole=True)["roster"]
    listing, faults = words.listing(roster, {"z1": 0}, wall)
    (entry,) = listing.entries
    assert len(faults) == 1 and "not known" in faults[0] and not listing.whole
    assert (entry.machine, entry.mode, entry.up_for) == ("a", "cordoned", 10_000_000)
    assert (entry.cores_room, entry.memory_room, entry.kind) == (26.0, 41.0, "small box")


def test_generated_messages_with_a_byte_changed_never_escape_their_reader() -> None:
    random = Random(5)
    for _ in range(2000):
        raw = bytearray(encode_binary(set_up(random.getrandbits(63) + 1)))
        for _ in range(random.randrange(1, 4)):
            raw[random.randrange(len(raw))] = random.getrandbits(8)
        reader = BinaryReader()
        try:
            for binary in reader.feed(bytes(raw)):
                if binary.type == SET_UP:
                    words.wanted(binary, BOUNDS)
        except (CodecError, words.BadAskError):
            pass
