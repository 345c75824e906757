"""The audit on made-up records: one breach of every rule, and its nearest innocent neighbour."""

from pathlib import Path

import pytest

from hazelhold.audit.rules import Audit
from hazelhold.audit.score import score
from hazelhold.protocol.record import Crossing, Recorder, RecordError, read_record

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


class Tape:
    """Writes a record from the planner's point of view, a tenth of a second a line."""

    def __init__(self) -> None:
        self.crossings = [Crossing(0, "rehearsal", "rehearsal", "", "rules", RULES)]
        self.at = S
        self.lists("a", "ready").lists("b", "ready", cell=1).lists("c", "ready")

    def note(
        self,
        peer: str,
        way: str,
        kind: str,
        wait: float = 0.1,
        by: str = "p",
        role: str = "planner",
        **body: object,
    ) -> "Tape":
        self.at += round(wait * S)
        message = {"t": kind, **body} if kind else None
        self.crossings.append(Crossing(self.at, by, role, peer, way, message))
        return self

    def lists(self, machine: str, mode: str, cell: int = 0, wait: float = 0.1) -> "Tape":
        entry = {"machine": machine, "mode": mode, "zone": 0, "cell": cell}
        return self.note("list", "in", "listing", wait, whole=False, entries=[entry])

    def takes(self, guest: str, product: str = "plain", patience: float = 5) -> "Tape":
        self.note(
            "o", "in", "submit", 0, guest=guest, product=product, service="s", patience=round(patience * S)
        )
        return self.note("o", "out", "held", 0, guest=guest)

    def offers(
        self, guest: str, machine: str = "a", attempt: int = 0, wait: float = 0.1, product: str = "plain"
    ) -> "Tape":
        return self.note(
            machine, "out", "offer", wait, guest=guest, attempt=attempt, product=product, service="s"
        )

    def hears(
        self, kind: str, guest: str, machine: str = "a", attempt: int = 0, wait: float = 0.1, **body: object
    ) -> "Tape":
        return self.note(machine, "in", kind, wait, guest=guest, attempt=attempt, **body)

    def answers(self, kind: str, guest: str, wait: float = 0.1) -> "Tape":
        return self.note("o", "out", kind, wait, guest=guest)

    def end(self, wait: float = 20) -> "Tape":
        return self.note("", "day_over", "", wait, by="rehearsal", role="rehearsal")

    def broken(self) -> list[int]:
        return [b.rule for b in Audit(self.crossings).violations()]


def placed(tape: Tape, guest: str, machine: str = "a", product: str = "plain") -> Tape:
    tape.takes(guest, product).offers(guest, machine, product=product)
    return tape.hears("taken", guest, machine).answers("placed", guest, 0)


def given_up(tape: Tape, product: str) -> Tape:
    tape.takes("g", product).offers("g", product=product)
    return tape.note("a", "out", "withdraw", 0.5, guest="g", attempt=0)


def test_a_plain_day_is_clean() -> None:
    assert placed(Tape(), "g").end().broken() == []


@pytest.mark.parametrize(
    ("tape", "rules"),
    [
        # 1: one answer, in time, and nothing after it.
        (lambda: Tape().takes("g").end(), [1]),
        (lambda: Tape().takes("g").note("p", "planner_kill", "", by="rehearsal", role="rehearsal").end(), []),
        (lambda: Tape().takes("g").end(wait=1), []),  # its patience is not over yet
        (lambda: Tape().takes("g").answers("turned_back", "g", 5.2).end(), [1]),
        (lambda: Tape().takes("g").answers("turned_back", "g", 5.0).end(), []),
        (lambda: Tape().takes("g").answers("turned_back", "g").answers("broken_off", "g").end(), [1]),
        (lambda: Tape().takes("g").answers("turned_back", "g").answers("turned_back", "g").end(), []),
        (lambda: Tape().takes("g").answers("turned_back", "g").offers("g").hears("taken", "g").end(), [1]),
        (lambda: Tape().offers("g").hears("taken", "g").end(), [1]),
        # 2: two dispatches out, too many, and what may have run.
        (
            lambda: (
                Tape()
                .takes("g")
                .offers("g")
                .offers("g", "c", 1)
                .hears("taken", "g", "c", 1)
                .answers("placed", "g")
                .end()
            ),
            [2],
        ),
        (lambda: given_up(Tape(), "plain").offers("g", "c", 1).answers("placed", "g").end(), []),
        (
            lambda: (
                Tape()
                .takes("g")
                .offers("g")
                .note("a", "shut", "")
                .offers("g", "c", 1)
                .answers("placed", "g")
                .end()
            ),
            [],
        ),
        (
            lambda: given_up(Tape(), "once").offers("g", "c", 1, product="once").answers("placed", "g").end(),
            [2],
        ),
        (lambda: given_up(Tape(), "once").answers("turned_back", "g").end(), [2]),
        (lambda: given_up(Tape(), "once").answers("broken_off", "g").end(), []),
        (
            lambda: (
                given_up(Tape(), "once")
                .hears("ended", "g", how="withdrawn")
                .offers("g", "c", 1, product="once")
                .answers("placed", "g")
                .end()
            ),
            [],
        ),
        (
            lambda: (
                given_up(Tape(), "once")
                .hears("ended", "g", how="error")
                .offers("g", "c", 1, product="once")
                .answers("placed", "g")
                .end()
            ),
            [2],
        ),
        (
            lambda: (
                given_up(Tape(), "ticket").offers("g", "c", 1, product="ticket").answers("placed", "g").end()
            ),
            [],
        ),
        (
            lambda: (
                given_up(Tape(), "ticket").offers("g", "b", 1, product="ticket").answers("placed", "g").end()
            ),
            [2],
        ),
        (
            lambda: (
                given_up(Tape(), "ticket")
                .offers("g", "c", 1, 1.6, product="ticket")
                .answers("placed", "g")
                .end()
            ),
            [2],
        ),
        (lambda: given_up(Tape(), "ticket").answers("turned_back", "g").end(), [2]),
        # 3: drains.
        (lambda: placed(Tape().lists("a", "cordoned").note("", "wait", "", 0.3), "g").end(), [3]),
        (lambda: placed(Tape().lists("a", "cordoned"), "g").end(), []),  # within the grace
        (lambda: placed(Tape().lists("a", "cordoned").lists("a", "ready", wait=1), "g").end(), []),
        (lambda: placed(Tape(), "g", "nobody").end(), [3]),
        # 5: spread.
        (lambda: placed(placed(Tape(), "g", product="wide"), "h", product="wide").end(), [5]),
        (lambda: placed(placed(Tape(), "g", product="wide"), "h", "c", "wide").end(), []),
        (
            lambda: placed(
                placed(Tape(), "g", product="wide").hears("ended", "g", how="done"), "h", product="wide"
            ).end(),
            [],
        ),
    ],
)
def test_a_breach_and_its_innocent_neighbour(tape: object, rules: list[int]) -> None:
    assert tape().broken() == rules


