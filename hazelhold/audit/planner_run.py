"""Checks of one run of a planner against rules 1, 2, 3 and 5, from the records of its own connection ends."""

from collections import Counter
from typing import Any, NamedTuple

from hazelhold.audit.dispatches import Dispatch, Submission
from hazelhold.audit.findings import (
    ANSWER_SLACK,
    FINAL_ANSWERS,
    RETURN_ALLOWANCE,
    AuditRules,
    RuleViolation,
    violation,
)
from hazelhold.audit.timeline import Outages, Timeline
from hazelhold.protocol.record import RecordedMessage

SubmissionKey = tuple[str, int]  # guest and number of the submission


class ListedState(NamedTuple):
    """The mode of a machine that the list reported last, and the message that changed it."""

    mode: str
    since: RecordedMessage


class MachineLocation(NamedTuple):
    """The zone and the cell of a machine."""

    zone: int = 0
    cell: int = 0


class PlacedGuest(NamedTuple):
    """The machine that a guest is placed on or offered to, and its service."""

    machine: str
    service: str


class PlannerRunAudit:
    """Checks the recorded messages of one run of a planner.

    Violations are in `found`, counts of events in `tally`, submissions without a final answer in
    `unanswered`.
    """

    def __init__(self, planner: str, rules: AuditRules, timeline: Timeline) -> None:
        self.planner, self.rules, self.timeline = planner, rules, timeline
        self.found: list[RuleViolation] = []
        self.tally: Counter[str] = Counter()
        self.unanswered: list[str] = []
        self.submissions: dict[SubmissionKey, Submission] = {}
        self.submits: dict[SubmissionKey, RecordedMessage] = {}
        self.listed_states: dict[str, ListedState] = {}  # by machine
        # It asks the list service to confirm, so it is bound by what that has told any planner.
        self.asks_list = False
        self.locations: dict[str, MachineLocation] = {}  # by machine
        self.placed_guests: dict[SubmissionKey, PlacedGuest] = {}
        self.killed_at = 0
        self.outages = Outages([])

    def evaluate(self, crossings: list[RecordedMessage]) -> None:
        """Checks the messages of the whole run, in order."""
        self.outages = Outages(crossings)
        for c in crossings:
            if c.way == "planner_kill" or c.way == "planner_stop" and self.rules.durable:
                self._planner_stopped(c)
            elif c.way == "planner_start":
                self.killed_at = 0 if self.rules.durable else self.killed_at
            else:
                self._process(c)
        self._check_unanswered()

    def _add_violation(
        self, rule: int, what: str, frames: list[RecordedMessage], guest: str, machine: str = ""
    ) -> None:
        self.found.append(violation(rule, what, self.planner, frames, guest, machine))

    def _planner_stopped(self, c: RecordedMessage) -> None:
        self.killed_at = c.at
        unkept = (c.message or {}).get("unkept")
        for submission in self.submissions.values():
            submission.connections_closed()
            if unkept:  # its disk had failed: treated like a planner without durable state
                submission.excused |= self._repeat(submission) == "rerunnable"
                submission.state_lost = True

    def _process(self, c: RecordedMessage) -> None:
        body = c.message or {}
        kind, key = body.get("t", ""), (body.get("guest", ""), body.get("ask", 0))
        is_sent = c.way in ("out", "kept")
        if kind == "submit" and c.way == "in":
            self.submits[key] = c
        elif kind == "held" and is_sent:
            self._accept(key, c)
        elif kind in FINAL_ANSWERS and is_sent:
            self._answer(self.submissions.get(key), key[0], c)
        elif kind == "state" and is_sent and self.rules.durable:
            self._record_queried_state(self.submissions.get(key), c)
        elif kind == "listing" and c.way == "in":
            self._update_list(c)
        elif kind == "confirm" and c.way == "out":
            self.asks_list = True
        elif kind == "offer" and c.way == "out":
            self._offer(c, key)
        elif kind == "withdraw" and c.way == "out":
            self._withdraw(c.peer, key, body)
        elif c.way == "shut":
            for submission in self.submissions.values():
                submission.connections_closed(c.peer)
        elif kind == "running" and c.way == "in":
            self._receive_inventory(c)
        elif kind in ("taken", "refused", "ended") and c.way == "in":
            self._receive_outcome(c.peer, kind, key, body)

    # Owners.

    def _accept(self, key: SubmissionKey, c: RecordedMessage) -> None:
        if key in self.submissions:
            return
        self.tally["taken"] += 1
        submit = self.submits.get(key)
        self.submissions[key] = Submission(submit or c, submit.message if submit else None)

    def _answer(self, submission: Submission | None, guest: str, c: RecordedMessage) -> None:
        kind = c.message["t"]
        if submission is None or submission.excused:
            return  # repeats the answer to an earlier submission, or only outdated state is known
        if submission.final_answers:
            first = submission.final_answers[0]
            if first.message["t"] not in (kind, "state") and not submission.state_lost:
                what = f"two final answers: {first.message['t']}, then {kind}"
                self._add_violation(1, what, [submission.accepted, first, c], guest)
            return
        submission.final_answers.append(c)
        self.tally[kind] += 1
        self._check_lateness(submission, guest, c)
        if kind == "turned_back":
            self._check_refusal(submission, guest, c)

    def _check_lateness(self, submission: Submission, guest: str, c: RecordedMessage) -> None:
        time_left = submission.submit.get("patience")
        if time_left is None:
            return
        due = submission.accepted.at + time_left
        if c.at > due + ANSWER_SLACK and not self.outages.excuse(due + ANSWER_SLACK, c.at):
            what = f"answered {(c.at - due) / 1000:.0f} ms after the patience"
            self._add_violation(1, what, [submission.accepted, c], guest)

    def _check_refusal(self, submission: Submission, guest: str, c: RecordedMessage) -> None:
        repeat = self._repeat(submission)
        group = self._guest_class(submission.guest_class).get("group")
        once = repeat == "exclusive" or repeat == "ticketed" and group != "all"
        if once and (ran := submission.may_have_run):
            what = "turned back though a dispatch may have run"
            self._add_violation(2, what, [submission.accepted, ran[0].crossing, c], guest, ran[0].machine)

    def _record_queried_state(self, submission: Submission | None, c: RecordedMessage) -> None:
        """Counts a state report as the final answer if the planner died before it could send the answer."""
        state = c.message.get("state", "")
        if submission is None or submission.final_answers:
            return
        # The answer at the deadline was that the outcome is unknown.
        overdue = c.at > submission.accepted.at + submission.submit.get("patience", 0)
        if state not in ("held", "out", "unsettled", "unknown") or state == "unsettled" and overdue:
            submission.final_answers.append(c)
            self.tally["answered_when_asked"] += 1

    def _guest_class(self, name: str) -> dict[str, Any]:
        return self.rules.products.get(name, {})

    def _repeat(self, submission: Submission) -> str:
        return self._guest_class(submission.guest_class).get("effect", "")

    # The list.

    def _update_list(self, c: RecordedMessage) -> None:
        entries = c.message.get("entries", [])
        for entry in entries:
            name, mode = entry["machine"], entry["mode"]
            self.locations[name] = MachineLocation(entry.get("zone", 0), entry.get("cell", 0))
            if name not in self.listed_states or self.listed_states[name].mode != mode:
                self.listed_states[name] = ListedState(mode, c)
        if c.message.get("whole"):
            for name in self.listed_states.keys() - {e["machine"] for e in entries}:
                if self.listed_states[name].mode != "gone":
                    self.listed_states[name] = ListedState("gone", c)

    # Dispatches.

    def _offer(self, c: RecordedMessage, key: SubmissionKey) -> None:
        guest, machine = key[0], c.peer
        if key not in self.submissions and key in self.submits and self.rules.durable:
            submit = self.submits[key]  # the planner died before it could acknowledge the guest
            self.submissions[key] = Submission(submit, submit.message)
        self.tally["dispatches"] += 1
        submission = self.submissions.get(key)
        if submission is None:
            self._add_violation(1, "a dispatch for a guest that was never taken", [c], guest, machine)
            return
        if submission.excused:
            return
        if submission.final_answers:
            what = "a dispatch after the final answer"
            self._add_violation(
                1, what, [submission.accepted, submission.final_answers[0], c], guest, machine
            )
        self._check_number(submission, guest, c)
        self._check_repeat(submission, guest, c)
        self._check_mode(guest, c)
        self._check_spread(key, c)
        submission.dispatches.append(Dispatch(c))

    def _check_number(self, submission: Submission, guest: str, c: RecordedMessage) -> None:
        outstanding = [a for a in submission.dispatches if a.outstanding]
        if outstanding:
            self._add_violation(2, "two dispatches out", [outstanding[0].crossing, c], guest, c.peer)
        if len(submission.dispatches) >= self.rules.max_dispatches:
            what = f"dispatch number {len(submission.dispatches) + 1}"
            self._add_violation(2, what, [submission.accepted, c], guest, c.peer)

    def _check_repeat(self, submission: Submission, guest: str, c: RecordedMessage) -> None:
        ran = submission.may_have_run
        if not ran:
            return
        guest_class, first = self._guest_class(submission.guest_class), ran[0]
        frames = [first.crossing, c]
        if guest_class.get("effect") == "exclusive":
            what = "an exclusive guest sent again though a dispatch may have run"
            self._add_violation(2, what, frames, guest, c.peer)
        elif guest_class.get("effect") == "ticketed":
            if c.at > first.at + guest_class["window"]:
                self._add_violation(2, "a ticketed guest sent again after its window", frames, guest, c.peer)
            scope = guest_class["group"]
            if self._scope_group(scope, c.peer) != self._scope_group(scope, first.machine):
                self._add_violation(2, "a ticketed guest sent outside its group", frames, guest, c.peer)

    def _check_mode(self, guest: str, c: RecordedMessage) -> None:
        mode, since = self.listed_states.get(c.peer, ListedState("unlisted", c))
        if mode != "ready" and (mode == "unlisted" or c.at > since.at + self.rules.drain_grace):
            self._add_violation(3, f"a dispatch to a machine told {mode}", [since, c], guest, c.peer)
        elif self.asks_list and (told := self.timeline.told_mode(c.peer, c.at)):
            if told.mode != "ready" and c.at > told.since.at + self.rules.drain_grace:
                what = f"a dispatch to a machine that others were told {told.mode}"
                self._add_violation(3, what, [told.since, c], guest, c.peer)

    def _check_spread(self, key: SubmissionKey, c: RecordedMessage) -> None:
        guest_class = self._guest_class(c.message.get("product", ""))
        scope, service = guest_class.get("spread", "nowhere"), c.message["service"]
        if scope != "nowhere":
            group = self._scope_group(scope, c.peer)
            there = sum(
                placed_guest.service == service and self._scope_group(scope, placed_guest.machine) == group
                for other, placed_guest in self.placed_guests.items()
                if other != key
            )
            if there + 1 > guest_class["spread_most"]:
                what = f"{there + 1} guests of {service} in one {scope}"
                self._add_violation(5, what, [c], key[0], c.peer)
        self.placed_guests[key] = PlacedGuest(c.peer, service)

    def _scope_group(self, scope: str, machine: str) -> object:
        location = self.locations.get(machine, MachineLocation())
        return {"machine": machine, "cell": location.cell, "zone": location.zone}.get(scope, "")

    def _withdraw(self, machine: str, key: SubmissionKey, body: dict[str, Any]) -> None:
        for dispatch in self._matching(machine, key, body):
            if dispatch.outstanding and not dispatch.accepted:
                dispatch.outstanding = False
                self.placed_guests.pop(key, None)

    def _matching(self, machine: str, key: SubmissionKey, body: dict[str, Any]) -> list[Dispatch]:
        submission = self.submissions.get(key)
        return submission.matching(machine, body) if submission else []

    # Machines.

    def _receive_outcome(self, machine: str, kind: str, key: SubmissionKey, body: dict[str, Any]) -> None:
        for dispatch in self._matching(machine, key, body):
            dispatch.outstanding = False
            if kind == "taken":
                dispatch.accepted = True
                self.placed_guests[key] = PlacedGuest(
                    machine, self.submissions[key].submit.get("service", "")
                )
                continue
            dispatch.ended = True
            if kind == "refused" or body.get("how") == "withdrawn":
                dispatch.never_ran = True
        if kind != "taken" and key in self.placed_guests and self.placed_guests[key].machine == machine:
            del self.placed_guests[key]

    def _receive_inventory(self, c: RecordedMessage) -> None:
        """Applies a machine's inventory after a reconnect.

        A dispatch that is missing never arrived, provided that the inventory is complete and the machine has
        not restarted since the offer.
        """
        machine = c.peer
        inventory = {(s["guest"], s["ask"]): s for s in c.message["guests"]}
        for key, item in inventory.items():
            if item["state"] in ("runs", "accepted") and key not in self.submissions:
                self.placed_guests[key] = PlacedGuest(machine, item["service"])
        for key, submission in self.submissions.items():
            for dispatch in submission.dispatches:
                if dispatch.machine == machine and not dispatch.never_ran and not dispatch.ended:
                    self._compare_with_inventory(dispatch, inventory.get(key), c)
        here = {key for key, item in inventory.items() if item["state"] != "ended"}
        for key in [
            k
            for k, placed_guest in self.placed_guests.items()
            if placed_guest.machine == machine and k not in here
        ]:
            del self.placed_guests[key]

    def _compare_with_inventory(
        self, dispatch: Dispatch, item: dict[str, Any] | None, c: RecordedMessage
    ) -> None:
        if item is None:
            dispatch.outstanding = False
            same_incarnation = self.timeline.machine_incarnation(
                c.peer, dispatch.at
            ) == self.timeline.machine_incarnation(c.peer, c.at)
            dispatch.never_ran = (
                bool(c.message.get("complete", True)) and not dispatch.accepted and same_incarnation
            )
        elif item["state"] == "ended":
            dispatch.outstanding, dispatch.ended = False, True
            dispatch.never_ran = item.get("how") == "withdrawn"

    # Submissions without a final answer.

    def _check_unanswered(self) -> None:
        for (guest, number), submission in self.submissions.items():
            if submission.final_answers:
                continue
            if submission.excused:
                self.tally["died_with_planner"] += 1
                continue
            due = submission.accepted.at + submission.submit.get("patience", 0) + ANSWER_SLACK
            if self.rules.durable and self.timeline.newest_submission(guest) > number:
                # Submitted again while its planner was down: only the newer submission needs an answer.
                self.tally["asked_anew"] += 1
            elif self.rules.durable and not self._owner_returned(guest, submission.accepted.at, due):
                self.tally["never_asked_for"] += 1  # the answer waits for an owner that did not return
            elif self.killed_at and self.killed_at <= due:
                self.tally["died_with_planner"] += 1
            elif due <= self.timeline.ends_at:
                self.tally["unanswered"] += 1
                self.unanswered.append(f"{guest}/{number}")
                self._add_violation(1, "no final answer", [submission.accepted], guest)

    def _owner_returned(self, guest: str, accepted: int, due: int) -> bool:
        """Whether the owner returned after the planner of its guest died; True if the planner did not die."""
        deaths = [at for at in self.outages.deaths if accepted <= at <= due + RETURN_ALLOWANCE]
        return not deaths or self.timeline.owner_returned(guest, self.planner, deaths[-1])
