"""Between the platform's messages and the engine's: what each says, no more. No I/O and no clock.

From machines, an `end` means what it means at that point of its guest's life, which the caller tells:
before the answer or after it.
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
from hazelhold.protocol import messages as m
from hazelhold.simhost import read_load

FULL, ERROR, MOOT, RESET, OK, CANCELLED = 34, 47, 102, 41, 16, 31  # causes of releases
REMARKS = {"cpu_full": "no_cores", "mem_full": "no_memory", "busy": "line_full", "wrong_host": "not_here"}
HOWS = {"oom": "evicted", "preempted": "pushed_out", "drained": "sent_away"}
WIDEST = 1e9  # a machine's figure past this is none: sums and squares of what is believed stay finite
STATES = {"in_service": "ready", "terminating": "cordoned", "terminated": "gone"}


class InvalidSubmissionError(Exception):
    """A set-up that cannot be used, though its message can be read."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(f"{code}: {text}")
        self.code = code


class ParsedSubmission(NamedTuple):
    """A set-up of an owner; `at` is the machine that has the guest already, if one has."""

    submit: m.Submit
    at: str


class SubmissionLimits(NamedTuple):
    """What a sound ask stays within: cores and memory of all that a machine takes, patience by product name
    in microseconds, and the names of customers."""

    max_resources: tuple[float, float]
    max_time_left: dict[str, int]
    customers: frozenset[str]


# Owners.


def parse_submission(binary: BinaryMessage, bounds: SubmissionLimits) -> ParsedSubmission:
    """BadAskError or CodecError if it cannot be used."""
    product, customer = binary.text(CLASS), binary.text(TENANT)
    if product not in bounds.max_time_left:
        raise InvalidSubmissionError("unknown_product", f"no product is called {product[:60]!r}")
    if customer and customer not in bounds.customers:
        raise InvalidSubmissionError("unknown_customer", f"no customer is called {customer[:60]!r}")
    figures = dict(part.partition(":")[::2] for part in binary.text(FIGURES).split(";") if part)
    cores = figure(figures.get("cores", ""), "cores")
    memory = figure(figures.get("memory", ""), "memory")
    if not (0 < cores <= bounds.max_resources[0] and 0 < memory <= bounds.max_resources[1]):
        raise InvalidSubmissionError("out_of_range", f"{cores:g} cores and {memory:g} of memory")
    at, left = figures.get("at", ""), binary.text(LEFT)
    time_left = figure(left, "the time") if left or not at else 0.0
    if not at and not 0 < time_left * 1000 <= bounds.max_time_left[product] + 1_000_000:
        raise InvalidSubmissionError("out_of_range", f"a patience of {time_left:g} ms")
    service, key = figures.get("service", ""), binary.text(NAME)
    if not key or len(key) > 200 or not service or len(service) > 200:
        raise InvalidSubmissionError("no_name", "task and service need a name of at most 200 letters")
    ticket = binary.text(TICKET)
    description = binary.parameters.get(DESCRIPTION, b"")
    binary.text(DESCRIPTION)  # it travels on as JSON text
    return ParsedSubmission(
        m.Submit(
            guest=binary.id,
            product=product,
            service=service,
            cores=cores,
            memory=memory,
            patience=max(0, round(time_left * 1000)),
            customer=customer,
            key=key,
            description=description,
            ticket=ticket,
        ),
        at,
    )


