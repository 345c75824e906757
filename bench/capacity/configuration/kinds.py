"""What the bytes of the spread are made of: by message kind and way, and by field of a revision.

`python -m bench.capacity.configuration.kinds [PLANNERS]` prints both, in virtual time: the same each time.
What control machines say to each other beside coverage (votes, what was stored and committed) is not in it.
"""

import sys
from random import Random

import msgspec

from bench.capacity.configuration_model import LOADS, Load, Seconds, fleet, run
from hazelhold.fleetconfig.revision import SealedRevision

PLANNERS = 64


def by_kind(seconds: Seconds) -> list[tuple[str, str, float, float]]:
    """Way, kind, messages a second and bytes a second, the most bytes first."""
    span = len(seconds.rows)
    return [
        (way, kind, seconds.messages_of[way, kind] / span, size / span)
        for (way, kind), size in seconds.bytes_of.most_common()
    ]


def by_field(sealed: SealedRevision) -> dict[str, int]:
    """The bytes of an encoded revision by field, with the field's name; `items`: names and values of what it
    sets, `frame`: what is around all."""
    encode = msgspec.msgpack.encode
    fields = msgspec.msgpack.decode(sealed.body)
    sizes = {name: len(encode(name)) + len(encode(value)) for name, value in fields.items()}
    items = sum(len(put.name) + len(put.value) for change in sealed.revision.changes for put in change.puts)
    sizes["items"] = items
    sizes["changes"] -= items
    sizes["frame"] = len(sealed.body) - sum(sizes.values())
    return sizes


def table(planners: int, loads: tuple[Load, ...] = LOADS) -> str:
    lines = []
    for relays, way in ((0, "without relays"), (2, "tree with two relays")):
        for load in loads:
            seconds, committed = run(fleet(planners, 1, relays), load, Random("changes/1"))
            lines.append(f"{planners} planners, {way}, {load.name}: bytes a second for each planner")
            for ends, kind, messages, size in by_kind(seconds):
                each = f"{size / planners:8.1f} B/s {messages / planners:8.2f} messages/s"
                lines.append(f"    {ends:18} {kind:16} {each}")
            if new := [sealed for each in committed for sealed in each]:
                lines.append(f"    fields of the last revision, in bytes: {by_field(new[-1])}")
    return "\n".join(lines)


if __name__ == "__main__":
    print(table(int(sys.argv[1]) if len(sys.argv) > 1 else PLANNERS))
