"""The platform's codecs, configuration file and message translation, without peers."""

import contextlib
import json
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelhold.config.load import ConfigError
from hazelhold.engine.links import ENDINGS
from hazelhold.interface import DispatchOutcome, OutcomeReason
from hazelhold.platform import translation
from hazelhold.platform.codec import (
    CAUSE,
    DESCRIPTION,
    END,
    FIGURES,
    LEFT,
    MAX_MESSAGE_BYTES,
    SET_UP,
    TICKET,
    WAIT,
    BinaryMessage,
    BinaryReader,
    CodecError,
    Line,
    LineReader,
    OutgoingLine,
    decode_line,
    encode_binary,
    encode_line,
)
from hazelhold.platform.configuration import check_start, flatten
from hazelhold.protocol import messages as m
from hazelhold.simhost import Pairs, read_deployment
from tests.platform_rig import DEPLOYMENT, event, file, host, set_up

IDS = st.integers(1, 2**64 - 1).map(lambda n: f"{n:016x}")
VALUES = st.dictionaries(st.integers(1, 16), st.binary(max_size=60), max_size=5)
BOUNDS = translation.SubmissionLimits(
    (104.0, 60.0), {"plain": 3_000_000, "once": 2_500_000}, frozenset({"acme", "beta"})
)


@given(
    st.lists(st.tuples(st.sampled_from((1, 6, 9, 12, 16, 44, 51, 52, 53)), IDS, VALUES), max_size=5),
    st.data(),
)
def test_binary_messages_are_decoded_from_any_chunks(parameters: list[tuple], data: st.DataObject) -> None:
    binaries = [BinaryMessage(*each) for each in parameters]
    raw = b"".join(encode_binary(binary) for binary in binaries)
    at = sorted(data.draw(st.lists(st.integers(0, len(raw)), max_size=6)))
    reader, found = BinaryReader(), []
    for start, stop in zip([0, *at], [*at, len(raw)], strict=True):
        found += reader.feed(raw[start:stop])
    assert found == binaries and not reader.has_partial_message


def test_lines_are_decoded_from_any_two_chunks() -> None:
    raw = encode_line(OutgoingLine("offer", "9b1f03aa5c7e2d41", {"class": "plain"}, desc="x\r\n\u00fc\n"))
    raw += b'{"op":"end","call":"9b1f03aa5c7e2d41","with":{},"why":34}\n'
    whole = LineReader().feed(raw)
    assert [line.op for line in whole] == ["offer", "end"] and whole[0].desc == "x\r\n\u00fc\n"
    for cut in range(len(raw) + 1):
        reader = LineReader()
        assert reader.feed(raw[:cut]) + reader.feed(raw[cut:]) == whole


@given(st.binary(max_size=400))
def test_random_bytes_are_decoded_or_rejected_within_the_buffer_limit(junk: bytes) -> None:
    for reader in (BinaryReader(), LineReader()):
        try:
            reader.feed(junk)
        except CodecError as error:
            assert error.code
        assert len(reader.held) <= MAX_MESSAGE_BYTES


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
def test_invalid_binary_messages_are_rejected_with_their_code(raw: bytes, code: str) -> None:
    with pytest.raises(CodecError) as error:
        BinaryReader().feed(raw)
    assert error.value.code == code


def test_messages_before_an_error_are_returned_first() -> None:
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
def test_invalid_lines_are_rejected(raw: bytes) -> None:
    with pytest.raises(CodecError):
        LineReader().feed(raw)


def test_a_line_without_an_end_is_rejected_at_the_size_limit() -> None:
    reader = LineReader()
    assert reader.feed(b"{" + b" " * (MAX_MESSAGE_BYTES - 10)) == []
    with pytest.raises(CodecError, match="too_long"):
        reader.feed(b" " * 20)


# Configuration.


