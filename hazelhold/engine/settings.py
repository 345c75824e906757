"""Settings of an engine: the scheduler's deployment settings, names, limits, and what its peers can do."""

from typing import NamedTuple

from hazelhold.config.planner import LimitsConfig, PlannerConfig, deployment_settings, to_microseconds
from hazelhold.engine.list_lease import lease_duration
from hazelhold.interface import Deployment


class PeerCapabilities(NamedTuple):
    """What owners, machines and the list service can do. The defaults fit this project's own protocol."""

    # Machines report on each connection which guests they hold. If not, a lost connection ends its
    # outstanding dispatches as possibly run, and placed guests stay placed until the machine is known to be
    # gone.
    reports_inventory: bool = True
    identifies_dispatches: bool = True  # messages of machines name the dispatch they are about
    # Owners repeat a submission under its name: repeats join the held guest, and answers are kept for them.
    owners_resubmit: bool = True
    acknowledges_submission: bool = True  # owners are sent an acknowledgement of a submission
    # Refusals advise how long to wait, and guests that cannot be placed in time are refused at once.
    advises_retry: bool = True
    # The list service regularly confirms that nothing changed. If so, a list that was not confirmed lately
    # proves nothing about a machine: each is probed before guests are sent there.
    list_confirms: bool = False
    reports_load: bool = True  # machines report their load in answers to probes
    # A machine reports the end of a guest that its owner was told to move.
    reports_moves: bool = False
    # Machines report what each guest uses: when a planner starts, and as it changes.
    reports_use: bool = False


class StepLimits(NamedTuple):
    """What an engine does in one step, beside its limit of decisions, before peers are read again."""

    machines: int = 20_000  # considered for guests
    answers: int = 0  # final answers without a placement; 0: they count as decisions


class EngineSettings(NamedTuple):
    """What an engine needs of a configuration. Names are in the order of the deployment settings."""

    deployment: Deployment
    products: tuple[str, ...]
    customers: tuple[str, ...]
    kinds: tuple[str, ...]
    limits: LimitsConfig
    peers: PeerCapabilities = PeerCapabilities()
    # How long a list service's answer to a ConfirmList is valid, in microseconds; 0: none is sent. Apart from
    # the deployment's `list_lease`, by which the scheduler also takes refusals for signs of a drain.
    list_lease: int = 0
    step_limits: StepLimits = StepLimits()


def engine_settings(config: PlannerConfig) -> EngineSettings:
    """The engine's settings from a planner's configuration."""
    estate = config.estate
    return EngineSettings(
        deployment_settings(config),
        tuple(p.name for p in estate.products),
        tuple(estate.customers),
        tuple(k.name for k in estate.kinds),
        config.limits,
        list_lease=lease_duration(to_microseconds(estate.fleet.drain_grace_ms)),
    )
