"""The audit of claims finds each kind of violation in manipulated records, and none in valid ones."""

from base64 import b64encode

import pytest

from hazelhold.audit.claims import ClaimAudit
from hazelhold.audit.rules import AuditRules
from hazelhold.protocol.record import RecordedMessage
from hazelhold.replica import claims as c

RULES = AuditRules({"once": {"effect": "exclusive"}, "plain": {"effect": "rerunnable"}}, 4, 250_000)
TAKE = c.Take("p0", 1, 0, 0, "m", 2)
CLAIM = c.encode(TAKE.claim())


def text(value: bytes) -> str:
    return b64encode(value).decode()


def proposal(
    at: int, by: str, no: int, change: list, value: bytes, outcome: str = "agreed", rounds: int = 1
) -> list[RecordedMessage]:
    key = "claim/g"
    return [
        RecordedMessage(at, by, "planner", key, "ask", {"process": by + "/1", "no": no, "change": change}),
        RecordedMessage(
            at + 5,
            by,
            "planner",
            key,
            "agreed",
            {
                "process": by + "/1",
                "no": no,
                "change": [],
                "outcome": outcome,
                "value": text(value),
                "rounds": rounds,
            },
        ),
    ]


def take(
    at: int, by: str = "p0", value: bytes = CLAIM, known: bytes = b"", **more: object
) -> list[RecordedMessage]:
    change = ["take", by, 1, 0, 0, "m", 2, text(known)]
    return proposal(at, by, 2, change, value, **more)


def offer(at: int, by: str = "p0", product: str = "once", machine: str = "m") -> list[RecordedMessage]:
    return [
        RecordedMessage(at, by, "planner", machine, "out", {"t": "offer", "guest": "g", "product": product})
    ]


def received(at: int, by: str = "p0", **body: object) -> list[RecordedMessage]:
    return [RecordedMessage(at, by, "planner", "m", "in", {"guest": "g", **body})]


OTHER_CLAIM = c.encode(c.Take("p1", 1, 0, 0, "m", 2).claim())
FREE = c.Release(CLAIM)(CLAIM)
VALID = {
    "one": [*take(0), *offer(10)],
    "rerunnable": [*take(0), *offer(10), *offer(20, "p1", "plain")],
    "refused, freed, taken": [
        *take(0),
        *offer(10),
        *received(20, t="refused"),
        *proposal(30, "p0", 3, ["release", text(CLAIM)], FREE),
        *take(40, "p1", OTHER_CLAIM),
        *offer(50, "p1"),
    ],
    "an unanswered round": [*take(0, outcome="open"), *proposal(10, "p1", 9, ["read"], CLAIM)],
}
MANIPULATED = {
    "no claim": ([*take(0, "p1", OTHER_CLAIM), *offer(10)], "without an agreed claim"),
    "claimed too late": ([*offer(1), *take(0)], "without an agreed claim"),
    "another machine": ([*take(0), *offer(10, machine="n")], "without an agreed claim"),
    "another's claim": ([*take(0), *take(10, "p1", CLAIM), *offer(20, "p1")], "without an agreed claim"),
    "beside another": (
        [
            *take(0),
            *offer(10),
            *proposal(20, "p0", 3, ["release", text(CLAIM)], FREE),
            *take(30, "p1", OTHER_CLAIM),
            *offer(40, "p1"),
        ],
        "beside another planner's",
    ),
    "two claims": ([*take(0), *take(10, "p1", OTHER_CLAIM)], "has no order"),
    "a claim not read": ([*take(0), *proposal(10, "p1", 9, ["read"], b"")], "has no order"),
    "a fact without its claim": (
        [*proposal(0, "p0", 2, ["fact", "p0", 0, "over", "m", "done"], CLAIM)],
        "has no order",
    ),
}


@pytest.mark.parametrize("name", VALID)
def test_a_valid_record_has_no_violation(name: str) -> None:
    audit = ClaimAudit(VALID[name], RULES)
    assert audit.violations() == [] and not audit.off


@pytest.mark.parametrize("name", MANIPULATED)
def test_each_manipulated_record_is_detected(name: str) -> None:
    crossings, what = MANIPULATED[name]
    found = [b.what for b in ClaimAudit(sorted(crossings, key=lambda x: x.at), RULES).violations()]
    assert any(what in each for each in found), found
    assert all(b.rule == 2 for b in ClaimAudit(crossings, RULES).violations())


def test_a_record_without_claims_is_not_checked() -> None:
    assert ClaimAudit(offer(10), RULES).off and ClaimAudit(offer(10), RULES).violations() == []
