"""The audit on synthetic records: violations of every rule, and similar records without a violation."""

from pathlib import Path

import pytest

from hazelhold.audit.rules import Audit
from hazelhold.audit.score import score
from hazelhold.protocol.record import RecordedMessage, Recorder, RecordError, read_record

S = 1_000_000
RULES = {
    "t": "rules",
    "max_dispatches": 3,
    "drain_grace": 250_000,
    "products": {
        name: {
            "effect": effect,
            "group": "cell",
            "window": 2 * S,
            "goal": S,
            "patience": 5 * S,
            "payoff": 1.0,
            "start_bonus": 8.0,
            "late_worth": 0.1,
            "spread": spread,
            "spread_most": 1,
        }
        for name, effect, spread in (
            ("plain", "rerunnable", "nowhere"),
            ("once", "exclusive", "nowhere"),
            ("ticket", "ticketed", "nowhere"),
            ("wide", "rerunnable", "machine"),
        )
    },
}


class RecordBuilder:
    """Builds a record from the planner's point of view, with 0.1 s between messages by default."""

    def __init__(self) -> None:
        self.crossings = [RecordedMessage(0, "rehearsal", "rehearsal", "", "rules", RULES)]
        self.at = S
        self.list_machine("a", "ready").list_machine("b", "ready", cell=1).list_machine("c", "ready")

    def note(
        self,
        peer: str,
        way: str,
        kind: str,
        wait: float = 0.1,
        by: str = "p",
        role: str = "planner",
        **body: object,
    ) -> "RecordBuilder":
        self.at += round(wait * S)
        message = {"t": kind, **body} if kind else None
        self.crossings.append(RecordedMessage(self.at, by, role, peer, way, message))
        return self

    def list_machine(self, machine: str, mode: str, cell: int = 0, wait: float = 0.1) -> "RecordBuilder":
        entry = {"machine": machine, "mode": mode, "zone": 0, "cell": cell}
        return self.note("list", "in", "listing", wait, whole=False, entries=[entry])

    def accept(self, guest: str, product: str = "plain", patience: float = 5) -> "RecordBuilder":
        self.note(
            "o", "in", "submit", 0, guest=guest, product=product, service="s", patience=round(patience * S)
        )
        return self.note("o", "out", "held", 0, guest=guest)

    def offer(
        self, guest: str, machine: str = "a", attempt: int = 0, wait: float = 0.1, product: str = "plain"
    ) -> "RecordBuilder":
        return self.note(
            machine, "out", "offer", wait, guest=guest, attempt=attempt, product=product, service="s"
        )

    def receive(
        self, kind: str, guest: str, machine: str = "a", attempt: int = 0, wait: float = 0.1, **body: object
    ) -> "RecordBuilder":
        return self.note(machine, "in", kind, wait, guest=guest, attempt=attempt, **body)

    def answer(self, kind: str, guest: str, wait: float = 0.1) -> "RecordBuilder":
        return self.note("o", "out", kind, wait, guest=guest)

    def end(self, wait: float = 20) -> "RecordBuilder":
        return self.note("", "day_over", "", wait, by="rehearsal", role="rehearsal")

    def violated_rules(self) -> list[int]:
        return [b.rule for b in Audit(self.crossings).violations()]


def placed(record: RecordBuilder, guest: str, machine: str = "a", product: str = "plain") -> RecordBuilder:
    record.accept(guest, product).offer(guest, machine, product=product)
    return record.receive("taken", guest, machine).answer("placed", guest, 0)


def withdrawn(record: RecordBuilder, product: str) -> RecordBuilder:
    record.accept("g", product).offer("g", product=product)
    return record.note("a", "out", "withdraw", 0.5, guest="g", attempt=0)


def test_a_normal_day_has_no_violations() -> None:
    assert placed(RecordBuilder(), "g").end().violated_rules() == []


