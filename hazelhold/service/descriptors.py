"""How many descriptors this process may open.

A planner holds a connection to each worker of its list, so it needs as many descriptors as there are workers
and clients. The soft limit is a default for programs that use `select`; a process may raise its own up to the
hard limit, which the operator sets (getrlimit(2)).
"""

import resource
from typing import NamedTuple


class DescriptorLimits(NamedTuple):
    """The process's limits on open descriptors; `resource.RLIM_INFINITY` for none."""

    soft: int
    hard: int


def raise_descriptor_limit() -> DescriptorLimits:
    """Raises the soft limit to the hard one, where the system allows it; returns the limits in force then."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        except (ValueError, OSError):  # some systems refuse an infinite limit: the soft one stays
            pass
    return DescriptorLimits(*resource.getrlimit(resource.RLIMIT_NOFILE))
