"""What the tests share: a small deployment, machines, and a Brain that is driven by hand."""

from hazelhold.brain import Brain
from hazelhold.interface import Ask, Decision, Deployment, Effect, Kind, Listed, Mode, Place, Product, Step

MS = 1000
PRODUCT = Product(Effect.RERUNNABLE, Place.ALL, 5000 * MS, 800 * MS, 1.0, 10.0, 0, 0.8, 0.2, -1,
                  Place.NOWHERE, 2)
PRODUCTS = (
    PRODUCT,
    PRODUCT._replace(effect=Effect.EXCLUSIVE),
    PRODUCT._replace(effect=Effect.TICKETED, group=Place.CELL),
    PRODUCT._replace(effect=Effect.TICKETED, group=Place.ALL),
    PRODUCT._replace(spread=Place.MACHINE),
)
DEPLOYMENT = Deployment(
    planners=1, slot=0, products=PRODUCTS, kinds=(Kind(24.0, 40.0),),
    list_is_asked=True, ask_within=10_000 * MS, list_has_room=True, cores_multiple=2.5,
    memory_multiple=1.5, makes_room=False, confirms_running=False, probing=True, reports_count_asked=False,
    max_dispatches=4,
    cold_for=15_000 * MS, cold_from=0.2, cold_window=2000 * MS,
    cold_offers=20.0, fleet_price=0.0,
)


def entry(name: str, mode: Mode = Mode.READY, started: int = 0, cell: int = 0, room: float = 24.0) -> Listed:
    return Listed(name, mode, started, 0, cell, 0, room, room * 40 / 24)


def ask(name: str, product: int = 0, cores: float = 1.0, patience: int = 5000 * MS) -> Ask:
    return Ask(name, product, 0, "service-" + str(product), cores, 2 * cores, patience)


def brain(names: str = "ab", at: int = 0, **changes: object) -> Brain:
    """A Brain that knows the named machines; two of them share a cell."""
    made = Brain(7, DEPLOYMENT._replace(**changes))
    made.machines_listed(at, [entry(n, cell=i // 2) for i, n in enumerate(names)], True)
    return made


def decisions(made: Brain, now: int) -> list[Decision]:
    """All that is decided at this moment, probes and list calls left out."""
    found = []
    while (decision := made.decide(now)) is not None:
        if decision.step not in (Step.PROBE, Step.FOLLOW_LIST):
            found.append(decision)
    return found
