"""Replays a capture into a new engine and compares the decisions.

Reports the first decision that differs, with the state that it was based on. Uses no clock and no sockets:
times come from the capture. With another configuration or changed scheduling modules the comparison continues
after the first difference and reports the outcomes of guests in both.
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
# Message types that the service handles without the engine.
SERVICE_MESSAGES = ("hello", "welcome", "fault", "bye", "watch", "confirm")
STATE_NOTES = ("keep", "state_kept", "offer_held_back")
INPUT_NOTES = (
    "pump",
    "link_up",
    "link_failed",
    "link_down",
    "list_greeted",
    "list_failed",
    "stop",
    "stop_now",
)


@dataclass
class GuestOutcome:
    """The outcome for one guest: its first machine and its last final answer."""

    guest_class: str = ""
    machine: str = ""
    answer: str = ""
    reason: str = ""


@dataclass
class Difference:
    """The first differing decision: the captured and the replayed one, and the state behind the latter."""

    at: int
    packet: int
    file: str
    captured: Any
    replayed: Any
    state: dict[str, Any] = field(default_factory=dict)


class PlannerRun:
    """Replays one run of a planner: its engine, and the messages sent in the capture and by the replay."""

    def __init__(self, start: dict[str, Any], other_config: PlannerConfig | None) -> None:
        self.planner, self.offset = start["planner"], start["offset"]
        config = other_config or build(PlannerConfig, start["sheet"], "capture")
        self.changed = other_config is not None or start["module"] != module_digest()
        self.module = start["module"]
        self.engine = Engine(config, start["seed"], 0)
        if not start.get("list_lease"):  # captured by a version that asked for no confirmation
            self.engine.list_greeted(0, m.Welcome(name="list"))
        # Role and name of the peer by (near, far) addresses.
        self.streams: dict[tuple[str, str], tuple[str, str]] = {}
        # Messages not compared yet, because the other side has no counterpart so far.
        self.replayed: deque[tuple[str, str, m.Message]] = deque()
        self.captured: deque[tuple[str, str, Any, int, int, str]] = deque()
        self.compared = self.differing = self.inputs = 0
        self.first: Difference | None = None
        self.lost = self.damaged = 0
        self.outcomes: tuple[dict[str, GuestOutcome], dict[str, GuestOutcome]] = {}, {}  # captured, replayed

    def note(self, note: Note) -> None:
        """Applies a note of this run."""
        kind, now = note.data["n"], note.at - self.offset
        if kind == "stream":
            self.streams[note.data["near"], note.data["far"]] = note.data["role"], note.data["who"]
        elif kind == "lost":
            self.lost += note.data["packets"]
        elif kind == "unsent":
            self._captured(
                note.data["role"], note.data["who"], note.data["message"], note.at, note.packet, note.file
            )
        elif kind in STATE_NOTES:
            self._state_note(now, note, kind)
        elif kind in INPUT_NOTES:
            arguments = [note.data["who"]] if "who" in note.data else []
            if "welcome" in note.data:
                try:
                    arguments.append(msgspec.convert(note.data["welcome"], m.Welcome))
                except msgspec.ValidationError:
                    self.damaged += 1
                    return
            self._input(now, note, kind, *arguments)

    def frame(self, frame: Frame) -> bool:
        """Applies a frame. Returns whether it belongs to one of this run's streams."""
        source, target = end_name(frame.source), end_name(frame.target)
        if stream := self.streams.get((target, source)):
            role, peer = stream
            if role not in CODECS:  # refused by the service before it reached the engine
                return True
            if frame.message["t"] not in SERVICE_MESSAGES:
                try:
                    message = CODECS[role].decode(frame.body)
                except FrameError:  # damaged in the file: it was valid when it was captured
                    self.damaged += 1
                    return True
                arguments = [message] if role == "list" else [peer, message]
                self._input(frame.at - self.offset, frame, role + "_said", *arguments)
            return True
        if stream := self.streams.get((source, target)):
            if frame.message["t"] not in SERVICE_MESSAGES:
                self._captured(*stream, frame.message, frame.at, frame.packet, frame.file)
            return True
        return False

    def _input(self, now: int, item: Note | Frame, what: str, *arguments: object) -> None:
        self.inputs += 1
        self.engine_now = now
        getattr(self.engine, what)(now, *arguments)
        for action in self.engine.actions:
            if isinstance(action, Send):
                self.replayed.append((action.role, action.peer, action.message))
                self._record_outcome(self.outcomes[1], msgspec.to_builtins(action.message), action.peer)
        self.engine.actions = []
        if self.engine.persistence is not None:
            self.engine.persistence.changed_keys.clear()  # a replay stores no state
        self._match()

    def _captured(
        self, role: str, peer: str, message: dict[str, Any], at: int, packet: int, file: str
    ) -> None:
        self._record_outcome(self.outcomes[0], message, peer)
        self.captured.append((role, peer, message, at, packet, file))
        self._match()

    def _match(self) -> None:
        """Compares the captured and the replayed messages in order."""
        while self.replayed and self.captured:
            role, peer, message = self.replayed.popleft()
            captured_role, captured_peer, captured_message, at, packet, file = self.captured.popleft()
            self.compared += 1
            replayed_decision = role, peer, msgspec.to_builtins(message)
            captured_decision = captured_role, captured_peer, self._normalize(captured_message, type(message))
            if replayed_decision != captured_decision:
                self.differing += 1
                if self.first is None:
                    self.first = Difference(
                        at,
                        packet,
                        file,
                        captured_decision,
                        replayed_decision,
                        self._state(replayed_decision[2]),
                    )

    def _normalize(self, captured_message: dict[str, Any], kind: type) -> dict[str, Any]:
        """Removes the fields of a captured message that hold their default values."""
        try:
            return msgspec.to_builtins(msgspec.convert(captured_message, kind))
        except msgspec.ValidationError:
            return captured_message

    def _state(self, message: dict[str, Any]) -> dict[str, Any]:
        """A summary of the state behind a decision, with at most 50 machines."""
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
        record = self.engine.newest_records.get(message.get("guest", ""))
        return {
            "at": self.engine_now,
            "held": len(scheduler.held),
            "guests": len(scheduler.guests),
            "guest": repr(record) if record else "",
            "machines": machines,
        }

    def _state_note(self, now: int, note: Note, kind: str) -> None:
        """Applies an input of the state writer: recovered images, the disk's health, or a held-back offer."""
        data = note.data
        if kind == "state_kept":
            self._input(now, note, kind, data["news"])
        elif kind == "offer_held_back":
            self._input(now, note, kind, msgspec.convert(data["news"], m.Offer))
        else:
            table = StateTable()
            table.apply(BATCH.decode(data["changes"]))
            self._input(now, note, kind, data["epoch"], table, data["complete"])

    def _record_outcome(self, outcomes: dict[str, GuestOutcome], message: dict[str, Any], peer: str) -> None:
        guest, kind = message.get("guest", ""), message.get("t", "")
        if kind == "offer":
            outcome = outcomes.setdefault(guest, GuestOutcome())
            outcome.guest_class, outcome.machine = message.get("product", ""), outcome.machine or peer
        elif kind in ("placed", "turned_back", "broken_off"):
            outcome = outcomes.setdefault(guest, GuestOutcome())
            outcome.answer, outcome.reason = kind, message.get("reason", "")

    def report(self) -> dict[str, Any]:
        """The counts and the first difference, and the outcomes of guests by guest class."""
        unmatched = len(self.replayed) + len(self.captured)
        captured_outcomes, replayed_outcomes = self.outcomes
        outcomes: Counter[str] = Counter()
        for guest in sorted(captured_outcomes.keys() | replayed_outcomes.keys()):
            old, new = (
                captured_outcomes.get(guest, GuestOutcome()),
                replayed_outcomes.get(guest, GuestOutcome()),
            )
            guest_class = old.guest_class or new.guest_class or "never offered"
            if (old.answer, old.reason) != (new.answer, new.reason):
                outcomes[
                    f"{guest_class}: {old.answer or 'no answer'} {old.reason}".strip()
                    + " became "
                    + f"{new.answer or 'no answer'} {new.reason}".strip()
                ] += 1
            elif old.machine != new.machine:
                outcomes[f"{guest_class}: offered elsewhere first"] += 1
            else:
                outcomes[f"{guest_class}: the same"] += 1
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
            "guests": dict(sorted(outcomes.items())),
        }


