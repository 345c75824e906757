"""A capture fed into a new engine: the same decisions, or the first that differs and what it was made on.

Free of clock and sockets: moments come from the capture. With another configuration or a changed module the
comparison goes on past the first difference and tells how guests fared in both.
"""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from hazelhold.capture.packets import name as end_name
from hazelhold.capture.read import Note
from hazelhold.capture.streams import Frame
from hazelhold.capture.tap import module_digest
from hazelhold.config.load import ConfigError, build
from hazelhold.config.planner import PlannerConfig
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import Send
from hazelhold.protocol import messages as m
from hazelhold.protocol.frames import FrameError
from hazelhold.state.images import BATCH
from hazelhold.state.state_table import StateTable

CODECS = {"owner": m.Codec(m.FROM_OWNER), "machine": m.Codec(m.FROM_MACHINE), "list": m.Codec(m.FROM_LIST)}
TO_MACHINE = m.Codec(m.TO_MACHINE | m.TO_OWNER)
# What the service says or hears by itself, without the engine.
SERVICE = ("hello", "welcome", "fault", "bye", "watch")
STATE = ("keep", "state_kept", "offer_held_back")
INPUTS = ("pump", "link_up", "link_failed", "link_down", "list_failed", "stop", "stop_now")


@dataclass
class Fate:
    """How one guest fared: its first machine and its last final answer."""

    product: str = ""
    machine: str = ""
    answer: str = ""
    reason: str = ""


@dataclass
class Difference:
    """The first decision that differs: what the capture has, what the engine did, and on what."""

    at: int
    packet: int
    file: str
    captured: Any
    replayed: Any
    state: dict[str, Any] = field(default_factory=dict)