@pytest.mark.parametrize(
    ("record", "rules"),
    [
        # Rule 1: exactly one final answer, in time, and no dispatch after it.
        (lambda: RecordBuilder().accept("g").end(), [1]),
        (
            lambda: (
                RecordBuilder()
                .accept("g")
                .note("p", "planner_kill", "", by="rehearsal", role="rehearsal")
                .end()
            ),
            [],
        ),
        (lambda: RecordBuilder().accept("g").end(wait=1), []),  # its deadline has not passed yet
        (lambda: RecordBuilder().accept("g").answer("turned_back", "g", 5.2).end(), [1]),
        (lambda: RecordBuilder().accept("g").answer("turned_back", "g", 5.0).end(), []),
        (lambda: RecordBuilder().accept("g").answer("turned_back", "g").answer("broken_off", "g").end(), [1]),
        (lambda: RecordBuilder().accept("g").answer("turned_back", "g").answer("turned_back", "g").end(), []),
        (
            lambda: (
                RecordBuilder().accept("g").answer("turned_back", "g").offer("g").receive("taken", "g").end()
            ),
            [1],
        ),
        (lambda: RecordBuilder().offer("g").receive("taken", "g").end(), [1]),
        # Rule 2: two outstanding dispatches, too many dispatches, and dispatches that may have run.
        (
            lambda: (
                RecordBuilder()
                .accept("g")
                .offer("g")
                .offer("g", "c", 1)
                .receive("taken", "g", "c", 1)
                .answer("placed", "g")
                .end()
            ),
            [2],
        ),
        (lambda: withdrawn(RecordBuilder(), "plain").offer("g", "c", 1).answer("placed", "g").end(), []),
        (
            lambda: (
                RecordBuilder()
                .accept("g")
                .offer("g")
                .note("a", "shut", "")
                .offer("g", "c", 1)
                .answer("placed", "g")
                .end()
            ),
            [],
        ),
        (
            lambda: (
                withdrawn(RecordBuilder(), "once")
                .offer("g", "c", 1, product="once")
                .answer("placed", "g")
                .end()
            ),
            [2],
        ),
        (lambda: withdrawn(RecordBuilder(), "once").answer("turned_back", "g").end(), [2]),
        (lambda: withdrawn(RecordBuilder(), "once").answer("broken_off", "g").end(), []),
        (
            lambda: (
                withdrawn(RecordBuilder(), "once")
                .receive("ended", "g", how="withdrawn")
                .offer("g", "c", 1, product="once")
                .answer("placed", "g")
                .end()
            ),
            [],
        ),
        (
            lambda: (
                withdrawn(RecordBuilder(), "once")
                .receive("ended", "g", how="error")
                .offer("g", "c", 1, product="once")
                .answer("placed", "g")
                .end()
            ),
            [2],
        ),
        (
            lambda: (
                withdrawn(RecordBuilder(), "ticket")
                .offer("g", "c", 1, product="ticket")
                .answer("placed", "g")
                .end()
            ),
            [],
        ),
        (
            lambda: (
                withdrawn(RecordBuilder(), "ticket")
                .offer("g", "b", 1, product="ticket")
                .answer("placed", "g")
                .end()
            ),
            [2],
        ),
        (
            lambda: (
                withdrawn(RecordBuilder(), "ticket")
                .offer("g", "c", 1, 1.6, product="ticket")
                .answer("placed", "g")
                .end()
            ),
            [2],
        ),
        (lambda: withdrawn(RecordBuilder(), "ticket").answer("turned_back", "g").end(), [2]),
        # Rule 3: drained and unlisted machines.
        (
            lambda: placed(
                RecordBuilder().list_machine("a", "cordoned").note("", "wait", "", 0.3), "g"
            ).end(),
            [3],
        ),
        (
            lambda: placed(RecordBuilder().list_machine("a", "cordoned"), "g").end(),
            [],
        ),  # within the grace period
        (
            lambda: placed(
                RecordBuilder().list_machine("a", "cordoned").list_machine("a", "ready", wait=1), "g"
            ).end(),
            [],
        ),
        (lambda: placed(RecordBuilder(), "g", "nobody").end(), [3]),
        # Rule 5: spread.
        (lambda: placed(placed(RecordBuilder(), "g", product="wide"), "h", product="wide").end(), [5]),
        (lambda: placed(placed(RecordBuilder(), "g", product="wide"), "h", "c", "wide").end(), []),
        (
            lambda: placed(
                placed(RecordBuilder(), "g", product="wide").receive("ended", "g", how="done"),
                "h",
                product="wide",
            ).end(),
            [],
        ),
    ],
)
def test_violations_and_similar_records_without_one(record: object, rules: list[int]) -> None:
    assert record().violated_rules() == rules


def test_dispatches_are_counted() -> None:
    for tries, rules in ((3, []), (4, [2])):
        record = RecordBuilder().accept("g")
        for attempt in range(tries):
            record.offer("g", attempt=attempt).receive("refused", "g", attempt=attempt, remark="no_cores")
        assert record.answer("turned_back", "g").end().violated_rules() == rules


