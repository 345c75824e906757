"""What an engine is told at its start: the module's facts, names, bounds, and what its peers do."""

from typing import NamedTuple

from hazelhold.config.planner import LimitsConfig, PlannerConfig, deployment
from hazelhold.interface import Deployment


class PeerCapabilities(NamedTuple):
    """How the far side behaves. The defaults are this project's own protocol."""

    reports_inventory: bool = (
        True  # machines tell on each connection what they hold. If not: a lost connection ends its
    )
    # open dispatches, as maybe run, and what stands there stands until the machine is known to be gone
    identifies_dispatches: bool = True  # machines say which attempt they speak of
    owners_resubmit: bool = (
        True  # owners repeat an ask under its name: repeats join it, answers are kept for them
    )
    acknowledges_submission: bool = True  # owners hear that an ask was taken
    advises_retry: bool = True  # the door advises waits and turns away what cannot be reached in time
    # The list service says again and again that nothing changed. If so, a list that it has not confirmed
    # lately vouches for no machine: each is tested before work goes there.
    list_confirms: bool = False
    reports_use: bool = False  # machines tell what each task uses: at a planner's start, and as it changes


class EngineSettings(NamedTuple):
    """All that an engine needs of a configuration. Names stand in the order of the facts."""

    deployment: Deployment
    products: tuple[str, ...]
    customers: tuple[str, ...]
    kinds: tuple[str, ...]
    limits: LimitsConfig
    peers: PeerCapabilities = PeerCapabilities()


def engine_settings(config: PlannerConfig) -> EngineSettings:
    estate = config.estate
    return EngineSettings(
        deployment(config),
        tuple(p.name for p in estate.products),
        tuple(estate.customers),
        tuple(k.name for k in estate.kinds),
        config.limits,
    )
