"""The check of membership views on synthetic records: finds wrong and missed views and no others."""

import msgspec
import pytest
from click.testing import CliRunner

from hazelhold.audit.views import ViewLimits, Views
from hazelhold.cli.main import main
from hazelhold.config.day import Day, Trouble, check_day, read_day
from hazelhold.protocol.record import RecordedMessage
from hazelhold.rehearse.fault_plan import plan
from tests.test_day import EXAMPLES, bad_day

PARTED = EXAMPLES / "parted-day.json5"
NAMES = ["a", "b", "c", "d"]
S = 1_000_000


class ViewRecord:
    """Builds the record of four planners that know each other from second 1 on."""

    def __init__(self) -> None:
        self.crossings: list[RecordedMessage] = []
        for name in NAMES:
            self.believes(0.1, name, name, "started")
            self.fact(0.2, "planner_up", name)
        for by in NAMES:
            for of in NAMES:
                if by != of:
                    self.believes(1, by, of, "alive")

    def fact(self, at: float, way: str, name: str = "", pairs: list | None = None) -> None:
        self.crossings.append(
            RecordedMessage(round(at * S), "rehearsal", "rehearsal", name, way, pairs and {"pairs": pairs})
        )

    def believes(self, at: float, by: str, of: str, what: str, life: int = 1) -> None:
        self.crossings.append(
            RecordedMessage(round(at * S), by, "planner", of, "member", {"what": what, "life": life})
        )

    def all_believe(self, at: float, of: str, what: str, life: int = 1, but: str = "") -> None:
        for by in NAMES:
            if by not in (of, but):
                self.believes(at, by, of, what, life)

    def evaluated(self, until: float = 60, **bounds: object) -> dict:
        self.fact(until, "day_over")
        return Views(self.crossings, ViewLimits(**{"notice_s": 10, "heal_s": 10, **bounds})).evaluate()


def test_a_quiet_day_exceeds_no_limit() -> None:
    result = ViewRecord().evaluated()
    assert (result["wrongly_gone"], result["missed"], result["bounds_passed"]) == (0, 0, False)


def test_a_healthy_member_considered_gone_is_found_and_has_to_be_corrected() -> None:
    record = ViewRecord()
    record.believes(20, "a", "b", "gone")
    result = record.evaluated()
    assert result["wrongly_gone"] == 1 and result["missed"] == 1 and result["bounds_passed"]
    record = ViewRecord()
    record.believes(20, "a", "b", "gone")
    record.believes(22, "a", "b", "alive")
    result = record.evaluated(wrongly_gone=1)
    assert result["missed"] == 0 and result["healed"]["longest"] == 2.0 and not result["bounds_passed"]


def test_a_kill_has_to_be_noticed_by_all_that_reach_another_planner() -> None:
    record = ViewRecord()
    record.fact(20, "planner_kill", "b")
    record.all_believe(24, "b", "gone", but="d")
    result = record.evaluated()
    assert result["noticed"] == {"count": 2, "median": 4.0, "longest": 4.0}
    assert (
        result["missed"] == 1 and "d did not notice" in result["details"][0] and result["wrongly_gone"] == 0
    )


def test_a_restart_has_to_be_learned_as_a_new_incarnation() -> None:
    for learned, missed in ((23, 0), (None, 3)):
        record = ViewRecord()
        record.fact(20, "planner_kill", "b")
        record.believes(21, "b", "b", "started", 2)
        record.fact(21.2, "planner_start", "b")
        for of in ("a", "c", "d"):
            record.believes(22, "b", of, "alive")
        if learned:
            record.all_believe(learned, "b", "alive", 2)
        assert record.evaluated()["missed"] == missed


def test_a_paused_member_may_be_considered_gone_and_one_reachable_through_others_may_not() -> None:
    record = ViewRecord()
    record.fact(20, "planner_pause", "b")
    record.all_believe(25, "b", "gone")
    record.fact(30, "planner_resume", "b")
    record.all_believe(31, "b", "alive")
    assert not record.evaluated()["bounds_passed"]
    record = ViewRecord()
    record.fact(20, "planner_cut", pairs=[("a", "b"), ("b", "a")])
    record.believes(40, "a", "b", "gone")
    assert record.evaluated()["wrongly_gone"] == 1


def test_a_partition_has_to_be_noticed_by_both_sides_and_not_by_an_isolated_planner() -> None:
    pairs = [(x, y) for x in "ab" for y in "cd"]
    record = ViewRecord()
    record.fact(20, "planner_cut", pairs=pairs)  # blocking one direction is enough: no answers come back
    assert record.evaluated()["missed"] == 8
    record = ViewRecord()
    record.fact(20, "planner_cut", pairs=[("d", x) for x in "abc"])
    record.all_believe(25, "d", "gone")
    assert record.evaluated()["missed"] == 0


def test_the_parted_day_is_valid_and_leads_to_the_expected_steps() -> None:
    day = read_day(PARTED)
    troubles = [t for t in day.troubles if t.kind.startswith("planner_")]
    steps = plan(bad_day(planners=5, zones=2, troubles=troubles), 1, [], ["s"])
    whats = [s.what for s in steps]
    assert whats.count("planner_cut") == whats.count("planner_heal") == 5
    assert whats.count("planner_pause") == whats.count("planner_resume") == 3
    zone = next(s for s in steps if s.what == "planner_cut" and len(s.value[0]) == 3)
    assert zone.value[:2] == ([0, 2, 4], [1, 3])


@pytest.mark.parametrize(
    ("trouble", "place"),
    [
        (Trouble("planner_cut", 1, whom=[9]), "troubles[0].whom"),
        (Trouble("planner_pause", 1, which=7), "troubles[0].which"),
        (Trouble("planner_loss", 1, by="cell"), "troubles[0].by"),
    ],
)
def test_invalid_faults_between_planners_are_reported(trouble: Trouble, place: str) -> None:
    day: Day = read_day(PARTED)
    assert place in [p for p, _ in check_day(msgspec.structs.replace(day, troubles=[trouble]))]
    off = msgspec.structs.replace(bad_day(), troubles=[Trouble("planner_cut", 1)])
    assert check_day(off)[0][0] == "troubles[0].kind"


def test_a_pause_is_refused_in_virtual_time() -> None:
    done = CliRunner().invoke(main, ["rehearse", str(PARTED), "--virtual"])
    assert done.exit_code == 2 and "planner_pause" in done.output
