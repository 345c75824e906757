"""Checks claims from the records of all planners and machines alone.

The checks: the values that planners read and wrote under each key are linearizable; an offer of a guest that
must not run twice is sent only after a claim that names it was agreed; no planner offers such a guest while a
dispatch of another planner may have run. The module imports none of the checked code, so the rules of claims
are implemented here a second time.
"""

from base64 import b64decode
from collections import defaultdict
from collections.abc import Hashable, Iterable
from typing import Any

import msgspec

from hazelhold.audit.history import Call, linearizable
from hazelhold.audit.rules import AuditRules, RuleViolation
from hazelhold.protocol.record import RecordedMessage

PLANNER, RUN, SUBMISSION, DISPATCH, STATE, MACHINE, HOW, NO = range(8)  # indices of the fields of a claim
ORDER = ("free", "held", "placed", "over")


def step(value: Hashable, call: Call) -> Hashable:
    """The value of a key after the call, given the value before."""
    if call.kind == "read":
        return value
    if call.kind == "nextlife":
        return str(int(value or b"0") + 1).encode()
    claim = msgspec.msgpack.decode(value) if value else None
    if call.kind == "take":
        planner, run, submission, dispatch, machine, no, known = call.arguments
        new_claim = msgspec.msgpack.encode([planner, run, submission, dispatch, "held", machine, "", no])
        if claim is None or claim[STATE] == "free" or claim[STATE] == "held" and value == known:
            return new_claim
        if claim[STATE] == "over":
            return new_claim if claim[HOW] != "done" and submission > claim[SUBMISSION] else value
        own = claim[:2] == [planner, run]
        return new_claim if own and (claim[STATE] == "held" or submission > claim[SUBMISSION]) else value
    if claim is None:
        return value
    if call.kind == "release":
        if value != call.arguments[0] or claim[STATE] != "held":
            return value
        claim[STATE], claim[MACHINE] = "free", ""
    elif call.kind == "fact":
        planner, submission, state, machine, how = call.arguments
        if (planner, submission) != (claim[PLANNER], claim[SUBMISSION]) or ORDER.index(state) <= ORDER.index(
            claim[STATE]
        ):
            return value
        claim[STATE], claim[MACHINE], claim[HOW] = state, machine, how
    else:
        raise ValueError(f"unknown kind of call: {call.kind}")
    return msgspec.msgpack.encode(claim)


