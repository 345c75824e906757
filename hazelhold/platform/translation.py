"""Translates between the platform's messages and the engine's. No I/O and no clock.

The meaning of a machine's `end` depends on whether its guest is already placed, which the caller passes.
"""

import math
from typing import NamedTuple

from hazelhold.config.load import split_address
from hazelhold.platform.codec import (
    ANSWER,
    CAUSE,
    CLASS,
    DESCRIPTION,
    END,
    FIGURES,
    HEARD,
    LEFT,
    MOVE,
    NAME,
    TENANT,
    TESTED,
    TICKET,
    WAIT,
    BinaryMessage,
    CodecError,
    Line,
    OutgoingLine,
)
from hazelhold.platform.number_ranges import QUANTITY, TIME_LEFT_MS, NumberRange
from hazelhold.protocol import messages as m
from hazelhold.simhost import read_load

FULL, ERROR, MOOT, RESET, OK, CANCELLED = 34, 47, 102, 41, 16, 31  # causes of releases
REMARKS = {"cpu_full": "no_cores", "mem_full": "no_memory", "busy": "line_full", "wrong_host": "not_here"}
HOWS = {"oom": "evicted", "preempted": "pushed_out", "drained": "sent_away"}
STATES = {"in_service": "ready", "terminating": "cordoned", "terminated": "gone"}


class InvalidSubmissionError(Exception):
    """A set-up whose message is readable but whose content is invalid.

    `code` is one word for counters.
    """

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code}: {text}")
        self.code = code


class ParsedSubmission(NamedTuple):
    """A set-up of an owner; `at` is the machine that already has the guest, or empty."""

    submit: m.Submit
    at: str


class SubmissionLimits(NamedTuple):
    """The limits of a valid submission.

    `max_resources` is the cores and memory of the largest machine, `max_time_left` the longest time left by
    guest class in microseconds, and `customers` the known names.
    """

    max_resources: tuple[float, float]
    max_time_left: dict[str, int]
    customers: frozenset[str]


# Owners.


def parse_submission(binary: BinaryMessage, limits: SubmissionLimits) -> ParsedSubmission:
    """Parses a set-up; InvalidSubmissionError or CodecError if it is invalid."""
    guest_class, customer = binary.text(CLASS), binary.text(TENANT)
    if guest_class not in limits.max_time_left:
        raise InvalidSubmissionError("unknown_product", f"no guest class is called {guest_class[:60]!r}")
    if customer and customer not in limits.customers:
        raise InvalidSubmissionError("unknown_customer", f"no customer is called {customer[:60]!r}")
    figures = dict(part.partition(":")[::2] for part in binary.text(FIGURES).split(";") if part)
    cores = parse_number(figures.get("cores", ""), "cores", QUANTITY)
    memory = parse_number(figures.get("memory", ""), "memory", QUANTITY)
    if not (0 < cores <= limits.max_resources[0] and 0 < memory <= limits.max_resources[1]):
        raise InvalidSubmissionError("out_of_range", f"{cores:g} cores and {memory:g} of memory")
    at, left = figures.get("at", ""), binary.text(LEFT)
    time_left = parse_number(left, "time left", TIME_LEFT_MS) if left or not at else 0.0
    if not at and not 0 < time_left * 1000 <= limits.max_time_left[guest_class] + 1_000_000:
        raise InvalidSubmissionError("out_of_range", f"a time left of {time_left:g} ms")
    service, key = figures.get("service", ""), binary.text(NAME)
    if not key or len(key) > 200 or not service or len(service) > 200:
        raise InvalidSubmissionError("no_name", "guest and service need a name of at most 200 characters")
    idempotency_key = binary.text(TICKET)
    description = binary.parameters.get(DESCRIPTION, b"")
    binary.text(DESCRIPTION)  # checked here, since it is forwarded as JSON text
    return ParsedSubmission(
        m.Submit(
            guest=binary.id,
            product=guest_class,
            service=service,
            cores=cores,
            memory=memory,
            patience=max(0, round(time_left * 1000)),
            customer=customer,
            key=key,
            description=description,
            ticket=idempotency_key,
        ),
        at,
    )


