"""Formats a status of the fleet's configuration, for people and as JSON."""

from collections.abc import Iterator
from typing import Any

import msgspec

from hazelhold.cli.members import format_duration
from hazelhold.fleetconfig.messages import MemberState, RevisionCoverage, Status

SHOWN_REVISIONS = 16  # in the output for people, latest first; --json has all that were received


def as_dict(status: Status) -> dict[str, Any]:
    """Returns all fields for JSON: checksums in hexadecimal, durations in microseconds (-1: unknown)."""
    fields = {name: getattr(status, name) for name in status.__struct_fields__}
    fields["chain"] = status.chain.hex()
    fields["route"] = list(status.route)
    fields["revisions"] = [msgspec.structs.asdict(each) for each in status.revisions]
    fields["lacking"] = [
        {**msgspec.structs.asdict(each), "chain": each.chain.hex()} for each in status.lacking
    ]
    return fields


def lines(status: Status) -> Iterator[str]:
    """Yields the lines of the output for people."""
    yield f"{status.name}: revision {status.number}, chain {status.chain.hex()}"
    if status.in_force != status.number:
        yield f"in force here: revision {status.in_force}"
    route = f", by way of {' > '.join(status.route)}" if status.route else ""
    yield f"nothing newer was committed {format_duration(status.confirmed_age)} ago{route}"
    if status.cut_off:
        yield f"CUT OFF: {status.cut_off}"
    for revision in status.revisions[:SHOWN_REVISIONS]:
        yield _revision(revision)
    for member in status.lacking:
        yield _lacking(member)
    if status.lacking_count > len(status.lacking):
        yield f"  and {status.lacking_count - len(status.lacking)} more"
    yield "counts: " + ", ".join(f"{key} {value}" for key, value in sorted(status.counts.items()) if value)


def _revision(revision: RevisionCoverage) -> str:
    have = f"{revision.have} of {revision.expected} planners have it"
    if revision.everywhere_after < 0:
        return f"revision {revision.number}, known for {format_duration(revision.age)}: {have}"
    return (
        f"revision {revision.number}: in force everywhere after "
        f"{format_duration(revision.everywhere_after)}, {have}"
    )


def _lacking(member: MemberState) -> str:
    has = f"has {member.in_force} in force, {member.received} received"
    return f"  lacks it: {member.name}, {has}: {member.reason}"
