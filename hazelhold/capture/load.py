"""Replays the owners' messages of a capture against a live planner, at the captured or a scaled rate."""

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
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import Net

OWNERS = m.Codec(m.FROM_OWNER)


def owner_messages(files: list[Path], skips: Skips) -> list[tuple[int, str, m.Message]]:
    """All Submit and Cancel messages of a capture, by time: time in microseconds, owner, message."""
    found: list[tuple[int, str, m.Message]] = []
    names: dict[tuple, str] = {}
    for item in read(files, skips):
        if not isinstance(item, Frame):
            continue
        kind, pair = item.message["t"], (item.source, item.target, item.connection)
        if kind == "hello" and item.message.get("role") == "owner":
            names[pair] = str(item.message.get("name", ""))
        elif kind in ("submit", "cancel"):
            try:
                found.append((item.at, names.get(pair, "unknown"), OWNERS.decode(item.body)))
            except FrameError as error:
                skips.note(
                    item.file,
                    f"malformed owner message: {error.code}",
                    len(item.body),
                    0,
                    item.packet,
                    item.at,
                )
    return sorted(found, key=lambda entry: entry[0])


async def send(
    net: Net, address: str, schedule: list[tuple[int, str, m.Message]], speed: float, prefix: str
) -> dict[str, Any]:
    """Sends the scheduled messages and returns counts of messages and answers, and the sending delays.

    `prefix` is put before the names of owners and guests, so that they are new to the planner; time limits
    stay. `speed` divides the captured intervals. Sending never waits for answers, so bursts keep their shape;
    the delay of each message against its schedule is measured in microseconds.
    """
    counts: Counter[str] = Counter()
    delays: list[int] = []
    open_submissions: set[tuple[str, int]] = set()
    connections: dict[str, MessageConnection] = {}

    async def listen(connection: MessageConnection) -> None:
        try:
            async for message in connection.messages():
                if isinstance(message, m.Placed | m.GuestRefused | m.GuestFailed | m.Rejected):
                    counts[message.__struct_config__.tag] += 1
                    open_submissions.discard((message.guest, message.ask))
                elif isinstance(message, m.GuestEnded):
                    counts["ended_" + message.how] += 1
        except FrameError as error:
            counts["fault_" + error.code] += 1

    async with trio.open_nursery() as nursery:
        for owner in sorted({owner for _, owner, _ in schedule}):
            connection = connections[owner] = MessageConnection(
                await net.dial(address), m.Codec(m.TO_OWNER), net.now, send_bytes=1 << 26
            )
            nursery.start_soon(connection.write)
            connection.send(m.Hello(role="owner", name=f"{prefix}{owner}"))
            await connection.first(m.Welcome, 5.0)
            nursery.start_soon(listen, connection)
        start = net.now() + 50_000
        first = schedule[0][0] if schedule else 0
        last_deadline = start
        for at, owner, message in schedule:
            due = start + round((at - first) / speed)
            await trio.sleep(max(0.0, (due - net.now()) / 1e6))
            delays.append(net.now() - due)
            renewed = replace(message, guest=prefix + message.guest)
            sent = connections[owner].send(renewed)
            counts["sent_" + message.__struct_config__.tag if sent else "not_sent"] += 1
            if isinstance(renewed, m.Submit) and sent:
                open_submissions.add((renewed.guest, renewed.ask))
                last_deadline = max(last_deadline, net.now() + renewed.patience + 200_000)
        while open_submissions and net.now() < last_deadline:
            await trio.sleep(0.02)
        nursery.cancel_scope.cancel()
    counts["unanswered"] = len(open_submissions)
    delays.sort()
    return {
        "counts": dict(sorted(counts.items())),
        "send_error_us": {
            "median": delays[len(delays) // 2],
            "p99": delays[int(len(delays) * 0.99)],
            "most": delays[-1],
        }
        if delays
        else {},
    }
