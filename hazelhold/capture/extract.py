"""Cuts and filters captures: what is kept is a valid capture in which each kept stream is whole."""

from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from msgspec import Struct

from hazelhold.capture.files import Packet, file_head, record
from hazelhold.capture.packets import Segment, name, parse
from hazelhold.capture.read import own_note, packets, read
from hazelhold.capture.skips import Skips
from hazelhold.capture.streams import Frame


class ExtractFilter(Struct):
    """What to keep; empty wishes keep everything. Moments in microseconds since 1970."""

    since: int = 0
    until: int = 0
    owner: str = ""
    service: str = ""
    guest: str = ""
    machine: str = ""

    def wants(self, frame: Frame, who: str) -> bool:
        message = frame.message
        return (
            (not self.since or frame.at >= self.since)
            and (not self.until or frame.at <= self.until)
            and (not self.owner or self.owner in (message.get("owner"), who))
            and (not self.service or self.service == message.get("service"))
            and (not self.guest or self.guest == message.get("guest"))
            and (not self.machine or self.machine in (message.get("machine"), who))
        )


def extract(files: list[Path], to: Path, wish: ExtractFilter, skips: Skips) -> dict[str, int]:
    """Writes every packet of the connections in which a wanted frame crossed, and all notes of planners."""
    wanted: set[frozenset] = set()
    who: dict[frozenset, str] = {}
    for item in read(files, skips):
        if isinstance(item, Frame):
            pair = frozenset((item.source, item.target))
            if item.message["t"] in ("hello", "welcome"):
                who.setdefault(pair, item.message.get("name", ""))
            if wish.wants(item, who.get(pair, "")):
                wanted.add(pair)
    counts: Counter[str] = Counter()
    ng = to.suffix == ".pcapng"
    links: set[int] = set()
    with to.open("wb") as file:
        for packet in packets(files, Skips()):
            segment = parse(packet.link, packet.data)
            keep = isinstance(segment, Segment) and (
                frozenset((segment.source, segment.target)) in wanted
                if segment.seq >= 0
                else own_note(packet, segment) is not None
            )
            if keep and (packet.link in links or not links):
                if not links:
                    file.write(file_head(ng, packet.link))
                    links.add(packet.link)
                file.write(record(ng, packet.at, packet.data, packet.length))
            elif keep:  # a file of ours has one link type
                skips.note(
                    packet.file,
                    f"link type {packet.link} beside another",
                    len(packet.data),
                    packet.offset,
                    packet.number,
                    packet.at,
                )
            counts["kept" if keep else "left out"] += 1
        if not links:
            file.write(file_head(ng))
    counts["streams"] = len(wanted)
    return dict(counts)


def survey(
    files: list[Path], skips: Skips, progress: Callable[[Packet], None] | None = None
) -> dict[str, Any]:
    """What a capture holds: streams, planners, messages by type, first and last moment."""
    types: Counter[str] = Counter()
    streams: Counter[str] = Counter()
    planners: dict[str, dict[str, Any]] = {}
    first, last = 0, 0
    for item in read(files, skips, progress):
        first = first or item.at
        last = max(last, item.at)
        if isinstance(item, Frame):
            types[item.message["t"]] += 1
            streams[" - ".join(sorted((name(item.source), name(item.target))))] += 1
        elif item.data["n"] == "start":
            found = planners.setdefault(item.data["planner"], {"starts": 0, "module": item.data["module"]})
            found["starts"] += item.data["file"] == 1
    return {
        "first": first,
        "last": last,
        "streams": dict(sorted(streams.items())),
        "planners": planners,
        "messages": dict(sorted(types.items())),
    }
