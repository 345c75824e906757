"""The budgets of the holder of configuration: what spreading it costs a planner and the control machines."""

from bench.capacity import target as t
from bench.capacity.held import Held

N = t.PLANNERS
CORE, MEMORY, TRAFFIC = "of a core", "bytes", "bytes a second"
HOLDER, CONTROL = "holder of configuration", "control machines"
BURST = f"{t.CONFIGURATION_BURST} times the mean rate"
RELAY = "a relay of its region; real processes, tree with two relays"
DIRECT = "all follow control machines"


def process(row: str) -> str:
    """A row of the real processes at the chosen number of planners."""
    return f"configuration.process.{row}@{N}"


def beside_off(phase: str) -> str:
    """Processor time beside that of a planner without it."""
    return f"{process(phase + '.planner.cpu')} - {process(phase.rpartition('direct.')[2] + '.off.cpu')}"


def at_burst(row: str) -> str:
    """A row's value at the burst's rate of changes: at a part of the target there are as many fewer."""
    rest, burst = process(f"rest.{row}"), process(f"burst.{row}")
    if row.startswith("direct."):
        rest, burst = (process(f"direct.{load}.{row.removeprefix('direct.')}") for load in ("rest", "burst"))
    rate = t.CONFIGURATION_BURST * t.CONFIGURATION_CHANGES_A_DAY / t.DAY_S
    return f"{rest} + ({burst} - {rest}) / {rate!r} * demand.configuration.burst"


TRAFFIC_HELD = [
    Held(HOLDER, resource, t.BUDGET_TRAFFIC, TRAFFIC, arithmetic, note)
    for resource, arithmetic, note in (
        ("traffic to a planner: at rest", process("rest.busiest.bytes") + " * 1", RELAY),
        ("traffic to a planner: mean rate", process("mean.busiest.bytes") + " * 1", RELAY),
        ("traffic to a planner: burst", at_burst("busiest.bytes"), f"{BURST}; {RELAY}"),
        ("traffic to a planner: burst, mean of all planners", at_burst("planner.bytes"), BURST),
        (
            "traffic to a planner: burst, without relays",
            at_burst("direct.busiest.bytes"),
            f"{BURST}; {DIRECT}",
        ),
        ("traffic to a planner: worst second of a burst", at_burst("worst.bytes"), RELAY),
        (
            "traffic to a planner: worst second of a burst, without relays",
            at_burst("direct.worst.bytes"),
            DIRECT,
        ),
        ("traffic to a planner: worst second, mean rate", process("mean.worst.bytes") + " * 1", RELAY),
        (
            "traffic to a planner: worst second, a zone returns",
            process("faults.zone.worst.bytes") + " * 1",
            "",
        ),
        (
            "traffic to a planner: worst second, a region's cut",
            process("faults.cut_both.worst.bytes") + " * 1",
            "both ways",
        ),
        (
            "traffic to a planner: worst second, a lost control machine",
            process("faults.control.worst.bytes") + " * 1",
            "",
        ),
    )
]
PROCESSOR_HELD = [
    Held(HOLDER, resource, t.BUDGET_PROCESSOR, CORE, beside_off(phase), note)
    for resource, phase, note in (
        ("processor time: at rest", "rest", "beside a planner's without it"),
        ("processor time: mean rate", "mean", "beside a planner's without it"),
        ("processor time: burst", "burst", f"{BURST}; {RELAY}"),
        ("processor time: burst, without relays", "direct.burst", f"{BURST}; {DIRECT}"),
    )
]
REST_HELD = [
    Held(
        HOLDER,
        "memory",
        t.BUDGET_MEMORY,
        MEMORY,
        f"{process('burst.planner.memory')} - {process('burst.off.memory')}",
        "resident, beside a planner's without it, which is most of it",
    ),
    Held(
        HOLDER,
        "time until in force everywhere: mean rate",
        t.CONFIGURATION_IN_FORCE_S,
        "s",
        f"{process('mean.told.worst')} * 1",
        "as a control machine tells it, the longest: an upper bound",
    ),
    Held(
        HOLDER,
        "time until in force everywhere: burst",
        t.CONFIGURATION_IN_FORCE_S,
        "s",
        f"max({process('burst.told.worst')}, {process('burst.in_force.worst')})",
        "as a control machine tells it, or by planners' clocks from the writer's asking, the longest",
    ),
    Held(
        HOLDER,
        "time until in force everywhere: burst, without relays",
        t.CONFIGURATION_IN_FORCE_S,
        "s",
        f"max({process('direct.burst.told.worst')}, {process('direct.burst.in_force.worst')})",
        DIRECT,
    ),
    Held(
        HOLDER,
        "time until in force everywhere: after a region's cut",
        t.CONFIGURATION_IN_FORCE_S,
        "s",
        f"{process('faults.cut_both.returned')} * 1",
        "from the end of the cut",
    ),
]
CONTROL_HELD = [
    Held(
        CONTROL,
        "processor time: burst",
        1.0,
        CORE,
        f"{process('burst.control.cpu')} * 1",
        f"the busiest of {t.CONTROL_MACHINES}; assumption: one core of each",
    ),
    Held(
        CONTROL,
        "processor time: burst, without relays",
        1.0,
        CORE,
        f"{process('direct.burst.control.cpu')} * 1",
        DIRECT,
    ),
    *(
        Held(
            CONTROL,
            f"traffic: {words}",
            t.BUDGET_TRAFFIC * t.PLANNERS / t.CONTROL_MACHINES,
            TRAFFIC,
            f"{process(row)} * 1",
            "the busiest; held against the budgets of the planners that share it, since none is told",
        )
        for words, row in (
            ("at rest", "rest.control.bytes"),
            ("mean rate", "mean.control.bytes"),
            ("burst", "burst.control.bytes"),
            ("burst, without relays", "direct.burst.control.bytes"),
        )
    ),
]
CONFIGURATION = [*TRAFFIC_HELD, *PROCESSOR_HELD, *REST_HELD, *CONTROL_HELD]