class Life:
    """One life of one planner: its engine, and what it said so far in the capture and here."""

    def __init__(self, start: dict[str, Any], other: PlannerConfig | None) -> None:
        self.planner, self.offset = start["planner"], start["offset"]
        config = other or build(PlannerConfig, start["sheet"], "capture")
        self.changed = other is not None or start["module"] != module_digest()
        self.module = start["module"]
        self.engine = Engine(config, start["seed"], 0)
        self.streams: dict[tuple[str, str], tuple[str, str]] = {}  # near and far: role and who
        self.said: deque[tuple[str, str, m.Message]] = deque()  # by the engine, not yet seen in the capture
        self.seen: deque[tuple[str, str, Any, int, int, str]] = deque()  # in the capture, not yet said here
        self.compared = self.differing = self.inputs = 0
        self.first: Difference | None = None
        self.lost = self.damaged = 0
        self.fates: tuple[dict[str, Fate], dict[str, Fate]] = {}, {}  # captured, replayed

    def note(self, note: Note) -> None:
        kind, now = note.data["n"], note.at - self.offset
        if kind == "stream":
            self.streams[note.data["near"], note.data["far"]] = note.data["role"], note.data["who"]
        elif kind == "lost":
            self.lost += note.data["packets"]
        elif kind == "unsent":
            self._captured(
                note.data["role"], note.data["who"], note.data["message"], note.at, note.packet, note.file
            )
        elif kind in STATE:
            self._state_note(now, note, kind)
        elif kind in INPUTS:
            given = [note.data["who"]] if "who" in note.data else []
            if "welcome" in note.data:
                try:
                    given.append(msgspec.convert(note.data["welcome"], m.Welcome))
                except msgspec.ValidationError:
                    self.damaged += 1
                    return
            self._input(now, note, kind, *given)

    def frame(self, frame: Frame) -> bool:
        """Takes a frame if it is of one of this life's streams."""
        source, target = end_name(frame.source), end_name(frame.target)
        if stream := self.streams.get((target, source)):
            role, who = stream
            if role not in CODECS:  # refused by the service; the engine never heard of it
                return True
            if frame.message["t"] not in SERVICE:
                try:
                    message = CODECS[role].decode(frame.body)
                except FrameError:  # damaged since: it was sound when it was captured
                    self.damaged += 1
                    return True
                given = [message] if role == "list" else [who, message]
                self._input(frame.at - self.offset, frame, role + "_said", *given)
            return True
        if stream := self.streams.get((source, target)):
            if frame.message["t"] not in SERVICE:
                self._captured(*stream, frame.message, frame.at, frame.packet, frame.file)
            return True
        return False

    def _input(self, now: int, item: Note | Frame, what: str, *given: object) -> None:
        self.inputs += 1
        self.engine_now = now
        getattr(self.engine, what)(now, *given)
        for action in self.engine.actions:
            if isinstance(action, Send):
                self.said.append((action.role, action.peer, action.message))
                self._fate(self.fates[1], msgspec.to_builtins(action.message), action.peer)
        self.engine.actions = []
        if self.engine.persistence is not None:
            self.engine.persistence.changed_keys.clear()  # nothing is kept here
        self._match()

    def _captured(
        self, role: str, who: str, message: dict[str, Any], at: int, packet: int, file: str
    ) -> None:
        self._fate(self.fates[0], message, who)
        self.seen.append((role, who, message, at, packet, file))
        self._match()

    def _match(self) -> None:
        """Compares, in order, what both have said."""
        while self.said and self.seen:
            role, who, message = self.said.popleft()
            was_role, was_who, was, at, packet, file = self.seen.popleft()
            self.compared += 1
            here = role, who, msgspec.to_builtins(message)
            there = was_role, was_who, self._plain(was, type(message))
            if here != there:
                self.differing += 1
                if self.first is None:
                    self.first = Difference(at, packet, file, there, here, self._state(here[2]))

    def _plain(self, was: dict[str, Any], kind: type) -> dict[str, Any]:
        """A captured message without fields that say what leaving them out says."""
        try:
            return msgspec.to_builtins(msgspec.convert(was, kind))
        except msgspec.ValidationError:
            return was

    def _state(self, message: dict[str, Any]) -> dict[str, Any]:
        """What the decision was made on, as far as it fits a page."""
        scheduler = self.engine.scheduler
        machines = {
            n: {
                "mode": x.listed.mode.name,
                "room": x.free_capacity(scheduler.deployment),
                "used": x.used,
                "guests": len(x.guests),
                "rests": max(0, x.backoff_until - self.engine_now),
            }
            for n, x in list(scheduler.machines.items())[:50]
        }
        case = self.engine.newest_records.get(message.get("guest", ""))
        return {
            "at": self.engine_now,
            "held": len(scheduler.held),
            "guests": len(scheduler.guests),
            "guest": repr(case) if case else "",
            "machines": machines,
        }

    def _state_note(self, now: int, note: Note, kind: str) -> None:
        """What the keeper told the engine: the recovered images, the disk's health, a held-back offer."""
        data = note.data
        if kind == "state_kept":
            self._input(now, note, kind, data["news"])
        elif kind == "offer_held_back":
            self._input(now, note, kind, msgspec.convert(data["news"], m.Offer))
        else:
            state_table = StateTable()
            state_table.apply(BATCH.decode(data["changes"]))
            self._input(now, note, kind, data["epoch"], state_table, data["complete"])

    def _fate(self, fates: dict[str, Fate], message: dict[str, Any], who: str) -> None:
        guest, kind = message.get("guest", ""), message.get("t", "")
        if kind == "offer":
            fate = fates.setdefault(guest, Fate())
            fate.product, fate.machine = message.get("product", ""), fate.machine or who
        elif kind in ("placed", "turned_back", "broken_off"):
            fate = fates.setdefault(guest, Fate())
            fate.answer, fate.reason = kind, message.get("reason", "")

    def report(self) -> dict[str, Any]:
        unmatched = len(self.said) + len(self.seen)
        then, now = self.fates
        fates: Counter[str] = Counter()
        for guest in sorted(then.keys() | now.keys()):
            old, new = then.get(guest, Fate()), now.get(guest, Fate())
            product = old.product or new.product or "never offered"
            if (old.answer, old.reason) != (new.answer, new.reason):
                fates[
                    f"{product}: {old.answer or 'no answer'} {old.reason}".strip()
                    + " became "
                    + f"{new.answer or 'no answer'} {new.reason}".strip()
                ] += 1
            elif old.machine != new.machine:
                fates[f"{product}: offered elsewhere first"] += 1
            else:
                fates[f"{product}: the same"] += 1
        return {
            "planner": self.planner,
            "module": self.module,
            "module_here": module_digest(),
            "inputs": self.inputs,
            "compared": self.compared,
            "differing": self.differing,
            "unmatched": unmatched,
            "packets_lost_while_captured": self.lost,
            "damaged_messages": self.damaged,
            "changed": self.changed,
            "first_difference": msgspec.to_builtins(self.first) if self.first else None,
            "guests": dict(sorted(fates.items())),
        }


def replay(items: Iterable[Frame | Note], other: PlannerConfig | None = None) -> dict[str, Any]:
    """Replays every planner's life in the capture; `other` replaces their configurations.

    `same` is true only if at least one life was found and all that it said was said here, in the same order.
    Frames of streams that no planner of the capture has are counted under `of_others`.
    """
    lives: dict[str, Life] = {}
    others: Counter[str] = Counter()
    late: Counter[str] = Counter()
    for item in items:
        if isinstance(item, Frame):
            if not any(life.frame(item) for life in lives.values()):
                others[f"{end_name(item.source)} > {end_name(item.target)}"] += 1
            continue
        name = item.data.get("p", "")
        if item.data["n"] == "start" and item.data["file"] == 1 and name not in lives:
            try:
                lives[name] = Life(item.data, other)
            except ConfigError as wrong:
                late[f"{name.partition('@')[0]}: start that cannot be used: {wrong}"] += 1
        elif name in lives:
            lives[name].note(item)
        elif item.data["n"] != "start":
            late[name.partition("@")[0]] += 1
    reports = [life.report() for life in lives.values()]
    return {
        "same": bool(reports) and all(not r["differing"] and not r["unmatched"] for r in reports),
        "planners": reports,
        "of_others": dict(sorted(others.items())),
        "notes_without_a_start": dict(late),
    }
