"""The limit on open file descriptors.

A planner holds a connection to each machine of its list, so it needs a descriptor for each machine and owner.
The soft limit is low by default for programs that use `select`; a process may raise its own up to the hard
limit, which the operator sets (getrlimit(2)).
"""

import resource
from typing import NamedTuple


class DescriptorLimits(NamedTuple):
    """The process's limits on open descriptors; `resource.RLIM_INFINITY` means no limit."""

    soft: int
    hard: int


def raise_descriptor_limit() -> DescriptorLimits:
    """Raises the soft limit to the hard one, where the system allows it; returns the resulting limits."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        except (ValueError, OSError):  # some systems refuse an infinite limit: keep the soft one
            pass
    return DescriptorLimits(*resource.getrlimit(resource.RLIMIT_NOFILE))
