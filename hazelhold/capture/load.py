"""Sends the owners' side of a capture to a live planner, at the captured spacing or scaled."""

from collections import Counter
from pathlib import Path
from typing import Any

import trio
from msgspec.structs import replace

from hazelhold.capture.read import read
from hazelhold.capture.skips import Skips
from hazelhold.capture.streams import Frame
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.service.net import Net
from hazelhold.service.wire import Wire

OWNERS = m.Codec(m.FROM_OWNER)


def owner_messages(files: list[Path], skips: Skips) -> list[tuple[int, str, m.Message]]:
    """All submits and cancels of a capture: moment in microseconds, owner, message."""
    found: list[tuple[int, str, m.Message]] = []
    names: dict[tuple, str] = {}
    for item in read(files, skips):
        if not isinstance(item, Frame):
            continue
        kind, pair = item.message["t"], (item.source, item.target, item.life)
        if kind == "hello" and item.message.get("role") == "owner":
            names[pair] = str(item.message.get("name", ""))
        elif kind in ("submit", "cancel"):
            try:
                found.append((item.at, names.get(pair, "unknown"), OWNERS.decode(item.body)))
            except FrameError as wrong:
                skips.note(
                    item.file, f"ask that is malformed: {wrong.code}", len(item.body), 0, item.packet, item.at
                )
    return sorted(found, key=lambda ask: ask[0])


async def send(
    net: Net, address: str, plan: list[tuple[int, str, m.Message]], speed: float, mark: str
) -> dict[str, Any]:
    """Sends the asks, with ids renewed by `mark` and patience kept, and tells what was answered.

    Sending never waits for answers, so bursts keep their shape; how late each was sent is measured.
    """
    counts: Counter[str] = Counter()
    late: list[int] = []
    open_asks: set[tuple[str, int]] = set()
    wires: dict[str, Wire] = {}

    async def listen(wire: Wire) -> None:
        try:
            async for said in wire.messages():
                if isinstance(said, m.Placed | m.TurnedBack | m.BrokenOff | m.Rejected):
                    counts[said.__struct_config__.tag] += 1
                    open_asks.discard((said.guest, said.ask))
                elif isinstance(said, m.GuestEnded):
                    counts["ended_" + said.how] += 1
        except FrameError as wrong:
            counts["fault_" + wrong.code] += 1

    async with trio.open_nursery() as nursery:
        for owner in sorted({owner for _, owner, _ in plan}):
            wire = wires[owner] = Wire(
                await net.dial(address), m.Codec(m.TO_OWNER), net.now, send_bytes=1 << 26
            )
            nursery.start_soon(wire.write)
            wire.send(m.Hello(role="owner", name=f"{mark}{owner}"))
            await wire.first(m.Welcome, 5.0)
            nursery.start_soon(listen, wire)
        start = net.now() + 50_000
        first = plan[0][0] if plan else 0
        longest = start
        for at, owner, message in plan:
            due = start + round((at - first) / speed)
            await trio.sleep(max(0.0, (due - net.now()) / 1e6))
            late.append(net.now() - due)
            renewed = replace(message, guest=mark + message.guest)
            sent = wires[owner].send(renewed)
            counts["sent_" + message.__struct_config__.tag if sent else "not_sent"] += 1
            if isinstance(renewed, m.Submit) and sent:
                open_asks.add((renewed.guest, renewed.ask))
                longest = max(longest, net.now() + renewed.patience + 200_000)
        while open_asks and net.now() < longest:
            await trio.sleep(0.02)
        nursery.cancel_scope.cancel()
    counts["unanswered"] = len(open_asks)
    late.sort()
    return {
        "counts": dict(sorted(counts.items())),
        "send_error_us": {
            "median": late[len(late) // 2],
            "p99": late[int(len(late) * 0.99)],
            "most": late[-1],
        }
        if late
        else {},
    }
