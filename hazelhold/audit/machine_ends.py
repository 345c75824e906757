"""Checks of the records of machines: rule 4, and rule 2 across all planners and submissions."""

from collections import Counter, defaultdict

from hazelhold.audit.findings import AuditRules, RuleViolation, violation
from hazelhold.protocol.record import RecordedMessage


class MachineEnds:
    """Checks what machines received and did. Violations are in `found`, counts of events in `tally`."""

    def __init__(self, rules: AuditRules) -> None:
        self.rules = rules
        self.found: list[RuleViolation] = []
        self.tally: Counter[str] = Counter()
        self.guest_classes: dict[str, str] = {}  # by guest
        self.running: dict[str, dict[str, RecordedMessage]] = defaultdict(dict)  # guest: machine: start
        self.done: dict[str, RecordedMessage] = {}  # by guest

    def evaluate(self, crossings: list[RecordedMessage]) -> None:
        """Checks the recorded messages of the whole day, in order."""
        for c in crossings:
            if c.role == "machine":
                self._process(c)

    def _process(self, c: RecordedMessage) -> None:
        body = c.message or {}
        kind, guest = body.get("t", ""), body.get("guest", "")
        if c.way == "fact":
            self._fact(c, body["what"])
        elif kind == "offer" and c.way == "in":
            self.guest_classes[guest] = body["product"]
        elif kind == "started" or kind == "taken" and self.rules.confirms_running:
            if c.way != "in" and c.by not in self.running[guest]:
                self._started(c, guest)
        elif kind == "running" and c.way != "in":
            self._record_late_ends(c)
        elif kind == "ended" and c.way != "in":
            self.tally["ended_" + body["how"]] += 1
            self.running[guest].pop(c.by, None)
            if body["how"] == "done":
                self.done[guest] = c

    def _fact(self, c: RecordedMessage, what: str) -> None:
        self.tally["machine_" + what] += 1
        if what == "fell_over":
            self.found.append(violation(4, "a cold machine was pushed over", "", [c], machine=c.by))
        if what in ("down", "fell_over"):
            for starts in self.running.values():
                starts.pop(c.by, None)

    def _started(self, c: RecordedMessage, guest: str) -> None:
        self.tally["starts"] += 1
        guest_class = self.rules.products.get(self.guest_classes.get(guest, ""), {})
        if guest_class.get("effect") == "exclusive":
            starts = list(self.running[guest].values())
            if starts:
                what = "an exclusive guest runs twice at once"
                self.found.append(violation(2, what, c.peer, [*starts, c], guest, c.by))
            if guest in self.done:
                what = "an exclusive guest ran again after it was done"
                self.found.append(violation(2, what, c.peer, [self.done[guest], c], guest, c.by))
        self.running[guest][c.by] = c

    def _record_late_ends(self, c: RecordedMessage) -> None:
        """Records ends that a machine could report only later, in its inventory."""
        for item in c.message["guests"]:
            if item["state"] == "ended":
                self.running[item["guest"]].pop(c.by, None)
                if item.get("how") == "done":
                    self.done.setdefault(item["guest"], c)
