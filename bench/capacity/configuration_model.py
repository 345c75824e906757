"""What the spread of configuration costs, by its cores in virtual time: messages and bytes of encoded frames
at rest, at the mean rate and at the burst, beside two plain ways that carry the same changes.

`compare(planners, load, seed)` is one run. `python -m bench.capacity.configuration_model` prints a table.
The plain ways are computed from the sizes of the same messages, second by second: *polling* (each planner
asks a control machine each second, and is sent what is new) and *everybody tells everybody* (who hears of a
change sends it to all others). A third is run like the tree: *direct*, all planners follow control machines.
"""

import sys
import time
from collections import Counter
from random import Random
from typing import NamedTuple

from bench.capacity import target as t
from bench.capacity.configuration.payload import note
from hazelhold.emulate.distribution_network import FRAME_BYTES, SimulatedNetwork
from hazelhold.emulate.spread_nodes import Planned
from hazelhold.emulate.spread_world import World
from hazelhold.fleetconfig.codec import encode
from hazelhold.fleetconfig.document import Put, canonical
from hazelhold.fleetconfig.messages import Follow, Heartbeat, PackedRevisions
from hazelhold.fleetconfig.packed import pack
from hazelhold.fleetconfig.revision import SealedRevision
from hazelhold.fleetconfig.roster import RELAYS, ControlMachine, Place

SETTLING_S = 60  # before anything is counted: relays are followed by then
LATENCY = 20_000  # microseconds, the least of each message; the most is three times that
TEAMS = 110
ENVELOPE_BYTES = 150  # of a revision with one change beside the value, about
POLL_S = 1  # how often a planner polls


class Load(NamedTuple):
    """Changes a second, for so many seconds."""

    name: str
    changes: float
    seconds: int


LOADS = (
    Load("rest", 0.0, 60),
    Load("mean", t.CONFIGURATION_CHANGES_A_DAY / t.DAY_S, 120),
    Load("burst", t.CONFIGURATION_BURST * t.CONFIGURATION_CHANGES_A_DAY / t.DAY_S, 60),
)


class Traffic(NamedTuple):
    """Messages and bytes a second, sent and received together. A planner: the mean of all, the busiest one,
    and the worst second of any. A control machine: the busiest one."""

    messages: float  # in all
    planner: float
    busiest_planner: float
    worst_second: float
    control: float


class Outcome(NamedTuple):
    """One run. `in_force_s`: from commit until the last planner had it in force, the median and the longest;
    `told_s`: what control machines tell for it, the longest. `processor`: share of a core a planner, with the
    emulation's own work (an upper bound)."""

    planners: int
    load: Load
    revisions: int
    change_bytes: float  # mean, of an encoded revision
    spread: Traffic
    direct: Traffic
    polling: Traffic
    telling: Traffic
    in_force_s: tuple[float, float]
    told_s: float
    processor: float


class Seconds:
    """Bytes by machine and second, and in all by the ends' roles and the type of message."""

    def __init__(self) -> None:
        self.rows: list[Counter[str]] = []
        self.messages = 0
        self.bytes_of: Counter[tuple[str, str]] = Counter()
        self.messages_of: Counter[tuple[str, str]] = Counter()

    def add(self, wires: SimulatedNetwork) -> None:
        """Takes what was counted in one more second."""
        row: Counter[str] = Counter()
        for (sender, receiver, kind), size in wires.bytes.items():
            row[sender] += size
            row[receiver] += size
            key = _roles(sender, receiver), kind
            self.bytes_of[key] += size
            self.messages_of[key] += wires.messages[sender, receiver, kind]
        self.rows.append(row)
        self.messages += wires.messages.total()

    def traffic(self, planners: list[str], controls: list[str]) -> Traffic:
        span = len(self.rows)
        total: Counter[str] = Counter()
        for row in self.rows:
            total.update(row)
        return Traffic(
            messages=self.messages / span,
            planner=sum(total[name] for name in planners) / span / len(planners),
            busiest_planner=max(total[name] for name in planners) / span,
            worst_second=float(max(row[name] for row in self.rows for name in planners)),
            control=max(total[name] for name in controls) / span,
        )


def fleet(planners: int, seed: int, relays: int = RELAYS) -> World:
    """Planners over the target's regions and zones, and its control machines, settled."""
    zones = t.ZONES // t.REGIONS
    control = [ControlMachine(f"c{n}", f"c{n}", f"r{n}") for n in range(t.CONTROL_MACHINES)]
    planned = [
        Planned(f"p{n}", Place(f"r{n % t.REGIONS}", f"z{n // t.REGIONS % zones}")) for n in range(planners)
    ]
    world = World(control, planned, seed, latency=LATENCY, relays=relays)
    world.commit("teams", [Put(f"teams/t{n}", canonical({"quota": n})) for n in range(TEAMS)])
    world.start_all()
    world.run(SETTLING_S)
    return world


