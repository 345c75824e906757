"""One life of one planner: rules 1, 2, 3 and 5, from its own end of the connections."""

from collections import Counter
from typing import Any, NamedTuple

from hazelhold.audit.dispatches import Ask, Attempt
from hazelhold.audit.findings import (
    ANSWER_SLACK,
    FINAL_ANSWERS,
    RETURN_ALLOWANCE,
    AuditRules,
    RuleViolation,
    violation,
)
from hazelhold.audit.timeline import Outages, Timeline
from hazelhold.protocol.record import Crossing

AskKey = tuple[str, int]  # a task's name and the number of the ask


class Told(NamedTuple):
    """What the planner was told of a machine last, and by which crossing."""

    mode: str
    since: Crossing


class Place(NamedTuple):
    """Where a machine stands."""

    zone: int = 0
    cell: int = 0


class Seat(NamedTuple):
    """Where a task is, or is on its way to."""

    machine: str
    service: str


class PlannerRunAudit:
    """Judges the crossings of one life. What it finds is in `found`; `tally` counts, `open_asks` names what
    was never answered."""

    def __init__(self, planner: str, rules: AuditRules, timeline: Timeline) -> None:
        self.planner, self.rules, self.timeline = planner, rules, timeline
        self.found: list[RuleViolation] = []
        self.tally: Counter[str] = Counter()
        self.open_asks: list[str] = []
        self.asks: dict[AskKey, Ask] = {}
        self.submits: dict[AskKey, Crossing] = {}
        self.told: dict[str, Told] = {}  # by machine
        self.places: dict[str, Place] = {}  # by machine
        self.seats: dict[AskKey, Seat] = {}
        self.killed_at = 0
        self.outages = Outages([])

    def evaluate(self, crossings: list[Crossing]) -> None:
        """Takes the crossings of the whole life, in order."""
        self.outages = Outages(crossings)
        for c in crossings:
            if c.way == "planner_kill" or c.way == "planner_stop" and self.rules.durable:
                self._died(c)
            elif c.way == "planner_start":
                self.killed_at = 0 if self.rules.durable else self.killed_at
            else:
                self._crossed(c)
        self._judge_unanswered()

    def _breach(self, rule: int, what: str, frames: list[Crossing], task: str, machine: str = "") -> None:
        self.found.append(violation(rule, what, self.planner, frames, task, machine))

    def _died(self, c: Crossing) -> None:
        self.killed_at = c.at
        unkept = (c.message or {}).get("unkept")
        for ask in self.asks.values():
            ask.connections_shut()
            if unkept:  # its disk had failed: it owes as if it had none
                ask.excused |= self._effect(ask) == "rerunnable"
                ask.forgotten = True

    def _crossed(self, c: Crossing) -> None:
        body = c.message or {}
        kind, key = body.get("t", ""), (body.get("guest", ""), body.get("ask", 0))
        leaves = c.way in ("out", "kept")
        if kind == "submit" and c.way == "in":
            self.submits[key] = c
        elif kind == "held" and leaves:
            self._take(key, c)
        elif kind in FINAL_ANSWERS and leaves:
            self._answer(self.asks.get(key), key[0], c)
        elif kind == "state" and leaves and self.rules.durable:
            self._answer_when_asked(self.asks.get(key), c)
        elif kind == "listing" and c.way == "in":
            self._list_told(c)
        elif kind == "offer" and c.way == "out":
            self._offer(c, key)
        elif kind == "withdraw" and c.way == "out":
            self._withdraw(c.peer, key, body)
        elif c.way == "shut":
            for ask in self.asks.values():
                ask.connections_shut(c.peer)
        elif kind == "running" and c.way == "in":
            self._machine_lists_all(c)
        elif kind in ("taken", "refused", "ended") and c.way == "in":
            self._machine_answers(c.peer, kind, key, body)

    # Owners.

    def _take(self, key: AskKey, c: Crossing) -> None:
        if key in self.asks:
            return
        self.tally["taken"] += 1
        submit = self.submits.get(key)
        self.asks[key] = Ask(submit or c, submit.message if submit else None)

    def _answer(self, ask: Ask | None, task: str, c: Crossing) -> None:
        kind = c.message["t"]
        if ask is None or ask.excused:
            return  # a repeat of an answer that an earlier ask got, or all that is known of it is old
        if ask.finals:
            first = ask.finals[0]
            if first.message["t"] not in (kind, "state") and not ask.forgotten:
                what = f"two final answers: {first.message['t']}, then {kind}"
                self._breach(1, what, [ask.taken, first, c], task)
            return
        ask.finals.append(c)
        self.tally[kind] += 1
        self._judge_lateness(ask, task, c)
        if kind == "turned_back":
            self._judge_refusal(ask, task, c)

    def _judge_lateness(self, ask: Ask, task: str, c: Crossing) -> None:
        patience = ask.submit.get("patience")
        if patience is None:
            return
        due = ask.taken.at + patience
        if c.at > due + ANSWER_SLACK and not self.outages.excuse(due + ANSWER_SLACK, c.at):
            what = f"answered {(c.at - due) / 1000:.0f} ms after the patience"
            self._breach(1, what, [ask.taken, c], task)

    def _judge_refusal(self, ask: Ask, task: str, c: Crossing) -> None:
        effect = self._effect(ask)
        group = self._product(ask.product).get("group")
        once = effect == "exclusive" or effect == "ticketed" and group != "all"
        if once and (ran := ask.may_have_run):
            what = "turned back though a dispatch may have run"
            self._breach(2, what, [ask.taken, ran[0].crossing, c], task, ran[0].machine)

    def _answer_when_asked(self, ask: Ask | None, c: Crossing) -> None:
        """A planner that died before it sent an answer gives it when its owner asks."""
        state = c.message.get("state", "")
        if ask is None or ask.finals:
            return
        late = c.at > ask.taken.at + ask.submit.get("patience", 0)  # its answer was that its fate is open
        if state not in ("held", "out", "unsettled", "unknown") or state == "unsettled" and late:
            ask.finals.append(c)
            self.tally["answered_when_asked"] += 1

    def _product(self, name: str) -> dict[str, Any]:
        return self.rules.products.get(name, {})

    def _effect(self, ask: Ask) -> str:
        return self._product(ask.product).get("effect", "")

    # The list.

    def _list_told(self, c: Crossing) -> None:
        entries = c.message.get("entries", [])
        for entry in entries:
            name, mode = entry["machine"], entry["mode"]
            self.places[name] = Place(entry.get("zone", 0), entry.get("cell", 0))
            if name not in self.told or self.told[name].mode != mode:
                self.told[name] = Told(mode, c)
        if c.message.get("whole"):
            for name in self.told.keys() - {e["machine"] for e in entries}:
                if self.told[name].mode != "gone":
                    self.told[name] = Told("gone", c)

    # Attempts.

    def _offer(self, c: Crossing, key: AskKey) -> None:
        task, machine = key[0], c.peer
        if key not in self.asks and key in self.submits and self.rules.durable:
            submit = self.submits[key]  # the planner died before it could say that it took the task
            self.asks[key] = Ask(submit, submit.message)
        self.tally["dispatches"] += 1
        ask = self.asks.get(key)
        if ask is None:
            self._breach(1, "a dispatch for a guest that was never taken", [c], task, machine)
            return
        if ask.excused:
            return
        if ask.finals:
            what = "a dispatch after the final answer"
            self._breach(1, what, [ask.taken, ask.finals[0], c], task, machine)
        self._judge_number(ask, task, c)
        self._judge_effect(ask, task, c)
        self._judge_mode(task, c)
        self._judge_spread(key, c)
        ask.attempts.append(Attempt(c))

    def _judge_number(self, ask: Ask, task: str, c: Crossing) -> None:
        out = [a for a in ask.attempts if a.out]
        if out:
            self._breach(2, "two dispatches out", [out[0].crossing, c], task, c.peer)
        if len(ask.attempts) >= self.rules.max_dispatches:
            what = f"dispatch number {len(ask.attempts) + 1}"
            self._breach(2, what, [ask.taken, c], task, c.peer)

    def _judge_effect(self, ask: Ask, task: str, c: Crossing) -> None:
        ran = ask.may_have_run
        if not ran:
            return
        product, first = self._product(ask.product), ran[0]
        frames = [first.crossing, c]
        if product.get("effect") == "exclusive":
            what = "an exclusive guest sent again though a dispatch may have run"
            self._breach(2, what, frames, task, c.peer)
        elif product.get("effect") == "ticketed":
            if c.at > first.at + product["window"]:
                self._breach(2, "a ticketed guest sent again after its window", frames, task, c.peer)
            reach = product["group"]
            if self._group(reach, c.peer) != self._group(reach, first.machine):
                self._breach(2, "a ticketed guest sent outside its group", frames, task, c.peer)

    def _judge_mode(self, task: str, c: Crossing) -> None:
        mode, since = self.told.get(c.peer, Told("unlisted", c))
        if mode != "ready" and (mode == "unlisted" or c.at > since.at + self.rules.drain_grace):
            self._breach(3, f"a dispatch to a machine told {mode}", [since, c], task, c.peer)

    def _judge_spread(self, key: AskKey, c: Crossing) -> None:
        product = self._product(c.message.get("product", ""))
        reach, service = product.get("spread", "nowhere"), c.message["service"]
        if reach != "nowhere":
            group = self._group(reach, c.peer)
            there = sum(
                seat.service == service and self._group(reach, seat.machine) == group
                for other, seat in self.seats.items()
                if other != key
            )
            if there + 1 > product["spread_most"]:
                what = f"{there + 1} guests of {service} in one {reach}"
                self._breach(5, what, [c], key[0], c.peer)
        self.seats[key] = Seat(c.peer, service)

    def _group(self, reach: str, machine: str) -> object:
        place = self.places.get(machine, Place())
        return {"machine": machine, "cell": place.cell, "zone": place.zone}.get(reach, "")

    def _withdraw(self, machine: str, key: AskKey, body: dict[str, Any]) -> None:
        for attempt in self._matching(machine, key, body):
            if attempt.out and not attempt.taken:
                attempt.out = False
                self.seats.pop(key, None)

    def _matching(self, machine: str, key: AskKey, body: dict[str, Any]) -> list[Attempt]:
        ask = self.asks.get(key)
        return ask.matching(machine, body) if ask else []

    # Machines.

    def _machine_answers(self, machine: str, kind: str, key: AskKey, body: dict[str, Any]) -> None:
        for attempt in self._matching(machine, key, body):
            attempt.out = False
            if kind == "taken":
                attempt.taken = True
                self.seats[key] = Seat(machine, self.asks[key].submit.get("service", ""))
                continue
            attempt.ended = True
            if kind == "refused" or body.get("how") == "withdrawn":
                attempt.never_ran = True
        if kind != "taken" and key in self.seats and self.seats[key].machine == machine:
            del self.seats[key]

    def _machine_lists_all(self, c: Crossing) -> None:
        """A machine's whole word on a planner's tasks, after a new connection: what is missing never
        arrived, if the machine remembers all and lives the life in which it was offered."""
        machine = c.peer
        listed = {(s["guest"], s["ask"]): s for s in c.message["guests"]}
        for key, stand in listed.items():
            if stand["state"] in ("runs", "accepted") and key not in self.asks:
                self.seats[key] = Seat(machine, stand["service"])
        for key, ask in self.asks.items():
            for attempt in ask.attempts:
                if attempt.machine == machine and not attempt.never_ran and not attempt.ended:
                    self._compare(attempt, listed.get(key), c)
        here = {key for key, stand in listed.items() if stand["state"] != "ended"}
        for key in [k for k, seat in self.seats.items() if seat.machine == machine and k not in here]:
            del self.seats[key]

    def _compare(self, attempt: Attempt, stand: dict[str, Any] | None, c: Crossing) -> None:
        if stand is None:
            attempt.out = False
            same_life = self.timeline.machine_life(c.peer, attempt.at) == self.timeline.machine_life(
                c.peer, c.at
            )
            attempt.never_ran = bool(c.message.get("complete", True)) and not attempt.taken and same_life
        elif stand["state"] == "ended":
            attempt.out, attempt.ended = False, True
            attempt.never_ran = stand.get("how") == "withdrawn"

    # What was never answered.

    def _judge_unanswered(self) -> None:
        for (task, number), ask in self.asks.items():
            if ask.finals:
                continue
            if ask.excused:
                self.tally["died_with_planner"] += 1
                continue
            due = ask.taken.at + ask.submit.get("patience", 0) + ANSWER_SLACK
            if self.rules.durable and self.timeline.newest_ask(task) > number:
                self.tally["asked_anew"] += 1  # while its planner was down; the newer ask is owed
            elif self.rules.durable and not self._owner_asked_since(task, ask.taken.at, due):
                self.tally["never_asked_for"] += 1  # the answer is kept for an owner that does not come
            elif self.killed_at and self.killed_at <= due:
                self.tally["died_with_planner"] += 1
            elif due <= self.timeline.ends_at:
                self.tally["unanswered"] += 1
                self.open_asks.append(f"{task}/{number}")
                self._breach(1, "no final answer", [ask.taken], task)

    def _owner_asked_since(self, task: str, taken: int, due: int) -> bool:
        """Whether the owner came back for a task whose planner died with it: True if it did not die."""
        deaths = [at for at in self.outages.deaths if taken <= at <= due + RETURN_ALLOWANCE]
        return not deaths or self.timeline.owner_came_back(task, self.planner, deaths[-1])
