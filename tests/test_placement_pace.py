"""How much placing is done between two reads of the peers, and whose guests go first."""

from collections import Counter

from hazelhold.engine.engine import Engine
from hazelhold.interface import DecisionKind
from hazelhold.placement_pace import BEHIND_AFTER, OwnerTurns
from hazelhold.platform.configuration import check_start
from hazelhold.protocol import messages as m
from hazelhold.scheduler import Scheduler
from tests.helpers import MS, scheduler, submission
from tests.platform_rig import file

MACHINES = 200
TOO_LARGE = 500.0  # cores; more than any machine has
STEP = 20 * MS


def submit(guest: str, cores: float, service: str) -> m.Submit:
    return m.Submit(
        guest=guest, product="plain", service=service, cores=cores, memory=1.0, patience=5000 * MS
    )


class CountingEngine:
    """A platform planner's engine with many machines; counts how often one is checked for a guest."""

    def __init__(self) -> None:
        self.settings = check_start(file(), "test").engine_settings
        self.engine = Engine(self.settings, 1, 0)
        entries = [
            m.Entry(machine=f"m{n}", address=f"m{n}:1", mode="ready", kind="small box", cores_room=26.0,
                    memory_room=41.0)
            for n in range(MACHINES)
        ]  # fmt: skip
        self.engine.list_said(0, m.Listing(version=1, whole=True, entries=entries))
        self.engine.list_unchanged(0)
        self.checks = 0
        allowed = self.engine.scheduler._allowed

        def counted(*arguments: object) -> bool:
            self.checks += 1
            return allowed(*arguments)

        self.engine.scheduler._allowed = counted

    def checks_of_step(self, now: int) -> int:
        self.checks = 0
        self.engine.list_unchanged(now)
        self.engine.list_confirmed(now, now)
        self.engine.pump(now)
        return self.checks

    def most_checks(self) -> int:
        return self.settings.step_limits.machines + 4 * MACHINES  # those of the last guest in full


def test_a_step_considers_a_bounded_number_of_machines() -> None:
    """Guards against one step that tries all guests on all machines: it stood still for seconds, and the
    answers of all other owners were late."""
    counting = CountingEngine()
    for n in range(800):
        counting.engine.owner_said(0, "bad", submit(f"b{n}", TOO_LARGE, f"s{n}"))
    most = max(counting.checks_of_step(step * STEP) for step in range(40))
    assert 0 < most <= counting.most_checks()


def test_an_owner_with_many_guests_does_not_delay_the_guest_of_another() -> None:
    """Guards against a queue in which one owner's guests that fit nowhere go before those of all others."""
    counting = CountingEngine()
    for n in range(800):
        counting.engine.owner_said(0, "bad", submit(f"b{n}", TOO_LARGE, f"s{n}"))
    now = 0
    for _ in range(10):
        now += STEP
        counting.checks_of_step(now)
    counting.engine.owner_said(now, "usual", submit("g", 1.0, "s"))
    steps = 0
    while not counting.engine.newest_records["g"].machine:
        now, steps = now + STEP, steps + 1
        assert counting.checks_of_step(now) <= counting.most_checks()
        assert steps < 10


def dispatched(made: Scheduler, now: int) -> list[str]:
    """The guests that are dispatched in one step."""
    made.pace.begin_step(now, made.pace.has_reached_limit())
    found = []
    while (decision := made.decide(now)) is not None:
        found += [decision.guest] if decision.kind is DecisionKind.DISPATCH else []
    return found


def test_an_owner_whose_guests_are_not_allowed_anywhere_takes_turns_with_others() -> None:
    """Guards against guests that are tried in vain, one after the other, before those of another owner, where
    machines have room for them and a rule forbids it."""
    made = scheduler([f"m{n}" for n in range(MACHINES)])
    made.pace.work_limit = 1000
    spread = 4  # the class that is spread over machines, two to each
    for n in range(1200):
        guest = submission(f"b{n}", spread, cores=0.01 + n / 1e6, time_left=60_000 * MS)
        made.guest_submitted(0, guest._replace(owner="bad", memory=3.0))
    now = 0
    while not made.pace.behind or len(made.outstanding) < 2 * MACHINES:
        now += STEP
        dispatched(made, now)
        assert now < 40_000 * MS
    made.guest_submitted(now, submission("g", time_left=60_000 * MS)._replace(owner="usual", memory=0.1))
    assert "g" in dispatched(made, now + STEP) + dispatched(made, now + 2 * STEP)


def test_answers_that_are_due_do_not_keep_guests_from_being_placed() -> None:
    """Guards against refusals that fall due as fast as they are given: nothing was placed beside them."""
    made = scheduler("ab")
    made.pace.answers_limit = 10
    for n in range(100):
        made.guest_submitted(0, submission(f"b{n}", time_left=0))
    made.guest_submitted(0, submission("g"))
    assert dispatched(made, MS) == ["g"]


def test_turns_are_the_same_for_an_owner_that_comes_later() -> None:
    """Guards against an owner that is served alone because it had no turns before, and one that has to wait
    for as many as the others had."""
    turns = OwnerTurns()
    for _ in range(100):
        turns.served("first")
    assert turns.assign(["first"] * 3 + ["second"] * 3) == [100, 101, 102, 99, 100, 101]


def test_turns_of_owners_that_have_gone_are_dropped() -> None:
    """Guards against a table that grows with the owners seen."""
    turns = OwnerTurns()
    for n in range(100):
        turns.served(f"owner-{n}")
        turns.served("other")
    turns.assign([])
    assert len(turns.next_turn) <= 2


def test_a_planner_that_keeps_up_goes_by_value() -> None:
    """Guards against turns among owners where nothing is overloaded."""
    made = scheduler("ab")
    made.pace.work_limit = 10
    now = 0
    while now < 3 * BEHIND_AFTER:
        made.pace.begin_step(now, False)
        assert made.decide(now) is None or not made.pace.behind
        now += STEP
    owners = Counter(made.pace.turns.next_turn)
    assert not owners
