"""The claim on a guest that must not run twice: what one agreed value a guest says, and who may change it.

The value names the planner, its life, and the dispatch whose offer may leave: an offer leaves only once the
claim that names it is agreed, so that the claim always tells at least as much as can have left. No I/O, no
clock; decided on what the value and the asker's own memory say, never on who is thought alive.

    (nothing) --Take--> held --Fact--> placed --Fact--> over
                  ^       |                              |
                  |       v  (proven: nothing ran)       |  (ended, but not done; a later ask)
                  +---- free <---------------------------+ Take

Facts only join: nothing leads from placed or over back to held but a later ask of the owner's, after an end
that was not `done`. A claim of a planner whose fate is open stays: who may have left an offer is waited for.
"""

from typing import Literal, NamedTuple

import msgspec
from msgspec import Struct

State = Literal["held", "placed", "over", "free"]
RANK = {"free": 0, "held": 1, "placed": 2, "over": 3}
FINISHED = ("done",)  # ends after which the guest is never asked for again


class Claim(Struct, array_like=True, frozen=True):
    """`held`: this dispatch may have left and may have run. `placed`: it was accepted by the machine. `over`:
    it ended so. `free`: nothing of it ever ran, and nothing can any more. Fields are only ever added at the
    end, with a default."""

    planner: str
    life: int
    ask: int
    attempt: int
    state: State
    machine: str = ""
    how: str = ""
    no: int = 0  # of the asking, in its life: no two claims are the same bytes


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Claim)
STRANGE = Claim("?", 0, 0, 0, "held")  # what a newer program wrote: nobody here may touch it


def encode(claim: Claim) -> bytes:
    return ENCODER.encode(claim)


def decode(value: bytes) -> Claim | None:
    """None if nobody has claimed; what cannot be read counts as held by somebody."""
    if not value:
        return None
    try:
        return DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return STRANGE


class Take(NamedTuple):
    """Claims a dispatch for a planner's life. Taken if nobody has the guest; if this very life has it, which
    knows what became of its dispatches (of one that stood, only for a later ask); if it is held by the claim,
    to the byte, that this planner's kept state of an earlier life ends with (`known`): an older disk has an
    older one, an empty one none; or if the guest ended otherwise than done and its owner has asked anew."""

    planner: str
    life: int
    ask: int
    attempt: int
    machine: str
    no: int
    known: bytes = b""

    def claim(self) -> Claim:
        return Claim(self.planner, self.life, self.ask, self.attempt, "held", self.machine, "", self.no)

    def __call__(self, last: bytes) -> bytes:
        claim = decode(last)
        if claim is None or claim.state == "free" or claim.state == "held" and last == self.known:
            return encode(self.claim())
        if claim.state == "over":
            return encode(self.claim()) if claim.how not in FINISHED and self.ask > claim.ask else last
        mine = (claim.planner, claim.life) == (self.planner, self.life)
        return encode(self.claim()) if mine and (claim.state == "held" or self.ask > claim.ask) else last


class Fact(NamedTuple):
    """What this planner saw become of the guest: placed or over. Joins: it never leads back."""

    planner: str
    ask: int
    state: State
    machine: str
    how: str = ""

    def __call__(self, last: bytes) -> bytes:
        claim = decode(last)
        if claim is None or (claim.planner, claim.ask) != (self.planner, self.ask):
            return last
        if RANK[self.state] <= RANK[claim.state]:
            return last
        return encode(msgspec.structs.replace(claim, state=self.state, machine=self.machine, how=self.how))


class Release(NamedTuple):
    """Nothing of this claim, to the byte, ever left or ran: whoever asks may have the guest."""

    known: bytes

    def __call__(self, last: bytes) -> bytes:
        claim = decode(last)
        if claim is None or last != self.known or claim.state != "held":
            return last
        return encode(msgspec.structs.replace(claim, state="free", machine=""))


class NextLife(NamedTuple):
    """A life's number, agreed: no two processes ever get the same."""

    def __call__(self, last: bytes) -> bytes:
        return str(int(last or b"0") + 1).encode()


def lasts(value: bytes) -> bool:
    """Whether the value has to be kept for ever: nothing is known of its end."""
    if value[:1].isdigit():
        return True  # a life's number
    claim = decode(value)
    return claim is not None and claim.state in ("held", "placed")
