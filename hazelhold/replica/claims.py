"""The claim on a guest that must run at most once: the agreed value of a guest and the rules to change it.

The value names the planner, its run (`life`) and the dispatch whose offer may be sent. An offer is sent only
once the claim that names it is agreed, so that the claim always covers everything that may have been sent. No
I/O, no clock: changes are decided by the value and by the proposing planner's own memory, never by who is
considered alive.

    (nothing) --Take--> held --Fact--> placed --Fact--> over
                  ^       |                              |
                  |       v  (proven: nothing ran)       |  (ended, but not done; a later ask)
                  +---- free <---------------------------+ Take

Facts only join: nothing leads from placed or over back to held except a later submission (`ask`) by the owner
after an end that was not `done`. The claim of a planner whose fate is unknown remains: others wait for a
planner that may have sent an offer.
"""

from typing import Literal, NamedTuple

import msgspec
from msgspec import Struct

State = Literal["held", "placed", "over", "free"]
RANK = {"free": 0, "held": 1, "placed": 2, "over": 3}
FINISHED = ("done",)  # ends after which the guest is never submitted again


class Claim(Struct, array_like=True, frozen=True):
    """The agreed value of a guest.

    `held`: the dispatch may have been sent and may have run. `placed`: the machine accepted it. `over`: it
    ended with `how`. `free`: it never ran and can no longer run. Fields are only ever added at the end, with
    a default.
    """

    planner: str
    life: int
    ask: int
    attempt: int
    state: State
    machine: str = ""
    how: str = ""
    no: int = 0  # of the proposal in this run: no two claims have the same bytes


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Claim)
STRANGE = Claim("?", 0, 0, 0, "held")  # written by a newer program: this one must not change it


def encode(claim: Claim) -> bytes:
    return ENCODER.encode(claim)


def decode(value: bytes) -> Claim | None:
    """Decodes a claim. None if there is none; an unreadable one counts as held by another planner."""
    if not value:
        return None
    try:
        return DECODER.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return STRANGE


class Take(NamedTuple):
    """Claims a dispatch for a planner's run. The claim is taken

    - if no planner holds the guest;
    - if this same run holds it, which knows what became of its dispatches (a placed guest is claimed again
      only for a later submission);
    - if the value equals, byte for byte, the last claim in this planner's persisted state of an earlier run
      (`known`): an older disk has an older claim, an empty one has none;
    - if the guest ended otherwise than `done` and its owner has submitted it again.
    """

    planner: str
    life: int
    ask: int
    attempt: int
    machine: str
    no: int
    known: bytes = b""

    def claim(self) -> Claim:
        """The claim that is agreed if this change succeeds."""
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
    """What this planner observed of the guest: placed or over. A join: it never returns to a lower state."""

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
    """Releases exactly this claim (byte for byte), of which nothing was ever sent or ran: any planner may
    take the guest."""

    known: bytes

    def __call__(self, last: bytes) -> bytes:
        claim = decode(last)
        if claim is None or last != self.known or claim.state != "held":
            return last
        return encode(msgspec.structs.replace(claim, state="free", machine=""))


class NextLife(NamedTuple):
    """Allocates the number of a planner's run: no two processes ever get the same."""

    def __call__(self, last: bytes) -> bytes:
        return str(int(last or b"0") + 1).encode()


def lasts(value: bytes) -> bool:
    """Whether the value has to be kept permanently, since its end is not known."""
    if value[:1].isdigit():
        return True  # the number of a planner's run
    claim = decode(value)
    return claim is not None and claim.state in ("held", "placed")