def parse_number(text: str, what: str, valid: NumberRange) -> float:
    """Parses a number; InvalidSubmissionError if it is not finite or not `valid`. `what` names it there."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise InvalidSubmissionError("no_figure", f"{what}: {text[:40]!r} is not a finite number")
    if not valid.has(value):
        raise InvalidSubmissionError("out_of_range", f"{what}: {value:g}")
    return value


def to_owner(message: m.Message) -> BinaryMessage | None:
    """Translates a message to an owner; None if the platform's protocol has no equivalent."""
    if isinstance(message, m.Placed):
        return BinaryMessage(ANSWER, message.guest, {DESCRIPTION: message.description})
    if isinstance(message, m.GuestRefused):
        more = {WAIT: str(message.again_after // 1000).encode()} if message.again_after else {}
        return released(message.guest, FULL, more)
    if isinstance(message, m.GuestFailed):
        return released(message.guest, RESET)
    if isinstance(message, m.Rejected):
        return released(message.guest, FULL if message.code in ("full", "stopping") else ERROR)
    if isinstance(message, m.GuestEnded):
        if message.how == "moved":
            return BinaryMessage(MOVE, message.guest, {})
        return released(message.guest, OK if message.how == "done" else RESET)
    return None


def released(guest: str, cause: int, more: dict[int, bytes] | None = None) -> BinaryMessage:
    """The release of a guest with a cause code; `more` holds further parameters by code."""
    return BinaryMessage(END, guest, {**(more or {}), CAUSE: bytes((cause,))})


def acknowledged(guest: str) -> BinaryMessage:
    """The acknowledgement of a message about a guest."""
    return BinaryMessage(HEARD, guest, {})


def probe_answer(guest: str, well: bool) -> BinaryMessage:
    """The answer to an owner's probe; `well` tells whether this planner is ready."""
    return BinaryMessage(TESTED, guest, {CAUSE: bytes((int(well),))})


# Machines.


def to_machine(message: m.Message, left: int = 0) -> OutgoingLine | None:
    """Translates a message to a machine; None if the platform's protocol has no equivalent.

    `left` is how long the answer to an offer is still waited for, in microseconds.
    """
    if isinstance(message, m.Offer):
        left = max(1, left // 1000)
        fields = {"class": message.product, "key": message.key, "left": str(left)}
        if message.ticket:
            fields["idem"] = message.ticket
        return OutgoingLine("offer", message.guest, fields, desc=message.description.decode())
    if isinstance(message, m.Withdraw | m.Stop):
        return OutgoingLine("end", message.guest, {}, OK if isinstance(message, m.Withdraw) else CANCELLED)
    if isinstance(message, m.Probe):
        return OutgoingLine("test", f"{message.number:016x}", {}, 1)
    return None


def from_machine(line: Line, placed: bool) -> m.Message | None:
    """Translates a machine's line; None if it has no equivalent. `placed` tells whether its guest is placed.
    CodecError if the line is invalid."""
    if line.op == "accept":
        if line.desc is None:
            raise CodecError("no_description", "accept without a description")
        return m.OfferAccepted(guest=line.call, load=parse_load(line), description=line.desc.encode())
    if line.op == "end":
        return translate_end(line, placed)
    if line.op == "tested":
        return m.Report(number=probe_number(line.call), load=parse_load(line), well=line.why == 1)
    if line.op == "info":
        return translate_info(line)
    return None


def translate_end(line: Line, placed: bool) -> m.Message:
    """Translates an `end`: before its guest is placed it may be a refusal, afterwards it is the guest's
    end."""
    note = line.text("note")
    if not placed:
        if line.why == FULL:
            return m.OfferRefused(guest=line.call, remark=REMARKS.get(note, ""), load=parse_load(line))
        # With these causes a machine ends only a guest that it had accepted: its accept is still in transit.
        accepted = "done" if line.why == OK else HOWS.get(note, "cut") if line.why == RESET else "cut"
        how = {ERROR: "error", MOOT: "not_sent"}.get(line.why, accepted)
    elif line.why == OK:
        how = "done"
    elif line.why == CANCELLED:
        how = "stopped"
    else:
        how = "error" if line.why == ERROR else HOWS.get(note, "cut")
    return m.Ended(guest=line.call, how=how, load=parse_load(line))


def translate_info(line: Line) -> m.Message | None:
    """Translates an `info`; None if its note is unknown or its value is not a number in range."""
    note = line.text("note")
    if note == "up":
        return m.Started(guest=line.call)
    try:
        value = float(line.fields.get("value", ""))
    except (ValueError, OverflowError):
        return None
    if not QUANTITY.has(value):
        return None
    if note == "cpu":
        return m.ResourceUse(guest=line.call, cores=value)
    if note == "mem":
        return m.ResourceUse(guest=line.call, memory=value)
    if note == "share":
        return m.ServiceLevel(guest=line.call, share=value)
    if note == "tight":
        return m.MemoryPressure(share=value)
    return None


def parse_load(line: Line) -> m.Load | None:
    """The load report of a line; None if there is none or it is invalid."""
    text = line.text("load")
    if not text:
        return None
    try:
        report = read_load(text.replace(";", ","))
    except ValueError:
        return None
    if report is None or not all(QUANTITY.has(v) for v in report if v is not None):
        return None
    return m.Load(report.cores_free, report.memory_free, report.busy)


def probe_number(call: str) -> int:
    """Decodes the number of a probe from its id; -1 if the id is not hexadecimal."""
    try:
        return int(call, 16)
    except ValueError:
        return -1


# Discovery.


def listing(roster: dict, zones: dict[str, int], wall: int) -> tuple[m.Listing, list[str]]:
    """Translates a roster to a Listing, with the reasons for which entries were left out.

    `wall` is the Unix time in microseconds. A zone that is not in `zones` is added there with the next
    number. ValueError if the roster as a whole is invalid.
    """
    entries, faults = [], []
    for each in roster.get("hosts", []):
        try:
            entries.append(entry(each, zones, wall))
        except (ValueError, TypeError, KeyError, AttributeError, IndexError, OverflowError) as error:
            faults.append(f"{error!r:.120}")
    # With entries left out it is not whole: the machines that seem to be missing may be those.
    whole = bool(roster.get("whole")) and not faults
    return m.Listing(version=int(roster.get("seq", 0)), whole=whole, entries=entries), faults


def entry(each: dict, zones: dict[str, int], wall: int) -> m.Entry:
    """Translates a machine of a roster; raises one of the errors that `listing` catches if it is invalid."""
    born = float(each.get("born_ms") or 0)
    state = each["health"]
    try:
        free = [
            value if QUANTITY.has(value) else 0.0
            for value in map(float, [*(each.get("room") or []), 0.0, 0.0])
        ]
    except (ValueError, TypeError):
        if state == "in_service":  # a machine that leaves is listed even if its other values are invalid
            raise
        free = [0.0, 0.0]
    if state not in STATES:
        raise ValueError(f"the state {state!r} is not known")
    if not isinstance(each["host"], str) or not isinstance(each["dial"], str):
        raise ValueError("machine without a name or an address")
    if state == "in_service":
        split_address(each["dial"])
    return m.Entry(
        machine=each["host"],
        address=each["dial"],
        mode=STATES[state],
        kind=str(each.get("class", "")),
        incarnation=int(born),
        up_for=max(0, wall - round(born * 1000)) if born else None,
        zone=zones.setdefault(str(each.get("site", "")), len(zones)),
        cell=int(each.get("block") or 0),
        cores_room=free[0],
        memory_room=free[1],
    )