@pytest.mark.parametrize(
    ("complete", "restart", "rules"), [(True, False, []), (False, False, [2]), (True, True, [2])]
)
def test_absence_from_an_inventory_proves_something_only_if_complete_and_of_the_same_incarnation(
    complete: bool, restart: bool, rules: list[int]
) -> None:
    record = RecordBuilder().accept("g", "once").offer("g", product="once").note("a", "shut", "")
    if restart:
        record.note("", "fact", "fact", by="a", role="machine", what="up", incarnation=2, cold_until=0)
    record.note("a", "in", "running", guests=[], complete=complete)
    assert record.offer("g", "c", 1, product="once").answer("placed", "g").end().violated_rules() == rules


def machine(record: RecordBuilder, name: str, kind: str, **body: object) -> RecordBuilder:
    return record.note(
        "p", "in" if kind == "offer" else "out", kind, by=name, role="machine", guest="g", **body
    )


def test_runs_of_an_at_most_once_guest_are_compared_across_machines() -> None:
    def first() -> RecordBuilder:
        record = machine(RecordBuilder(), "a", "offer", product="once")
        return machine(record, "a", "started")

    assert machine(first(), "b", "started").end().violated_rules() == [2]
    assert machine(machine(first(), "a", "ended", how="evicted"), "b", "started").end().violated_rules() == []
    assert machine(machine(first(), "a", "ended", how="done"), "b", "started").end().violated_rules() == [2]
    down = first().note("", "fact", "fact", by="a", role="machine", what="down")
    assert machine(down, "b", "started").end().violated_rules() == []


def test_an_end_first_reported_in_an_inventory_counts_from_then() -> None:
    """A guest drained while its machine's connection is down is reported ended only by the next inventory."""
    for state, violated_rules in (("ended", []), ("runs", [2])):
        record = RecordBuilder().accept("g", "once").offer("g", "a", product="once")
        machine(machine(record, "a", "offer", product="once"), "a", "started")
        stand = {"guest": "g", "ask": 0, "attempt": 0, "state": state, "how": "sent_away", "service": "s"}
        record.note("p", "out", "running", by="a", role="machine", guests=[stand])
        machine(machine(record, "b", "offer", product="once"), "b", "started")
        assert [b.rule for b in Audit(record.crossings).violations() if b.rule == 2] == violated_rules


def test_overloading_a_cold_machine_violates_rule_4_and_a_crash_does_not() -> None:
    for what, rules in (("fell_over", [4]), ("down", [])):
        assert (
            RecordBuilder().note("", "fact", "fact", by="a", role="machine", what=what).end().violated_rules()
            == rules
        )


def test_the_score_counts_service_and_starts_in_time() -> None:
    def day(start: float, served: float) -> float:
        record = RecordBuilder().note(
            "p",
            "out",
            "submit",
            by="o",
            role="owner",
            guest="g",
            product="plain",
            cores=1.0,
            memory=1.0,
            life=2 * S,
        )
        machine(record, "a", "started", wait=start)
        machine(record, "a", "ended", how="done", served=round(served * S))
        return score(record.end().crossings, Audit(record.crossings).rules)["whole"]

    assert day(0.5, 2) == 1.0
    assert day(0.5, 1) == pytest.approx(0.9)
    assert day(1.5, 2) == pytest.approx(0.28, abs=1e-3)  # 2 s of service and a tenth of the start bonus of 8


def test_truncated_records_are_read_and_damage_is_reported(tmp_path: Path) -> None:
    recorder = Recorder(tmp_path / "r.jsonl", "p", "planner")
    for at in range(3):
        recorder.note(at, "a", "open")
    recorder.close()
    whole = (tmp_path / "r.jsonl").read_bytes()
    for cut in range(len(whole)):
        (tmp_path / "r.jsonl").write_bytes(whole[:cut])
        lines = whole[:cut].count(b"\n") + (
            whole[cut : cut + 1] == b"\n"
        )  # the last may lack only its newline
        assert [c.at for c in read_record(tmp_path / "r.jsonl")] == list(range(lines))
    (tmp_path / "r.jsonl").write_bytes(whole.replace(b"1", b"{", 1))
    with pytest.raises(RecordError, match="line"):
        list(read_record(tmp_path / "r.jsonl"))
    with pytest.raises(RecordError, match="no rules"):
        Audit([])