def test_dispatches_are_counted() -> None:
    for tries, rules in ((3, []), (4, [2])):
        tape = Tape().takes("g")
        for attempt in range(tries):
            tape.offers("g", attempt=attempt).hears("refused", "g", attempt=attempt, remark="no_cores")
        assert tape.answers("turned_back", "g").end().broken() == rules


@pytest.mark.parametrize(
    ("complete", "restart", "rules"), [(True, False, []), (False, False, [2]), (True, True, [2])]
)
def test_a_roll_without_the_guest_proves_something_only_if_whole_and_of_the_same_life(
    complete: bool, restart: bool, rules: list[int]
) -> None:
    tape = Tape().takes("g", "once").offers("g", product="once").note("a", "shut", "")
    if restart:
        tape.note("", "fact", "fact", by="a", role="machine", what="up", incarnation=2, cold_until=0)
    tape.note("a", "in", "running", guests=[], complete=complete)
    assert tape.offers("g", "c", 1, product="once").answers("placed", "g").end().broken() == rules


def machine(tape: Tape, name: str, kind: str, **body: object) -> Tape:
    return tape.note(
        "p", "in" if kind == "offer" else "out", kind, by=name, role="machine", guest="g", **body
    )


def test_runs_of_an_exclusive_guest_are_compared_across_machines() -> None:
    def first() -> Tape:
        tape = machine(Tape(), "a", "offer", product="once")
        return machine(tape, "a", "started")

    assert machine(first(), "b", "started").end().broken() == [2]
    assert machine(machine(first(), "a", "ended", how="evicted"), "b", "started").end().broken() == []
    assert machine(machine(first(), "a", "ended", how="done"), "b", "started").end().broken() == [2]
    down = first().note("", "fact", "fact", by="a", role="machine", what="down")
    assert machine(down, "b", "started").end().broken() == []


def test_an_end_that_is_first_told_in_a_roll_call_counts_from_then() -> None:
    """A drain sent it away while its machine's connection was down: the list of guests tells of it."""
    for state, broken in (("ended", []), ("runs", [2])):
        tape = Tape().takes("g", "once").offers("g", "a", product="once")
        machine(machine(tape, "a", "offer", product="once"), "a", "started")
        stand = {"guest": "g", "ask": 0, "attempt": 0, "state": state, "how": "sent_away", "service": "s"}
        tape.note("p", "out", "running", by="a", role="machine", guests=[stand])
        machine(machine(tape, "b", "offer", product="once"), "b", "started")
        assert [b.rule for b in Audit(tape.crossings).violations() if b.rule == 2] == broken


def test_a_machine_pushed_over_breaks_the_fourth_rule_and_a_crash_does_not() -> None:
    for what, rules in (("fell_over", [4]), ("down", [])):
        assert Tape().note("", "fact", "fact", by="a", role="machine", what=what).end().broken() == rules


def test_the_score_counts_service_and_starts_in_time() -> None:
    def day(start: float, served: float) -> float:
        tape = Tape().note(
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
        machine(tape, "a", "started", wait=start)
        machine(tape, "a", "ended", how="done", served=round(served * S))
        return score(tape.end().crossings, Audit(tape.crossings).rules)["whole"]

    assert day(0.5, 2) == 1.0
    assert day(0.5, 1) == pytest.approx(0.9)
    assert day(1.5, 2) == pytest.approx(0.28, abs=1e-3)  # 2 s and a tenth of the start's 8


def test_records_survive_a_kill_and_name_damage(tmp_path: Path) -> None:
    recorder = Recorder(tmp_path / "r.jsonl", "p", "planner")
    for at in range(3):
        recorder.note(at, "a", "open")
    recorder.close()
    whole = (tmp_path / "r.jsonl").read_bytes()
    for cut in range(len(whole)):
        (tmp_path / "r.jsonl").write_bytes(whole[:cut])
        lines = whole[:cut].count(b"\n") + (whole[cut : cut + 1] == b"\n")  # one may lack its end alone
        assert [c.at for c in read_record(tmp_path / "r.jsonl")] == list(range(lines))
    (tmp_path / "r.jsonl").write_bytes(whole.replace(b"1", b"{", 1))
    with pytest.raises(RecordError, match="line"):
        list(read_record(tmp_path / "r.jsonl"))
    with pytest.raises(RecordError, match="no rules"):
        Audit([])
