"""A planner's two sides together: what its follower holds, its source passes on. No I/O."""

from hazelhold.fleetconfig.follower import FollowerCore
from hazelhold.fleetconfig.source import SourceCore
from hazelhold.fleetconfig.spread_actions import Times


def pass_on(now: int, follower: FollowerCore, source: SourceCore) -> None:
    """To be called after each event of either core, before their actions are taken: new revisions and the
    age go down, coverage goes up. Both cores share one `History` and one `Subtree`."""
    source.confirmed(follower.confirmation.confirmed_at, follower.standing(now).route)
    if source.served != source.history.position:
        source.advanced(now)
    follower.tick(now)


def relay_times(times: Times) -> Times:
    """For a planner's source: revisions come in batches already, and are passed on as they come."""
    return times._replace(batch=0)