def compare(planners: int, load: Load, seed: int = 1) -> Outcome:
    """One load on a settled fleet of so many planners, and the plain ways with the same changes."""
    world = fleet(planners, seed)
    first = len(world.order)
    began = time.process_time()
    spread, committed = run(world, load, Random(f"changes/{seed}"))
    spent = time.process_time() - began
    world.run(10)
    direct, _ = run(fleet(planners, seed, relays=0), load, Random(f"changes/{seed}"))
    names, controls = [node.name for node in world.planners], [node.name for node in world.controls]
    new = world.order[first:]
    taken = sorted(
        (world.last_in_force_at[one.revision.number] - world.committed_at[one.revision.number - 1]) / 1e6
        for one in new
    )
    numbers = {one.revision.number for one in new}
    told = [
        revision.everywhere_after
        for control in world.controls
        for revision in control.fleet.revisions(world.now)
        if revision.number in numbers
    ]
    assert all(after >= 0 for after in told), "a control machine does not know that all have it"
    return Outcome(
        planners=planners,
        load=load,
        revisions=len(new),
        change_bytes=sum(len(one.body) for one in new) / max(len(new), 1),
        spread=spread.traffic(names, controls),
        direct=direct.traffic(names, controls),
        polling=polling(names, controls, committed).traffic(names, controls),
        telling=telling(names, controls, committed).traffic(names, controls),
        in_force_s=(taken[len(taken) // 2], taken[-1]) if taken else (0.0, 0.0),
        told_s=max(told, default=0) / 1e6,
        processor=spent / load.seconds / planners,
    )


def run(world: World, load: Load, random: Random) -> tuple[Seconds, list[list[SealedRevision]]]:
    """Commits at random moments; what each machine sent and received in each second, and what was committed
    in it."""
    seconds, committed = Seconds(), []
    upcoming = random.expovariate(load.changes) if load.changes else float(load.seconds)
    for second in range(load.seconds):
        world.wires.messages.clear()
        world.wires.bytes.clear()
        new: list[SealedRevision] = []
        began = world.now
        while upcoming < second + 1:
            world.run(max(began + round((upcoming - second) * 1e6) - world.now, 0) / 1e6)
            value = {
                "limit": random.randrange(1000),
                "note": note(random, t.CONFIGURATION_CHANGE_BYTES - ENVELOPE_BYTES),
            }
            machine = f"c{random.randrange(t.CONTROL_MACHINES)}"
            world.commit_at(machine, "change", [Put(f"teams/t{random.randrange(TEAMS)}", canonical(value))])
            new.append(world.order[-1])
            upcoming += random.expovariate(load.changes)
        world.run((began + 1_000_000 - world.now) / 1e6)
        committed.append(new)
        seconds.add(world.wires)
    return seconds, committed


def _roles(sender: str, receiver: str) -> str:
    """Names begin with c or p."""
    return " to ".join("control" if name.startswith("c") else "planner" for name in (sender, receiver))


def polling(names: list[str], controls: list[str], committed: list[list[SealedRevision]]) -> Seconds:
    """Each planner asks its control machine each second."""
    made = Seconds()
    question = FRAME_BYTES + len(encode(Follow(number=1000, chain=bytes(16))))
    nothing = FRAME_BYTES + len(encode(Heartbeat(number=1000, chain=bytes(16), confirmed_age=9999)))
    for new in committed:
        answer = nothing
        if new:
            answer = FRAME_BYTES + len(encode(_message(new)))
        row: Counter[str] = Counter()
        for index, name in enumerate(names):
            row[name] += question + answer
            row[controls[index % len(controls)]] += question + answer
        made.rows.append(row)
        made.messages += 2 * len(names)
    return made


def telling(names: list[str], controls: list[str], committed: list[list[SealedRevision]]) -> Seconds:
    """The committer tells all planners, and each of them all others."""
    made = Seconds()
    for second, new in enumerate(committed):
        row: Counter[str] = Counter()
        for one in new:
            size = FRAME_BYTES + len(encode(_message([one])))
            row[controls[second % len(controls)]] += size * len(names)
            for name in names:
                row[name] += size + 2 * size * (len(names) - 1)
            made.messages += len(names) * len(names)
        made.rows.append(row)
    return made


def _message(new: list[SealedRevision]) -> PackedRevisions:
    packed = pack(new)
    assert packed is not None and packed.count == len(new)
    return packed.message


def table(sizes: tuple[int, ...], loads: tuple[Load, ...] = LOADS, seed: int = 1) -> str:
    """Rows for people: bytes a second."""
    lines = [
        "planners load  way      messages/s  planner B/s  busiest  its worst s  control B/s  in force s"
        "  told s  core"
    ]
    for planners in sizes:
        for load in loads:
            one = compare(planners, load, seed)
            ways = (
                ("tree", one.spread),
                ("direct", one.direct),
                ("poll", one.polling),
                ("tell", one.telling),
            )
            for way, traffic in ways:
                line = (
                    f"{planners:8} {load.name:5} {way:8} {traffic.messages:10.0f} {traffic.planner:12.0f}"
                    f" {traffic.busiest_planner:8.0f} {traffic.worst_second:12.0f} {traffic.control:12.0f}"
                )
                if way == "tree":
                    line += (
                        f"  {one.in_force_s[0]:.2f}-{one.in_force_s[1]:.2f} {one.told_s:7.2f}"
                        f"  {one.processor * 100:.3f}%"
                    )
                lines.append(line)
    return "\n".join(lines)


if __name__ == "__main__":
    print(table(tuple(int(size) for size in sys.argv[1:]) or (64, 230)))
