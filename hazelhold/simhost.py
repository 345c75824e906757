"""Runs many schedulers for the simulator: decodes its lines into calls on each planner's Scheduler and
encodes the decisions. It decides nothing itself, and the planners share nothing but the numbered lists.

Run as `python -m hazelhold.simhost`; the protocol runs on standard input and output, errors go to standard
error.
"""

import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from hazelhold.interface import (
    Decision,
    DecisionKind,
    Deployment,
    DispatchOutcome,
    GuestClass,
    ListedMachine,
    Load,
    MachineKind,
    MachineMode,
    OutcomeReason,
    RepeatSemantics,
    Scope,
    Submission,
)
from hazelhold.scheduler import Scheduler

OUTCOMES = {
    "completed": DispatchOutcome.COMPLETED,
    "errored": DispatchOutcome.ERROR,
    "saturated": DispatchOutcome.REFUSED,
    "overdue": DispatchOutcome.TIMED_OUT,
    "refused_conn": DispatchOutcome.UNREACHABLE,
    "severed": DispatchOutcome.INTERRUPTED,
    "recalled": DispatchOutcome.WITHDRAWN,
    "superseded": DispatchOutcome.NOT_SENT,
}
MODES = {"healthy": MachineMode.READY, "cordoned": MachineMode.CORDONED, "deregistered": MachineMode.GONE}
REPEATS = {
    "retryable": RepeatSemantics.IDEMPOTENT,
    "dedup": RepeatSemantics.DEDUPLICATED,
    "fragile": RepeatSemantics.AT_MOST_ONCE,
}
SCOPES = {
    "off": Scope.NOWHERE,
    "machine": Scope.MACHINE,
    "cell": Scope.CELL,
    "zone": Scope.ZONE,
    "all": Scope.ALL,
}


class WireError(Exception):
    """A line that cannot be read; the message names the fault."""


def micros(text: str) -> int:
    """Converts milliseconds in text form to whole microseconds."""
    return round(float(text) * 1000) if text != "-" else 0


def millis(duration: int) -> str:
    """Converts microseconds to milliseconds in text form."""
    return f"{duration // 1000}.{duration % 1000:03d}"


def number(text: str) -> float:
    return float(text) if text != "-" else 0.0


def whole(text: str) -> int:
    return int(text) if text != "-" else 0


def truth(text: str) -> bool:
    return text in ("1", "true")


class Pairs:
    """The settings in a planner's first message, by path."""

    def __init__(self, parts: list[str]) -> None:
        self.values = dict(part.split("=", 1) for part in parts if "=" in part)

    def text(self, path: str) -> str:
        if path not in self.values:
            raise WireError(f"setting {path} is missing")
        return self.values[path]

    def read(self, path: str, read: Callable[[str], float]) -> float:
        text = self.text(path)
        try:
            return read(text)
        except (ValueError, OverflowError):
            raise WireError(f"setting {path} has the value {text!r}") from None

    def number(self, path: str) -> float:
        return self.read(path, float)

    def duration(self, path: str) -> int:
        return int(self.read(path, micros))

    def items(self, path: str) -> list[str]:
        text = self.text(path)
        return text.split(",") if text else []

    def word(self, path: str, words: dict) -> object:
        text = self.text(path)
        if text not in words:
            raise WireError(f"setting {path} has the value {text!r}")
        return words[text]

    def nth(self, path: str, index: int, read: Callable[[str], object]) -> object:
        items = self.items(path)
        try:
            return read(items[index])
        except (ValueError, OverflowError, IndexError, KeyError):
            raise WireError(f"setting {path} has no usable value number {index}") from None


def read_guest_class(pairs: Pairs, index: int) -> GuestClass:
    own = f"classes.{index}."
    family = "family-info."
    return GuestClass(
        repeat=pairs.word(own + "idempotency", REPEATS),
        dedup_scope=pairs.word(own + "group", SCOPES),
        dedup_window=pairs.duration(own + "dedup-window"),
        start_target=pairs.duration(own + "on-time"),
        value=pairs.number(own + "points"),
        start_value=pairs.nth(family + "start-bonus-s", index, float),
        priority=pairs.nth(family + "class-priority", index, int),
        full_service_load=pairs.nth(family + "easy-until", index, float),
        service_fade=pairs.nth(family + "lost-after", index, float),
        machine_kind=pairs.nth(family + "class-kind", index, int),
        spread_scope=pairs.nth(family + "spread-over", index, SCOPES.__getitem__),
        spread_limit=pairs.nth(family + "class-most", index, int),
    )


