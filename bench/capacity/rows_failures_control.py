"""Rows of a lost control machine: how long until those who followed it follow another source, and by how many
messages. The configuration's cores in virtual time; of all control machines the one with the most followers.

A control machine whose process ends closes its connections; a silent one keeps them open and says nothing, as
behind a lost switch.
"""

from collections import Counter
from collections.abc import Iterator

from bench.capacity.configuration_model import fleet
from bench.capacity.registry import RefusedError, measurement
from hazelhold.emulate.spread_nodes import ControlNode, PlannerNode
from hazelhold.emulate.spread_world import World

INPUTS = ("bench/capacity/configuration_model.py",)
ROLE = "failures"
PLANNERS = (16, 32, 64, 128)
FEW_PLANNERS = (8, 10, 12)
SEEDS = (1, 2, 3)
WATCHED_S = 60.0
STEP_S = 0.05  # how finely a time is told
NOTE = "virtual time; messages take 20 to 60 ms; a tree with two relays; the machine with the most followers"


def source_of(planner: PlannerNode) -> str:
    """Whom a planner follows; empty if nobody."""
    return planner.follower.standing(planner.world.now).source


class LostControlMachine:
    """A settled fleet, and the planners that follow its busiest control machine."""

    def __init__(self, planners: int, seed: int) -> None:
        self.world: World = fleet(planners, seed)
        followed = Counter(source_of(each) for each in self.world.planners)
        self.lost: ControlNode = max(self.world.controls, key=lambda each: followed[each.name])
        self.followers = [each for each in self.world.planners if source_of(each) == self.lost.name]
        if not self.followers:
            raise RefusedError("no planner follows a control machine")
        self.world.wires.messages.clear()

    def end(self) -> None:
        """Its process ends."""
        self.lost.stop()

    def fall_silent(self) -> None:
        """It says nothing more; its connections stay open."""
        self.lost.is_paused = True

    def known_after(self) -> float:
        """Seconds until each of its followers follows another source."""
        began = self.world.now
        while not self._all_moved():
            if self.world.now - began > WATCHED_S * 1e6:
                raise RefusedError(f"not all follow another source within {WATCHED_S:g} s")
            self.world.run(STEP_S)
        return (self.world.now - began) / 1e6

    def _all_moved(self) -> bool:
        return all(source_of(each) not in ("", self.lost.name) for each in self.followers)

    def messages(self) -> int:
        """What its followers have sent and received since."""
        names = {each.name for each in self.followers}
        counted = self.world.wires.messages.items()
        return sum(count for (sender, receiver, _), count in counted if {sender, receiver} & names)


@measurement(
    id="failure.control.ended.known",
    role=ROLE,
    quantity="time until all who followed a control machine follow another: its process ends",
    unit="s",
    by="planners",
    how="module alone",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note=NOTE,
)
def ended_known(size: int) -> Iterator[float]:
    for seed in SEEDS:
        made = LostControlMachine(size, seed)
        made.end()
        yield made.known_after()


@measurement(
    id="failure.control.silent.known",
    role=ROLE,
    quantity="time until all who followed a control machine follow another: it falls silent",
    unit="s",
    by="planners",
    how="module alone",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note=NOTE,
)
def silent_known(size: int) -> Iterator[float]:
    for seed in SEEDS:
        made = LostControlMachine(size, seed)
        made.fall_silent()
        yield made.known_after()


@measurement(
    id="failure.control.silent.messages",
    role=ROLE,
    quantity="messages of all who followed a control machine that falls silent, until they follow another",
    unit="messages",
    by="planners",
    how="module alone",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note=NOTE + "; sent and received, with those to their own followers",
)
def silent_messages(size: int) -> Iterator[float]:
    for seed in SEEDS:
        made = LostControlMachine(size, seed)
        made.fall_silent()
        made.known_after()
        yield made.messages()


@measurement(
    id="failure.control.followers",
    role=ROLE,
    quantity="planners that follow the busiest control machine directly",
    unit="planners",
    by="planners",
    how="module alone",
    sizes=PLANNERS,
    small=FEW_PLANNERS,
    note="the tree with two relays; the others follow relays",
)
def followers(size: int) -> Iterator[float]:
    for seed in SEEDS:
        yield len(LostControlMachine(size, seed).followers)
