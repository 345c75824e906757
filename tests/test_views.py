"""The judgement of views, on records made by hand: what is wrong is found, what is not is left alone."""

import msgspec
import pytest
from click.testing import CliRunner

from hazelhold.audit.views import ViewBounds, Views
from hazelhold.cli.main import main
from hazelhold.config.day import Day, Trouble, check_day, read_day
from hazelhold.protocol.record import Crossing
from hazelhold.rehearse.fault_plan import plan
from tests.test_day import EXAMPLES, bad_day

PARTED = EXAMPLES / "parted-day.json5"
NAMES = ["a", "b", "c", "d"]
S = 1_000_000


class Story:
    """Four planners that know each other from second 1 on."""

    def __init__(self) -> None:
        self.told: list[Crossing] = []
        for name in NAMES:
            self.believes(0.1, name, name, "started")
            self.fact(0.2, "planner_up", name)
        for by in NAMES:
            for of in NAMES:
                if by != of:
                    self.believes(1, by, of, "alive")

    def fact(self, at: float, way: str, name: str = "", pairs: list | None = None) -> None:
        self.told.append(
            Crossing(round(at * S), "rehearsal", "rehearsal", name, way, pairs and {"pairs": pairs})
        )

    def believes(self, at: float, by: str, of: str, what: str, life: int = 1) -> None:
        self.told.append(Crossing(round(at * S), by, "planner", of, "member", {"what": what, "life": life}))

    def all_believe(self, at: float, of: str, what: str, life: int = 1, but: str = "") -> None:
        for by in NAMES:
            if by not in (of, but):
                self.believes(at, by, of, what, life)

    def judged(self, until: float = 60, **bounds: object) -> dict:
        self.fact(until, "day_over")
        return Views(self.told, ViewBounds(**{"notice_s": 10, "heal_s": 10, **bounds})).judge()


def test_a_quiet_day_has_nothing_to_say_against_it() -> None:
    said = Story().judged()
    assert (said["wrongly_gone"], said["missed"], said["bounds_passed"]) == (0, 0, False)


def test_one_called_gone_while_all_is_well_is_found_and_has_to_be_taken_back() -> None:
    story = Story()
    story.believes(20, "a", "b", "gone")
    said = story.judged()
    assert said["wrongly_gone"] == 1 and said["missed"] == 1 and said["bounds_passed"]
    story = Story()
    story.believes(20, "a", "b", "gone")
    story.believes(22, "a", "b", "alive")
    said = story.judged(wrongly_gone=1)
    assert said["missed"] == 0 and said["healed"]["longest"] == 2.0 and not said["bounds_passed"]


def test_a_kill_has_to_be_noticed_by_all_who_have_a_witness() -> None:
    story = Story()
    story.fact(20, "planner_kill", "b")
    story.all_believe(24, "b", "gone", but="d")
    said = story.judged()
    assert said["noticed"] == {"count": 2, "median": 4.0, "longest": 4.0}
    assert said["missed"] == 1 and "d did not notice" in said["details"][0] and said["wrongly_gone"] == 0


def test_a_restart_has_to_be_learned_as_a_new_life() -> None:
    for learned, missed in ((23, 0), (None, 3)):
        story = Story()
        story.fact(20, "planner_kill", "b")
        story.believes(21, "b", "b", "started", 2)
        story.fact(21.2, "planner_start", "b")
        for of in ("a", "c", "d"):
            story.believes(22, "b", of, "alive")
        if learned:
            story.all_believe(learned, "b", "alive", 2)
        assert story.judged()["missed"] == missed


def test_a_pause_is_no_wrong_and_a_pair_that_others_join_is_one() -> None:
    story = Story()
    story.fact(20, "planner_pause", "b")
    story.all_believe(25, "b", "gone")
    story.fact(30, "planner_resume", "b")
    story.all_believe(31, "b", "alive")
    assert not story.judged()["bounds_passed"]
    story = Story()
    story.fact(20, "planner_cut", pairs=[("a", "b"), ("b", "a")])
    story.believes(40, "a", "b", "gone")
    assert story.judged()["wrongly_gone"] == 1


def test_a_split_has_to_be_noticed_by_both_halves_and_one_alone_owes_nothing() -> None:
    pairs = [(x, y) for x in "ab" for y in "cd"]
    story = Story()
    story.fact(20, "planner_cut", pairs=pairs)  # one way is enough: nobody answers over it
    assert story.judged()["missed"] == 8
    story = Story()
    story.fact(20, "planner_cut", pairs=[("d", x) for x in "abc"])
    story.all_believe(25, "d", "gone")
    assert story.judged()["missed"] == 0


def test_the_parted_day_is_sound_and_its_steps_follow_from_it() -> None:
    day = read_day(PARTED)
    troubles = [t for t in day.troubles if t.kind.startswith("planner_")]
    made = plan(bad_day(planners=5, zones=2, troubles=troubles), 1, [], ["s"])
    whats = [s.what for s in made]
    assert whats.count("planner_cut") == whats.count("planner_heal") == 5
    assert whats.count("planner_pause") == whats.count("planner_resume") == 3
    zone = next(s for s in made if s.what == "planner_cut" and len(s.value[0]) == 3)
    assert zone.value[:2] == ([0, 2, 4], [1, 3])


@pytest.mark.parametrize(
    ("trouble", "place"),
    [
        (Trouble("planner_cut", 1, whom=[9]), "troubles[0].whom"),
        (Trouble("planner_pause", 1, which=7), "troubles[0].which"),
        (Trouble("planner_loss", 1, by="cell"), "troubles[0].by"),
    ],
)
def test_what_is_wrong_with_troubles_between_planners_is_named(trouble: Trouble, place: str) -> None:
    day: Day = read_day(PARTED)
    assert place in [p for p, _ in check_day(msgspec.structs.replace(day, troubles=[trouble]))]
    off = msgspec.structs.replace(bad_day(), troubles=[Trouble("planner_cut", 1)])
    assert check_day(off)[0][0] == "troubles[0].kind"


def test_a_pause_is_refused_in_virtual_time_by_a_line() -> None:
    done = CliRunner().invoke(main, ["rehearse", str(PARTED), "--virtual"])
    assert done.exit_code == 2 and "planner_pause" in done.output
