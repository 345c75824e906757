"""Extracts parts of captures, and summarises captures.

An extract is a valid capture in which every selected stream is complete.
"""

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
    """Criteria that a frame must all match; an empty criterion matches everything.

    `since` and `until` are in microseconds since 1970.
    """

    since: int = 0
    until: int = 0
    owner: str = ""
    service: str = ""
    guest: str = ""
    machine: str = ""

    def matches(self, frame: Frame, peer_name: str) -> bool:
        """Whether the frame, on a connection whose peer is called `peer_name`, meets every criterion."""
        message = frame.message
        return (
            (not self.since or frame.at >= self.since)
            and (not self.until or frame.at <= self.until)
            and (not self.owner or self.owner in (message.get("owner"), peer_name))
            and (not self.service or self.service == message.get("service"))
            and (not self.guest or self.guest == message.get("guest"))
            and (not self.machine or self.machine in (message.get("machine"), peer_name))
        )


def extract(files: list[Path], to: Path, criteria: ExtractFilter, skips: Skips) -> dict[str, int]:
    """Writes every packet of the connections that carry a matching frame, and all notes of planners.

    Returns the number of packets kept and left out, and of the selected streams.
    """
    wanted: set[frozenset] = set()
    peer_names: dict[frozenset, str] = {}
    for item in read(files, skips):
        if isinstance(item, Frame):
            pair = frozenset((item.source, item.target))
            if item.message["t"] in ("hello", "welcome"):
                peer_names.setdefault(pair, item.message.get("name", ""))
            if criteria.matches(item, peer_names.get(pair, "")):
                wanted.add(pair)
    counts: Counter[str] = Counter()
    is_pcapng = to.suffix == ".pcapng"
    written_links: set[int] = set()
    with to.open("wb") as file:
        for packet in packets(files, Skips()):
            segment = parse(packet.link, packet.data)
            included = isinstance(segment, Segment) and (
                frozenset((segment.source, segment.target)) in wanted
                if segment.seq >= 0
                else own_note(packet, segment) is not None
            )
            if included and (packet.link in written_links or not written_links):
                if not written_links:
                    file.write(file_head(is_pcapng, packet.link))
                    written_links.add(packet.link)
                file.write(record(is_pcapng, packet.at, packet.data, packet.length))
            elif included:  # the output file has one link type
                skips.note(
                    packet.file,
                    f"link type {packet.link} beside another",
                    len(packet.data),
                    packet.offset,
                    packet.number,
                    packet.at,
                )
            counts["kept" if included else "left out"] += 1
        if not written_links:
            file.write(file_head(is_pcapng))
    counts["streams"] = len(wanted)
    return dict(counts)


def survey(
    files: list[Path], skips: Skips, progress: Callable[[Packet], None] | None = None
) -> dict[str, Any]:
    """Summarises a capture: streams, planners, messages by type, first and last time (microseconds)."""
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