def test_both_forms_of_one_set_of_settings_give_the_same_deployment() -> None:
    """The settings are nested in the file, and path=value pairs in the simulator's first message, which is
    written out by hand here."""
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
    assert start.engine_settings.deployment == read_deployment(Pairs(wire.split(" ")))._replace(
        dispatches_identified=False, ages_by_clock=True, list_lease=200_000
    )
    assert (
        flatten(DEPLOYMENT)["kinds"] == "small_box,large-box"
        and start.engine_settings.kinds[0] == "small box"
    )


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
def test_all_errors_of_a_file_are_reported(changes: dict, places: list[str]) -> None:
    with pytest.raises(ConfigError) as error:
        check_start(file(**changes), "test")
    assert [place for place, _ in error.value.faults] == places


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
def test_readable_but_invalid_settings_are_rejected(place: str, key: str, value: object) -> None:
    """On a reload, an infinite value raised an OverflowError that ended the planner, and zero planners caused
    a division by zero at the next offer to a cold machine."""
    configuration = json.loads(file("ab"))
    part = configuration["settings"][place] if place else configuration["settings"]
    part[key] = value
    with pytest.raises(ConfigError, match="settings"):
        check_start(json.dumps(configuration), "test")


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


def test_odd_values_anywhere_raise_only_the_documented_errors() -> None:
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
            translation.from_machine(decode_line(json.dumps(line).encode()), random.random() < 0.5)
        entry = host("a")
        entry[random.choice(list(entry))] = odd()
        with contextlib.suppress(ValueError, TypeError, KeyError, AttributeError, OverflowError):  # as _event
            translation.listing(
                {"seq": odd(), "whole": odd(), "hosts": random.choice((odd(), [odd()], [entry]))},
                {"z1": 0},
                10**15,
            )
        code = random.choice((3, 4, 5, 7, 8, 16, 18))
        with contextlib.suppress(translation.InvalidSubmissionError, CodecError):
            text = f"cores:{odd()};memory:{odd()};service:{odd()}".encode()
            translation.parse_submission(set_up(5, parameters={code: text}), BOUNDS)
    for _ in range(300):
        configuration = json.loads(file("ab"))
        part = random.choice(
            (
                configuration,
                configuration["settings"],
                configuration["settings"]["rules"],
                configuration["settings"]["limits"],
                configuration["settings"]["family-info"],
            )
        )
        part[random.choice(list(part))] = odd()
        with contextlib.suppress(ConfigError):
            check_start(json.dumps(configuration), "test")


def test_a_file_that_is_not_an_object_is_rejected() -> None:
    for text in ("", "[]", "{", "\x00"):
        with pytest.raises(ConfigError):
            check_start(text, "test")


# Translation.