def read_deployment(pairs: Pairs) -> Deployment:
    family = "family-info."
    sizes = zip(pairs.items(family + "size-cores"), pairs.items(family + "mem-of-kind"), strict=True)
    polled = pairs.text("discovery") == "ask"
    return Deployment(
        planners=int(pairs.number("balancers")),
        slot=int(pairs.number("slot-no")),
        guest_classes=tuple(read_guest_class(pairs, i) for i in range(int(pairs.number("classes.count")))),
        machine_kinds=tuple(MachineKind(float(cores), float(memory)) for cores, memory in sizes),
        list_is_polled=polled,
        list_poll_limit=pairs.duration("rules.ask-within") if polled else 0,
        list_shows_free=truth(pairs.text(family + "lists-free")),
        cores_multiple=pairs.number(family + "cores-multiple"),
        memory_multiple=pairs.number(family + "accepts-memory"),
        preempts=truth(pairs.text(family + "makes-room")),
        confirms_when_running=pairs.text(family + "confirms") == "running",
        probing=truth(pairs.text("limits.probing")),
        reports_count_requested=pairs.text(family + "report-counts") == "asked",
        max_dispatches=int(pairs.number("limits.max-attempts")),
        warmup_time=pairs.duration("rules.cold"),
        cold_from=pairs.number("rules.cold-from"),
        cold_budget_window=pairs.duration("rules.tip-after"),
        cold_offers=pairs.number(family + "fresh-offers"),
        fleet_price=pairs.number("penalties.fleet") if "penalties.fleet" in pairs.values else 0.0,
        reports_on_probe=pairs.values.get("load-report.how") == "on_probe"
        and truth(pairs.text("limits.probing")),
    )


def read_load(text: str) -> Load | None:
    """Reads a load report of name:value pairs; unknown names are ignored."""
    if text == "-":
        return None
    values = dict(part.split(":", 1) for part in text.split(",") if ":" in part)
    read = {name: float(value) for name, value in values.items() if name in ("x0", "x1", "busy")}
    return Load(read.get("x0"), read.get("x1"), read.get("busy"))


def read_reason(text: str) -> OutcomeReason:
    code = whole(text)
    return OutcomeReason(code) if 0 <= code <= 7 else OutcomeReason.NONE


def read_row(parts: list[str]) -> ListedMachine:
    mode, started, machine, zone, cell, memory, _weight, cores, kind = parts[1:10]
    if mode not in MODES:
        raise WireError(f"mode {mode!r} is not known")
    return ListedMachine(
        machine,
        MODES[mode],
        micros(started),
        whole(zone),
        whole(cell),
        whole(kind),
        number(cores),
        number(memory),
    )


class Instance:
    """One planner: its scheduler and its pending timer."""

    def __init__(self, name: str, scheduler: Scheduler) -> None:
        self.name = name
        self.scheduler = scheduler
        self.alarm = 0
        self.token = 0


