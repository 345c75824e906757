"""The configuration's spread as a whole fleet in virtual time: real cores, and whatever may happen between
them."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hazelhold.emulate.distribution_network import Faults
from hazelhold.emulate.spread_nodes import Planned, Stored
from hazelhold.emulate.spread_world import put_planner
from hazelhold.fleetconfig.roster import Place
from tests.spread_rig import (
    SETTLED,
    TOLD,
    Impostor,
    assert_settled,
    assert_told,
    fleet,
    heal,
    item,
)

PLANNERS, CONTROLS = 9, 3
NAMES = [*(f"p{n}" for n in range(PLANNERS)), *(f"c{n}" for n in range(CONTROLS))]

pick = st.integers(0, PLANNERS - 1)
machine = st.sampled_from(NAMES)
step = st.one_of(
    st.tuples(st.just("commit"), st.integers(1, 30), st.integers(1, 60_000)),
    st.tuples(st.just("faults"), st.sampled_from([0.0, 0.05, 0.3]), st.sampled_from([0.0, 0.02])),
    st.tuples(st.just("break"), machine),
    st.tuples(st.just("pause"), machine),
    st.tuples(st.just("resume"), machine),
    st.tuples(st.just("restart"), pick, st.sampled_from(["kept", "none", "old"])),
    st.tuples(st.just("stop"), pick),
    st.tuples(st.just("cut"), machine, machine),
    st.tuples(st.just("cut region"), st.integers(0, 1)),
    st.tuples(st.just("heal")),
    st.tuples(st.just("out of touch"), st.integers(0, CONTROLS - 1)),
    st.tuples(st.just("impostor"), machine),
    st.tuples(st.just("refuse"), pick),
    st.tuples(st.just("move"), pick, st.integers(0, 3)),
    st.tuples(st.just("remove"), pick),
    st.tuples(st.just("run"), st.sampled_from([0.05, 0.7, 3.0, 12.0])),
)


class Scenario:
    """Carries out steps on a fleet."""

    def __init__(self, seed: int) -> None:
        self.world = fleet(PLANNERS, seed, CONTROLS)
        self.impostor = Impostor(self.world)
        self.world.wires.tamper = self.impostor

    def commit(self, count: int, size: int) -> None:
        for number in range(count):
            self.world.commit_at("c0", "work", [item(f"teams/t{number % 5}", "x" * (size // count))])

    def faults(self, chance: float, damaged: float) -> None:
        self.world.wires.faults = Faults(chance, chance, chance, damaged)

    def break_(self, name: str) -> None:
        for port in self.world.nodes[name].ports():
            self.world.wires.break_all(port)

    def pause(self, name: str) -> None:
        self.world.nodes[name].is_paused = True

    def resume(self, name: str) -> None:
        if self.world.nodes[name].is_paused:
            self.world.nodes[name].resume()

    def restart(self, number: int, state: str) -> None:
        held = self.world.disks.get(f"p{number}", [])
        stored: Stored | None = None
        if held and state != "none":
            stored = held[-1] if state == "kept" else held[len(held) // 2]
        self.world.start(self.world.planned[f"p{number}"], stored)

    def stop(self, number: int) -> None:
        self.world.nodes[f"p{number}"].stop()

    def cut(self, one: str, other: str) -> None:
        self.world.wires.cuts.add((one, other))

    def cut_region(self, region: int) -> None:
        inside = {name for name in NAMES if int(name[1:]) % 2 == region}
        self.world.wires.cuts |= {(a, b) for a in inside for b in NAMES if b not in inside}

    def heal(self) -> None:
        heal(self.world)
        self.world.wires.tamper = self.impostor

    def out_of_touch(self, number: int) -> None:
        self.world.controls[number].is_in_touch = False

    def impostor_(self, name: str) -> None:
        self.impostor.names = {name}

    def refuse(self, number: int) -> None:
        self.world.refused.add((f"p{number}", len(self.world.order) + 1))

    def move(self, number: int, zone: int) -> None:
        self.world.commit_at(
            "c0", "move", [put_planner(Planned(f"p{number}", Place(f"r{zone % 2}", f"z{zone}")))]
        )

    def remove(self, number: int) -> None:
        self.world.commit_at("c0", "remove", [], (f"planners/p{number}",))

    def run(self, seconds: float) -> None:
        self.world.run(seconds)

    def do(self, name: str, *arguments: object) -> None:
        method = {"break": "break_", "impostor": "impostor_"}.get(name, name.replace(" ", "_"))
        getattr(self, method)(*arguments)

    def finish(self) -> None:
        """The faults end; then the laws of the end hold."""
        heal(self.world)
        self.world.run(SETTLED)
        assert_settled(self.world)
        self.world.run(TOLD)
        assert_told(self.world)
        self.world.commit_at("c1", "last", [item("teams/last", 1)])
        self.world.run(3)
        assert_settled(self.world)
        assert_told(self.world)


@settings(max_examples=40, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 1000), steps=st.lists(step, min_size=4, max_size=14))
def test_any_faults(seed: int, steps: list[tuple]) -> None:
    scenario = Scenario(seed)
    for name, *arguments in steps:
        scenario.do(name, *arguments)
        scenario.run(0.2)
    scenario.finish()