def test_an_idempotency_key_is_passed_on_unchanged() -> None:
    """On a site with a deduplicated guest class, offers differed from what their owners had sent, which
    made the whole day invalid."""
    marked = set_up(6, parameters={TICKET: b"24afb465d4b09c63"})
    offer = m.Offer(
        guest=marked.id,
        product="plain",
        service="s",
        cores=1.0,
        memory=1.0,
        ticket=translation.parse_submission(marked, BOUNDS).submit.ticket,
    )
    assert translation.to_machine(offer, 1_000_000).fields["idem"] == "24afb465d4b09c63"
    assert (
        "idem"
        not in translation.to_machine(
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
def test_values_out_of_range_are_ignored(line: bytes) -> None:
    """The first line raised an OverflowError that ended the process, the others overflowed in the scheduler's
    sums."""
    assert translation.from_machine(decode_line(line), True) is None
    report = decode_line(b'{"op":"end","call":"aa","why":34,"with":{"load":"x0:1;x1:-1e300"}}')
    assert translation.from_machine(report, False).load is None
    roster = {
        "hosts": [
            host("a") | {"room": [1e300, "nan"]},
            host("b", dial="nowhere"),
            host("c", "terminating", dial="") | {"room": ["x"]},
        ]
    }
    listing, faults = translation.listing(roster, {"z1": 0}, 0)
    assert [(e.machine, e.cores_room, e.memory_room) for e in listing.entries] == [("a", 0, 0), ("c", 0, 0)]
    assert len(faults) == 1 and "nowhere" in faults[0]


def test_a_set_up_is_parsed_to_a_submission_with_all_fields() -> None:
    submit, at = translation.parse_submission(
        set_up(5, "once", "1500", "cores:0.5;memory:2;service:s7"), BOUNDS
    )
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
    assert translation.parse_submission(set_up(5, left="4294967", figures=figures), BOUNDS).at == "m1"


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
def test_invalid_submissions_are_rejected(bad: dict) -> None:
    with pytest.raises((translation.InvalidSubmissionError, CodecError)):
        translation.parse_submission(set_up(1, **bad), BOUNDS)


@pytest.mark.parametrize(
    ("line", "placed", "outcome", "reason"),
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
        ),  # it was accepted and ran; its accept is late
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
def test_every_end_is_translated_as_on_the_simulator(
    line: dict, placed: bool, outcome: DispatchOutcome, reason: OutcomeReason
) -> None:
    fields = {"note": line["note"]} if "note" in line else {}
    message = translation.from_machine(Line("end", "1", fields, line.get("why")), placed)
    if isinstance(message, m.OfferRefused):
        from hazelhold.engine.links import REMARKS

        assert (outcome, reason) == (DispatchOutcome.REFUSED, REMARKS.get(message.remark, OutcomeReason.NONE))
    else:
        assert ENDINGS.get(message.how, (DispatchOutcome.INTERRUPTED, OutcomeReason.NONE)) == (
            outcome,
            reason,
        )


def test_notes_reports_and_probe_answers_are_translated_as_on_the_simulator() -> None:
    def translated(text: str) -> m.Message | None:
        return translation.from_machine(decode_line(text.encode()), True)

    note = '{"op":"info","call":"1","with":{"note":"%s","value":%s}}'
    assert translated(note % ("up", "0")) == m.Started(guest="1")
    assert translated(note % ("cpu", "0.5")) == m.ResourceUse(guest="1", cores=0.5)
    assert translated(note % ("mem", '"1.5"')) == m.ResourceUse(guest="1", memory=1.5)
    assert translated(note % ("share", "0.25")) == m.ServiceLevel(guest="1", share=0.25)
    assert translated(note % ("tight", "0.9")) == m.MemoryPressure(share=0.9)
    assert translated(note % ("cpu", '"nan"')) is None and translated(note % ("cpu", '"x"')) is None
    assert translated(
        '{"op":"tested","call":"0a","why":1,"with":{"load":"x0:12;x1:40;queue:3"}}'
    ) == m.Report(number=10, load=m.Load(12.0, 40.0), well=True)
    assert translated('{"op":"tested","call":"0a","why":0}') == m.Report(number=10, well=False)
    with pytest.raises(CodecError):
        translated('{"op":"accept","call":"1","with":{}}')


def test_answers_to_owners_show_whether_a_retry_is_safe() -> None:
    guest = f"{1:016x}"
    assert translation.to_owner(m.GuestRefused(guest=guest, again_after=1_500_000)) == BinaryMessage(
        END, guest, {WAIT: b"1500", CAUSE: b"\x22"}
    )
    assert translation.to_owner(m.GuestRefused(guest=guest)).parameters == {CAUSE: b"\x22"}
    harmless = {34, 42, 102}
    assert translation.to_owner(m.GuestFailed(guest=guest)).cause not in harmless
    assert translation.to_owner(m.Rejected(guest=guest, code="unknown_product")).cause not in harmless
    assert translation.to_owner(m.Acknowledged(guest=guest)) is None
    assert translation.to_owner(m.Placed(guest=guest, machine="a", description=b"\x00\xff")).parameters == {
        DESCRIPTION: b"\x00\xff"
    }


def test_a_roster_is_translated_with_start_times_and_free_capacity() -> None:
    wall = 1_700_000_010_000_000
    roster = event(4, host("a", "terminating", 1_700_000_000_000), host("b", "asleep"), whole=True)["roster"]
    listing, faults = translation.listing(roster, {"z1": 0}, wall)
    (entry,) = listing.entries
    assert len(faults) == 1 and "not known" in faults[0] and not listing.whole
    assert (entry.machine, entry.mode, entry.up_for) == ("a", "cordoned", 10_000_000)
    assert (entry.cores_room, entry.memory_room, entry.kind) == (26.0, 41.0, "small box")


def test_messages_with_changed_bytes_raise_only_the_documented_errors() -> None:
    random = Random(5)
    for _ in range(2000):
        raw = bytearray(encode_binary(set_up(random.getrandbits(63) + 1)))
        for _ in range(random.randrange(1, 4)):
            raw[random.randrange(len(raw))] = random.getrandbits(8)
        reader = BinaryReader()
        try:
            for binary in reader.feed(bytes(raw)):
                if binary.type == SET_UP:
                    translation.parse_submission(binary, BOUNDS)
        except (CodecError, translation.InvalidSubmissionError):
            pass