class ClaimAudit:
    """Checks the recorded messages of one day; `off` if there were no proposals."""

    def __init__(self, crossings: Iterable[RecordedMessage], rules: AuditRules) -> None:
        self.crossings = list(crossings)
        self.repeats = {name: product.get("effect") for name, product in rules.products.items()}
        self.off = not any(c.way in ("ask", "agreed") for c in self.crossings)

    def violations(self) -> list[RuleViolation]:
        """All violations, by time; none if `off`."""
        return [] if self.off else sorted([*self._histories(), *self._offers()], key=lambda b: b.at)

    def counts(self) -> dict[str, int]:
        """The number of proposals by outcome."""
        found: dict[str, int] = defaultdict(int)
        for c in self.crossings:
            if c.way == "agreed":
                found[f"asked_{c.message['outcome']}"] += 1
        return dict(found)

    def _histories(self) -> list[RuleViolation]:
        calls: dict[str, list[Call]] = defaultdict(list)
        open_proposals: dict[tuple[str, int], RecordedMessage] = {}
        last: dict[str, RecordedMessage] = {}
        for c in self.crossings:
            if c.way not in ("ask", "agreed"):
                continue
            message = c.message
            number = message["process"], message["no"]
            last[c.peer] = c
            if c.way == "ask":
                open_proposals[number] = c
            elif number in open_proposals:
                proposal = open_proposals.pop(number)
                kind, arguments = _arguments(proposal.message)
                agreed = message["outcome"] == "agreed"
                unanswered = message.get("rounds", 0) - agreed
                calls[c.peer] += [Call(kind, arguments, None, proposal.at)] * max(0, unanswered)
                if agreed:
                    calls[c.peer].append(
                        Call(kind, arguments, b64decode(message.get("value", "")), proposal.at, c.at)
                    )
        # The process was killed: the change may have been applied once or twice.
        for c in open_proposals.values():
            calls[c.peer] += [Call(*_arguments(c.message), None, c.at)] * 2
        return [
            RuleViolation(
                2, f"what planners saw of {key} has no order", "", "", "", last[key].at, [last[key]]
            )
            for key, seen in calls.items()
            if not linearizable(seen, b"", step)
        ]

    def _offers(self) -> list[RuleViolation]:
        found = []
        claimed: set[tuple] = set()  # planner, guest, submission, dispatch, machine
        # Dispatches that may have run, by guest: planner, machine, submission, dispatch.
        outstanding: dict[str, dict[tuple[str, str, int, int], RecordedMessage]] = defaultdict(dict)
        takes: dict[tuple[str, int], tuple[str, list]] = {}
        for c in self.crossings:
            body = c.message or {}
            if c.way == "ask" and body["change"][0] == "take":
                takes[body["process"], body["no"]] = c.peer.removeprefix("claim/"), body["change"][1:]
            elif c.way == "agreed" and body["outcome"] == "agreed":
                if taken := takes.pop((body["process"], body["no"]), None):
                    guest, (planner, run, submission, dispatch, machine, no, _) = taken
                    value = msgspec.msgpack.decode(b64decode(body.get("value", "")))
                    if value == [planner, run, submission, dispatch, "held", machine, "", no]:
                        claimed.add((c.by, guest, submission, dispatch, machine))
            elif c.role == "planner" and c.way == "out" and body.get("t") == "offer":
                if self.repeats.get(body.get("product")) in ("exclusive", "ticketed"):
                    found += self._offer(c, body, claimed, outstanding[body["guest"]])
            elif c.role == "planner" and c.way == "in":
                self._update_outstanding(c, body, outstanding)
        return found

    def _offer(
        self, c: RecordedMessage, body: dict[str, Any], claimed: set, outstanding: dict
    ) -> list[RuleViolation]:
        found = []
        guest, submission, dispatch = body["guest"], body.get("ask", 0), body.get("attempt", 0)
        if (c.by, guest, submission, dispatch, c.peer) not in claimed:
            found.append(RuleViolation(2, "an offer without an agreed claim", guest, c.by, c.peer, c.at, [c]))
        others = [o for (by, *_), o in outstanding.items() if by != c.by]
        if others and self.repeats[body["product"]] == "exclusive":
            found.append(
                RuleViolation(
                    2,
                    "offered beside another planner's dispatch that may have run",
                    guest,
                    c.by,
                    c.peer,
                    c.at,
                    [others[0], c],
                )
            )
        outstanding[c.by, c.peer, submission, dispatch] = c
        return found

    def _update_outstanding(self, c: RecordedMessage, body: dict[str, Any], outstanding: dict) -> None:
        """Removes dispatches that did not run or ended without success, as their machine reports."""
        kind, guest = body.get("t"), body.get("guest", "")
        if kind == "refused" or kind == "ended" and body.get("how") != "done":
            outstanding.get(guest, {}).pop((c.by, c.peer, body.get("ask", 0), body.get("attempt", 0)), None)
        elif kind == "running":
            inventory = {
                (s["guest"], s.get("ask", 0))
                for s in body["guests"]
                if s["state"] != "ended" or s.get("how") == "done"
            }
            whole = body.get("complete", True)
            for name, by in outstanding.items():
                for key in [k for k in by if k[0] == c.by and k[1] == c.peer]:
                    listed = (name, key[2]) in inventory
                    mentioned = any(s["guest"] == name for s in body["guests"])
                    if not listed and (whole or mentioned):
                        del by[key]


def _arguments(message: dict[str, Any]) -> tuple[str, tuple]:
    """Kind and fields of a proposed change. Records hold bytes as base64 text."""
    kind, *fields = message["change"]
    if kind in ("take", "release"):
        fields[-1] = b64decode(fields[-1])
    return kind, tuple(fields)
