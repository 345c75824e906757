"""What `shim/sitecustomize.py` is told: steps of the wall clock, and system calls that fail for a while."""

import json
from pathlib import Path

from msgspec import Struct, to_builtins

SHIM_FOLDER = Path(__file__).parent / "shim"

# Errors by call, as Linux documents them for TCP sockets.
ERRORS = {
    "accept": ["ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPERM", "EPROTO", "ENETDOWN"],
    "socket": ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"],
    "connect": ["EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EAGAIN", "ENOBUFS", "EPERM"],
    "recv": ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "ENETUNREACH"],
    "send": ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EPIPE", "ENETUNREACH"],
    "short_recv": ["EIO"],  # the number is not used: the call is made with fewer bytes
    "short_send": ["EIO"],
}


class ClockStep(Struct, frozen=True):
    """The wall clock reads `seconds` more from `at` on (CLOCK_MONOTONIC)."""

    at: float
    seconds: float


class CallFault(Struct, frozen=True):
    """From `start` to `end` this share of the calls fails."""

    call: str
    start: float
    end: float
    share: float

    @property
    def errors(self) -> list[str]:
        return ERRORS[self.call]


class ShimPlan(Struct):
    """All faults of one planner's process, over all of its lives."""

    seed: int
    clock_steps: list[ClockStep]
    calls: list[CallFault]

    def write(self, path: Path) -> None:
        calls = [to_builtins(each) | {"errors": each.errors} for each in self.calls]
        raw = {"seed": self.seed, "clock_steps": to_builtins(self.clock_steps), "calls": calls}
        path.write_text(json.dumps(raw), encoding="utf-8")