def figure(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise InvalidSubmissionError("no_figure", f"{what}: {text[:40]!r} is no figure")
    return value


def to_owner(message: m.Message) -> BinaryMessage | None:
    """What an owner is told; None for what this protocol has no word for."""
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
        return released(message.guest, OK if message.how == "done" else RESET)
    return None


def released(guest: str, cause: int, more: dict[int, bytes] | None = None) -> BinaryMessage:
    return BinaryMessage(END, guest, {**(more or {}), CAUSE: bytes((cause,))})


def acknowledged(guest: str) -> BinaryMessage:
    return BinaryMessage(HEARD, guest, {})


def probe_answer(guest: str, well: bool) -> BinaryMessage:
    return BinaryMessage(TESTED, guest, {CAUSE: bytes((int(well),))})


# Machines.


def to_machine(message: m.Message, left: int = 0) -> OutgoingLine | None:
    """`left` is how long the answer to an offer is waited for from now, in microseconds."""
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
    """What a machine's line means; `placed` tells whether its guest stands. CodecError if it says nothing
    that can be meant."""
    if line.op == "accept":
        if line.desc is None:
            raise CodecError("no_description", "an answer without a description")
        return m.OfferAccepted(guest=line.call, load=load(line), description=line.desc.encode())
    if line.op == "end":
        return ended(line, placed)
    if line.op == "tested":
        return m.Report(number=number(line.call), load=load(line), well=line.why == 1)
    if line.op == "info":
        return note(line)
    return None


def ended(line: Line, placed: bool) -> m.Message:
    told = line.text("note")
    if not placed:
        if line.why == FULL:
            return m.OfferRefused(guest=line.call, remark=REMARKS.get(told, ""), load=load(line))
        # A machine can end in these words only what it had accepted: its answer is still on its way.
        accepted = "done" if line.why == OK else HOWS.get(told, "cut") if line.why == RESET else "cut"
        how = {ERROR: "error", MOOT: "not_sent"}.get(line.why, accepted)
    elif line.why == OK:
        how = "done"
    elif line.why == CANCELLED:
        how = "stopped"
    else:
        how = "error" if line.why == ERROR else HOWS.get(told, "cut")
    return m.Ended(guest=line.call, how=how, load=load(line))


def note(line: Line) -> m.Message | None:
    told = line.text("note")
    if told == "up":
        return m.Started(guest=line.call)
    try:
        value = float(line.fields.get("value", ""))
    except (ValueError, OverflowError):
        return None
    if not sound(value):
        return None
    if told == "cpu":
        return m.ResourceUse(guest=line.call, cores=value)
    if told == "mem":
        return m.ResourceUse(guest=line.call, memory=value)
    if told == "share":
        return m.ServiceLevel(guest=line.call, share=value)
    if told == "tight":
        return m.MemoryPressure(share=value)
    return None


def load(line: Line) -> m.Load | None:
    """A report that came with a line; one that cannot be read is none."""
    text = line.text("load")
    if not text:
        return None
    try:
        report = read_load(text.replace(";", ","))
    except ValueError:
        return None
    if report is None or not all(sound(v) for v in report if v is not None):
        return None
    return m.Load(report.cores_free, report.memory_free, report.busy)


def sound(value: float) -> bool:
    return abs(value) <= WIDEST  # false for what is no number, too


def number(call: str) -> int:
    """The number of the probe that an id stands for; -1 if it stands for none."""
    try:
        return int(call, 16)
    except ValueError:
        return -1


# The bulletin.


def listing(roster: dict, zones: dict[str, int], wall: int) -> tuple[m.Listing, list[str]]:
    """A roster as a Listing, and what is wrong with the entries that are left out; `wall` is the Unix time in
    microseconds. A zone that is not in `zones` gets the next number there. ValueError if nothing of it can be
    read."""
    entries, faults = [], []
    for each in roster.get("hosts", []):
        try:
            entries.append(entry(each, zones, wall))
        except (ValueError, TypeError, KeyError, AttributeError, IndexError, OverflowError) as error:
            faults.append(f"{error!r:.120}")
    whole = bool(roster.get("whole")) and not faults  # what is missing may be what was left out
    return m.Listing(version=int(roster.get("seq", 0)), whole=whole, entries=entries), faults


def entry(each: dict, zones: dict[str, int], wall: int) -> m.Entry:
    """One machine of a roster, as in `listing`; any of the errors passed over there if it cannot be read."""
    born = float(each.get("born_ms") or 0)
    state = each["health"]
    try:
        room = [value if sound(value) else 0.0 for value in map(float, [*(each.get("room") or []), 0.0, 0.0])]
    except (ValueError, TypeError):
        if state == "in_service":  # one that leaves is told of whatever else cannot be read
            raise
        room = [0.0, 0.0]
    if state not in STATES:
        raise ValueError(f"the state {state!r} is not known")
    if not isinstance(each["host"], str) or not isinstance(each["dial"], str):
        raise ValueError("a machine without a name or an address")
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
        cores_room=room[0],
        memory_room=room[1],
    )
