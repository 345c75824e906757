"""What the rig and the processes that it drives say to each other, as JSON lines."""

from msgspec import Struct

from bench.capacity.hollow.tally import PeerFlows


class Status(Struct, tag="status", tag_field="t"):
    """Asks for a process's counts."""


class Restart(Struct, tag="restart", tag_field="t"):
    """All workers of a zone go down at once, and come back `down` microseconds later in a new incarnation."""

    zone: int
    down: int


class Drive(Struct, tag="drive", tag_field="t"):
    """An owner submits tasks to each planner at this rate from now on; 0 stops it."""

    rate: float


class Stop(Struct, tag="stop", tag_field="t"):
    """Ends the process."""


Command = Status | Restart | Drive | Stop


class Counts(Struct, kw_only=True):
    """The state of one process. `ready` of a planner: workers of this process whose present life has answered
    its roll call; `held` of a planner: open connections."""

    flows: dict[str, PeerFlows]
    faults: list[str] = []
    ready: dict[str, int] = {}
    held: dict[str, int] = {}
    restarts: int = 0
    # Of an owner.
    submitted: int = 0
    placed: int = 0
    ended: int = 0
    refused: int = 0
    reasons: dict[str, int] = {}  # of the refusals: type and reason
    # Of a list service.
    entries: int = 0