def replay(items: Iterable[Frame | Note], other_config: PlannerConfig | None = None) -> dict[str, Any]:
    """Replays every run of a planner in the capture; `other_config` replaces their configurations.

    `same` is true only if at least one run was found and the replay sent the same messages in the same order.
    Frames of streams that belong to no planner of the capture are counted under `of_others`.
    """
    runs: dict[str, PlannerRun] = {}
    other_streams: Counter[str] = Counter()
    orphaned_notes: Counter[str] = Counter()
    for item in items:
        if isinstance(item, Frame):
            if not any(run.frame(item) for run in runs.values()):
                other_streams[f"{end_name(item.source)} > {end_name(item.target)}"] += 1
            continue
        name = item.data.get("p", "")
        if item.data["n"] == "start" and item.data["file"] == 1 and name not in runs:
            try:
                runs[name] = PlannerRun(item.data, other_config)
            except ConfigError as error:
                orphaned_notes[f"{name.partition('@')[0]}: start that cannot be used: {error}"] += 1
        elif name in runs:
            runs[name].note(item)
        elif item.data["n"] != "start":
            orphaned_notes[name.partition("@")[0]] += 1
    reports = [run.report() for run in runs.values()]
    return {
        "same": bool(reports) and all(not r["differing"] and not r["unmatched"] for r in reports),
        "planners": reports,
        "of_others": dict(sorted(other_streams.items())),
        "notes_without_a_start": dict(orphaned_notes),
    }
