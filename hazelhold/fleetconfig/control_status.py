"""A control machine's status, for operators. No I/O."""

from collections import Counter

from hazelhold.fleetconfig import messages as m
from hazelhold.fleetconfig.control import ControlCore
from hazelhold.fleetconfig.everywhere import FleetCoverage

CUT_OFF = 5_000_000  # microseconds without a majority's word after which that is told
TOLD_REVISIONS = 64  # in a status: in a burst a revision is told everywhere when a dozen or more followed it
TOLD_LACKING = 50


def control_status(
    now: int, name: str, core: ControlCore, fleet: FleetCoverage, disagreement: str, counts: Counter[str]
) -> m.Status:
    """The order as one control machine knows it, and who has it. `disagreement`: why the agreed values could
    not be asked lately."""
    age, lacking, position = core.confirmed_age(now), fleet.lacking(now), core.position
    cut_off = "" if 0 <= age <= CUT_OFF else "no majority of the control machines answers"
    if cut_off and disagreement:
        cut_off += f" ({disagreement})"
    return m.Status(
        name=name,
        number=position.number,
        chain=position.chain,
        in_force=position.number,
        confirmed_age=age,
        route=(name,),
        cut_off=core.broken or cut_off,
        revisions=fleet.revisions(now)[:TOLD_REVISIONS],
        lacking=tuple(lacking[:TOLD_LACKING]),
        lacking_count=len(lacking),
        counts=dict(counts),
    )