class Host:
    """All planners of this process, and the numbered lists that they share."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.lists: dict[int, list[ListedMachine]] = {}
        self.touched: dict[str, None] = {}
        self.faults: dict[str, str] = {}
        self.events: dict[str, Callable[[int, Scheduler, list[str]], None]] = {
            "DISCOVERY": self.discovery,
            "SUBMIT": self.submit,
            "OUTCOME": self.outcome,
            "TAKEN": self.taken,
            "DROPPED": self.dropped,
            "PEER": self.nothing,
            "PROBE_RESULT": self.probed,
            "WAKE": self.nothing,
            "NOTE": self.note,
            "FOUND": self.found,
        }

    def event(self, now: int, parts: list[str]) -> None:
        """Delivers one event line, already split, to the planner that it names."""
        name, who = parts[0], parts[1] if len(parts) > 1 else ""
        if name == "ENLIST":
            self.touched[who] = None
            self.faults.pop(who, None)
            try:
                self.instances[who] = Instance(
                    who, Scheduler(whole(parts[2]), read_deployment(Pairs(parts[3:])))
                )
            except (WireError, ValueError) as error:
                self.instances.pop(who, None)
                self.faults[who] = str(error)
        elif name == "KILL":
            self.instances.pop(who, None)
            self.touched.pop(who, None)
            self.faults.pop(who, None)
        elif name not in self.events:
            raise WireError(f"event {name} is not known")
        elif who in self.instances:
            self.touched[who] = None
            self.events[name](now, self.instances[who].scheduler, parts)

    def nothing(self, now: int, scheduler: Scheduler, parts: list[str]) -> None:
        """An event that only makes the planner decide again."""

    def discovery(self, now: int, scheduler: Scheduler, parts: list[str]) -> None:
        how = parts[2]
        if how == "broken":
            scheduler.list_failed(now)
        elif how in ("patch", "whole", "stale_copy"):
            if whole(parts[3]) not in self.lists:
                raise WireError(f"list {parts[3]} was never registered")
            scheduler.machines_listed(now, self.lists[whole(parts[3])], how != "patch")
        else:
            raise WireError(f"discovery of kind {how!r} is not known")

    def submit(self, now: int, scheduler: Scheduler, parts: list[str]) -> None:
        call, product, customer, _unit, time_left, _life, service, cores, memory, _marks = parts[2:12]
        scheduler.guest_submitted(
            now,
            Submission(
                call, int(product), whole(customer), service, number(cores), number(memory), micros(time_left)
            ),
        )

    def found(self, now: int, scheduler: Scheduler, parts: list[str]) -> None:
        call, machine, memory, _life, service, _unit, _marks, time_left, product, customer, cores = parts[
            2:13
        ]
        scheduler.guest_discovered(
            now,
            machine,
            Submission(
                call, int(product), whole(customer), service, number(cores), number(memory), micros(time_left)
            ),
        )

    def outcome(self, now: int, scheduler: Scheduler, parts: list[str]) -> None:
        call, _attempt, machine, reason, _took, final, reason_code, metrics = parts[2:10]
        if reason not in OUTCOMES:
            raise WireError(f"outcome {reason!r} is not known")
        scheduler.machine_reported(now, machine, read_load(metrics))
        scheduler.dispatch_ended(now, call, OUTCOMES[reason], truth(final), read_reason(reason_code))

    def taken(self, now: int, scheduler: Scheduler, parts: list[str]) -> None:
        scheduler.dispatch_accepted(now, parts[2], micros(parts[5]))

    def dropped(self, now: int, scheduler: Scheduler, parts: list[str]) -> None:
        scheduler.guest_abandoned(now, parts[2])

    def probed(self, now: int, scheduler: Scheduler, parts: list[str]) -> None:
        machine, reason, _took, metrics = parts[2:6]
        scheduler.machine_reported(now, machine, read_load(metrics))
        scheduler.probe_answered(now, machine, reason == "completed")

    def note(self, now: int, scheduler: Scheduler, parts: list[str]) -> None:
        call, machine, sort, _attempt, value = parts[2:7]
        if sort == "1":
            scheduler.guest_started(now, call)
        elif sort == "2":
            scheduler.cores_used(now, call, number(value))
        elif sort == "3":
            scheduler.memory_used(now, call, number(value))
        elif sort == "4":
            scheduler.service_level_reported(now, call, number(value))
        elif sort == "5":
            scheduler.memory_pressure_reported(now, machine, number(value))

    def replies(self, now: int) -> Iterator[str]:
        """The decisions of the planners that had an event, in the order of their first event."""
        for who in self.touched:
            if who in self.faults:
                yield f"DIE {who} {self.faults.pop(who)}"
                continue
            if who not in self.instances:
                continue
            instance = self.instances[who]
            while (decision := instance.scheduler.decide(now)) is not None:
                yield encode(who, decision)
            wake = instance.scheduler.next_decision_at(now)
            if wake is not None and (instance.alarm <= now or wake < instance.alarm):
                instance.alarm = max(wake, now + 1)
                instance.token += 1
                yield f"NOTIFY_ME {who} {millis(instance.alarm - now)} {instance.token}"
        self.touched.clear()


def encode(who: str, decision: Decision) -> str:
    kind, guest, machine, timeout = decision
    if kind is DecisionKind.DISPATCH:
        return f"BIND {who} {guest} {machine} {millis(timeout)}"
    if kind is DecisionKind.REFUSE:
        return f"SAY_NO {who} {guest} {millis(timeout)}"
    if kind is DecisionKind.FAIL:
        return f"SURRENDER {who} {guest}"
    if kind is DecisionKind.PROBE:
        return f"INSPECT {who} {machine}"
    return f"WATCH {who} 1"


def serve(source: TextIO, sink: TextIO) -> int:
    """Answers batches of lines until the input ends; returns the exit code."""
    host = Host()
    now = 0
    rows: list[ListedMachine] = []
    rows_left = 0
    for count, line in enumerate(source, 1):
        parts = line.rstrip("\r\n").split(" ")
        name = parts[0]
        try:
            if rows_left and name != "ROW":
                raise WireError(f"{rows_left} rows of a list are missing")
            if name == "ROW":
                if not rows_left:
                    raise WireError("a row outside a list")
                rows.append(read_row(parts))
                rows_left -= 1
            elif name == "REGISTER":
                rows, rows_left = [], whole(parts[2])
                host.lists[int(parts[1])] = rows
            elif name == "TICK":
                now = micros(parts[1])
            elif name == "COMMIT":
                for reply in host.replies(now):
                    sink.write(reply + "\n")
                sink.write("EOR\n")
                sink.flush()
            elif name:
                host.event(now, parts)
        except (WireError, ValueError, IndexError) as error:
            print(f"simhost: line {count} ({name}): {error}", file=sys.stderr)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
