"""The five rules, judged from what crossed the connections and from nothing else.

The records of planners' own ends tell when a planner knew or did something; those of machines and owners tell
what truly arrived. A planner that was killed owes nothing for what it held. Times are microseconds.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from msgspec import Struct, convert

from hazelhold.protocol.record import Crossing, RecordError, read_record

FINAL = ("placed", "turned_back", "broken_off")
BACK = 1_000_000  # so long a planner that comes back may take for answers that fell due meanwhile
SLACK = 50_000  # an answer that was on time at the planner's end may be this late by the ticker's pause


class RuleSheet(Struct, tag_field="t", tag="rules"):
    """The figures that the rules and the score need; stands in the record, so that it can be judged alone."""

    products: dict[str, dict[str, Any]]
    max_dispatches: int
    drain_grace: int
    confirms_running: bool = False
    weights: tuple[float, float, float, float] = (0.3, 0.4, 0.2, 0.1)
    durable: bool = False  # planners keep their state: one that was killed owes what it had taken


class Breach(Struct):
    """A broken rule: which, for whom, and the crossings that show it."""

    rule: int
    what: str
    guest: str
    planner: str
    machine: str
    at: int
    frames: list[Crossing]


class Ask:
    """What one life of a planner did for one ask of a guest."""

    def __init__(self, taken: Crossing, submit: dict[str, Any] | None) -> None:
        self.taken, self.submit = taken, submit or {}
        self.finals: list[Crossing] = []
        self.sends: list[Send] = []
        self.forgotten = False  # what was answered last may not have been kept
        self.excused = False  # its planner died while its disk failed, and a second run does no harm

    def product(self) -> str:
        return self.submit.get("product", "")


class Send:
    """One dispatch as the planner's end saw it."""

    def __init__(self, crossing: Crossing) -> None:
        self.crossing, self.at, self.machine = crossing, crossing.at, crossing.peer
        self.attempt = crossing.message.get("attempt", 0)
        self.out = True  # neither answered nor given up
        self.never_ran = False
        self.taken = self.ended = False


class Audit:
    """Judges the crossings of one day."""

    def __init__(self, crossings: Iterable[Crossing]) -> None:
        self.crossings = sorted(crossings, key=lambda c: c.at)
        sheets = [c.message for c in self.crossings if c.way == "rules"]
        if not sheets:
            raise RecordError("no rules stand in this record")
        self.rules = convert(sheets[0], RuleSheet)
        self.found: list[Breach] = []
        self.tally: Counter[str] = Counter()
        self.open_asks: list[str] = []

    @classmethod
    def of_folder(cls, folder: Path) -> "Audit":
        files = sorted(folder.glob("*.jsonl")) if folder.is_dir() else [folder]
        return cls(c for file in files for c in read_record(file))

    def breaches(self) -> list[Breach]:
        """Every broken rule, in the order of their times."""
        self.found, self.tally, self.open_asks = [], Counter(), []
        lives = self._lives()
        for life, crossings in lives.items():
            self._planner(life[0], crossings)
        self._machines()
        return sorted(self.found, key=lambda b: b.at)

    def counts(self) -> dict[str, int]:
        return dict(sorted(self.tally.items()))

    def unaccounted(self) -> list[str]:
        """Guests that a planner took and neither answered nor died with."""
        return self.open_asks

    def _lives(self) -> dict[tuple[str, int], list[Crossing]]:
        """The planners' own crossings, apart for each life."""
        number: Counter[str] = Counter()
        lives: dict[tuple[str, int], list[Crossing]] = defaultdict(list)
        for c in self.crossings:
            if c.role == "rehearsal" and c.way in ("planner_kill", "planner_stop"):
                lives[c.peer, number[c.peer]].append(c)
                if c.way == "planner_kill" and not self.rules.durable:
                    number[c.peer] += 1
            elif c.role == "rehearsal" and c.way == "planner_start":
                stopped = any(e.way == "planner_stop" for e in lives.get((c.peer, number[c.peer]), ()))
                number[c.peer] += stopped and not self.rules.durable
                lives[c.peer, number[c.peer]].append(c)
            elif c.role == "planner":
                lives[c.by, number[c.by]].append(c)
            elif c.role == "rehearsal" and c.way in ("planner_pause", "planner_resume"):
                lives[c.peer, number[c.peer]].append(c)
        return lives

    def _breach(
        self, rule: int, what: str, planner: str, frames: list[Crossing], guest: str = "", machine: str = ""
    ) -> None:
        self.found.append(Breach(rule, what, guest, planner, machine, frames[-1].at, frames))

    # One life of one planner: rules 1, 2, 3 and 5.

    def _planner(self, planner: str, crossings: list[Crossing]) -> None:
        asks: dict[tuple[str, int], Ask] = {}
        submits: dict[tuple[str, int], Crossing] = {}
        told: dict[str, tuple[str, Crossing]] = {}  # machine: mode and since when it was told
        where: dict[str, tuple[int, int]] = {}  # machine: zone and cell
        seated: dict[tuple[str, int], tuple[str, str]] = {}  # guest and ask: machine and service
        incarnation: dict[str, int] = {}
        killed = 0
        self.down = self._downs(crossings)
        for c in crossings:
            if c.way == "planner_kill" or c.way == "planner_stop" and self.rules.durable:
                killed = c.at
                unkept = (c.message or {}).get("unkept")
                for ask in asks.values():
                    for send in ask.sends:  # all its connections are shut
                        send.out = False
                    if unkept:  # its disk had failed: it owes as if it had none
                        ask.excused |= self._effect(ask) == "rerunnable"
                        ask.forgotten = True
                continue
            if c.way == "planner_start":
                killed = 0 if self.rules.durable else killed
                continue
            body = c.message or {}
            kind, key = body.get("t", ""), (body.get("guest", ""), body.get("ask", 0))
            if kind == "submit" and c.way == "in":
                submits[key] = c
            elif kind == "held" and c.way in ("out", "kept"):
                if key not in asks:
                    self.tally["taken"] += 1
                    asks[key] = Ask(submits.get(key, c), submits[key].message if key in submits else None)
            elif kind in FINAL and c.way in ("out", "kept"):
                self._final(planner, asks.get(key), key, c)
            elif kind == "state" and c.way in ("out", "kept") and self.rules.durable:
                self._stated(asks.get(key), c)
            elif kind == "listing" and c.way == "in":
                self._told(c, told, where)
            elif kind == "offer" and c.way == "out":
                if key not in asks and key in submits and self.rules.durable:
                    asks[key] = Ask(submits[key], submits[key].message)  # it died before it could say so
                self._offer(planner, c, key, asks, told, where, seated)
            elif kind == "withdraw" and c.way == "out":
                for send in self._sends(asks, key, c.peer, body):
                    if send.out and not send.taken:
                        send.out = False
                        seated.pop(key, None)
            elif c.way == "shut":  # what was out there has no answer to come; whether it ran is open
                for ask in asks.values():
                    for send in ask.sends:
                        send.out = send.out and send.machine != c.peer
            elif c.way == "in" and kind in ("taken", "refused", "ended", "running"):
                self._machine_said(c, kind, key, asks, seated, incarnation)
        self._unanswered(planner, asks, killed)

    def _sends(self, asks: dict, key: tuple[str, int], machine: str, body: dict) -> list[Send]:
        sends = asks[key].sends if key in asks else []
        return [s for s in sends if s.machine == machine and s.attempt == body.get("attempt", 0)]

    def _final(self, planner: str, ask: Ask | None, key: tuple[str, int], c: Crossing) -> None:
        guest, kind = key[0], c.message["t"]
        if ask is None or ask.excused:
            return  # a repeat of an answer that an earlier ask got, or all that is known of it is old
        if ask.finals:
            if ask.finals[0].message["t"] not in (kind, "state") and not ask.forgotten:
                self._breach(
                    1,
                    f"two final answers: {ask.finals[0].message['t']}, then {kind}",
                    planner,
                    [ask.taken, ask.finals[0], c],
                    guest,
                )
            return
        ask.finals.append(c)
        self.tally[kind] += 1
        patience = ask.submit.get("patience")
        if (
            patience is not None
            and c.at > ask.taken.at + patience + SLACK
            and not self._was_down(ask.taken.at + patience + SLACK, c.at)
        ):
            self._breach(
                1,
                f"answered {(c.at - ask.taken.at - patience) / 1000:.0f} ms after the patience",
                planner,
                [ask.taken, c],
                guest,
            )
        effect = self._effect(ask)
        group = self.rules.products.get(ask.product(), {}).get("group")
        ran = [s for s in ask.sends if not s.never_ran]
        if (
            kind == "turned_back"
            and ran
            and (effect == "exclusive" or effect == "ticketed" and group != "all")
        ):
            self._breach(
                2,
                "turned back though a dispatch may have run",
                planner,
                [ask.taken, ran[0].crossing, c],
                guest,
                ran[0].machine,
            )

    def _effect(self, ask: Ask) -> str:
        return self.rules.products.get(ask.product(), {}).get("effect", "")

    def _stated(self, ask: Ask | None, c: Crossing) -> None:
        """A planner that died before it sent an answer gives it when its owner asks."""
        state = c.message.get("state", "")
        if ask is None or ask.finals:
            return
        late = c.at > ask.taken.at + ask.submit.get("patience", 0)  # its answer was that its fate is open
        if state not in ("held", "out", "unsettled", "unknown") or state == "unsettled" and late:
            ask.finals.append(c)
            self.tally["answered_when_asked"] += 1

    def _downs(self, crossings: list[Crossing]) -> list[tuple[int, int]]:
        """From when until when a planner was paused, or one with durable state down, or dying again before it
        was well: what fell due meanwhile may come late."""
        found: list[tuple[int, int]] = []
        killed = 0
        self.kills = [c.at for c in crossings if c.way in ("planner_kill", "planner_stop")]
        for c in crossings:
            if c.way in ("planner_kill", "planner_stop", "planner_pause"):
                killed = killed or c.at
            elif c.way in ("planner_start", "planner_resume") and killed:
                again = found and killed - found[-1][1] < BACK
                found.append((found.pop()[0] if again else killed, c.at))
                killed = 0
        return found

    def _was_down(self, due: int, at: int) -> bool:
        """Whether an answer that was due came late only because its planner was down, or just back."""
        return any(start <= due <= back + BACK and at <= max(due, back) + BACK for start, back in self.down)

    def _told(self, c: Crossing, told: dict, where: dict) -> None:
        entries = c.message.get("entries", [])
        for entry in entries:
            name, mode = entry["machine"], entry["mode"]
            where[name] = entry.get("zone", 0), entry.get("cell", 0)
            if name not in told or told[name][0] != mode:
                told[name] = mode, c
        if c.message.get("whole"):
            for name in told.keys() - {e["machine"] for e in entries}:
                if told[name][0] != "gone":
                    told[name] = "gone", c

    def _offer(
        self,
        planner: str,
        c: Crossing,
        key: tuple[str, int],
        asks: dict,
        told: dict,
        where: dict,
        seated: dict,
    ) -> None:
        guest, machine = key[0], c.peer
        self.tally["dispatches"] += 1
        ask = asks.get(key)
        if ask is None:
            self._breach(1, "a dispatch for a guest that was never taken", planner, [c], guest, machine)
            return
        if ask.excused:
            return
        if ask.finals:
            self._breach(
                1, "a dispatch after the final answer", planner, [ask.taken, ask.finals[0], c], guest, machine
            )
        out = [s for s in ask.sends if s.out]
        if out:
            self._breach(2, "two dispatches out", planner, [out[0].crossing, c], guest, machine)
        if len(ask.sends) >= self.rules.max_dispatches:
            self._breach(2, f"dispatch number {len(ask.sends) + 1}", planner, [ask.taken, c], guest, machine)
        self._again(planner, c, ask, guest, where)
        mode, since = told.get(machine, ("unlisted", c))
        if mode != "ready" and (mode == "unlisted" or c.at > since.at + self.rules.drain_grace):
            self._breach(3, f"a dispatch to a machine told {mode}", planner, [since, c], guest, machine)
        self._spread(planner, c, key, where, seated)
        ask.sends.append(Send(c))

    def _again(self, planner: str, c: Crossing, ask: Ask, guest: str, where: dict) -> None:
        product = self.rules.products.get(ask.product(), {})
        ran = [s for s in ask.sends if not s.never_ran]
        if not ran:
            return
        if product.get("effect") == "exclusive":
            self._breach(
                2,
                "an exclusive guest sent again though a dispatch may have run",
                planner,
                [ran[0].crossing, c],
                guest,
                c.peer,
            )
        elif product.get("effect") == "ticketed":
            first = ran[0]
            if c.at > first.at + product["window"]:
                self._breach(
                    2,
                    "a ticketed guest sent again after its window",
                    planner,
                    [first.crossing, c],
                    guest,
                    c.peer,
                )
            if self._group(product["group"], c.peer, where) != self._group(
                product["group"], first.machine, where
            ):
                self._breach(
                    2, "a ticketed guest sent outside its group", planner, [first.crossing, c], guest, c.peer
                )

    def _group(self, reach: str, machine: str, where: dict) -> object:
        zone, cell = where.get(machine, (0, 0))
        return {"machine": machine, "cell": cell, "zone": zone}.get(reach, "")

    def _spread(self, planner: str, c: Crossing, key: tuple[str, int], where: dict, seated: dict) -> None:
        product = self.rules.products.get(c.message.get("product", ""), {})
        reach, service = product.get("spread", "nowhere"), c.message["service"]
        if reach != "nowhere":
            place = self._group(reach, c.peer, where)
            there = sum(
                s == service and self._group(reach, m, where) == place
                for k, (m, s) in seated.items()
                if k != key
            )
            if there + 1 > product["spread_most"]:
                self._breach(
                    5, f"{there + 1} guests of {service} in one {reach}", planner, [c], key[0], c.peer
                )
        seated[key] = c.peer, service

    def _machine_said(
        self, c: Crossing, kind: str, key: tuple[str, int], asks: dict, seated: dict, incarnation: dict
    ) -> None:
        body, machine = c.message, c.peer
        if kind == "running":
            self._running(c, asks, seated)
            return
        for send in self._sends(asks, key, machine, body):
            if kind == "taken":
                send.taken = True
                send.out = False
                seated[key] = machine, asks[key].submit.get("service", "")
            else:
                send.out, send.ended = False, True
                if kind == "refused" or body.get("how") == "withdrawn":
                    send.never_ran = True
        if kind != "taken" and seated.get(key, ("",))[0] == machine:
            del seated[key]

    def _running(self, c: Crossing, asks: dict, seated: dict) -> None:
        """A machine's whole word on a planner's guests, after a new connection: what is missing never
        arrived, if the machine remembers all and lives the life in which it was offered."""
        there = {(s["guest"], s["ask"]): s for s in c.message["guests"]}
        for key, stand in there.items():
            if stand["state"] in ("runs", "accepted") and key not in asks:
                seated[key] = c.peer, stand["service"]
        for key, ask in asks.items():
            for send in ask.sends:
                if send.machine != c.peer or send.never_ran or send.ended:
                    continue
                stand = there.get(key)
                if stand is None:
                    send.out = False
                    send.never_ran = (
                        bool(c.message.get("complete", True))
                        and not send.taken
                        and (self._life_at(c.peer, send.at) == self._life_at(c.peer, c.at))
                    )
                elif stand["state"] == "ended":
                    send.out, send.ended, send.never_ran = False, True, stand.get("how") == "withdrawn"
        here = {k for k, s in there.items() if s["state"] != "ended"}
        for key in [k for k, (m, _) in seated.items() if m == c.peer and k not in here]:
            del seated[key]

    def _life_at(self, machine: str, at: int) -> int:
        if not hasattr(self, "ups"):
            self.ups: dict[str, list[int]] = defaultdict(list)
            for c in self.crossings:
                if c.role == "machine" and c.way == "fact" and c.message["what"] == "up":
                    self.ups[c.by].append(c.at)
        return sum(up <= at for up in self.ups[machine])

    def _unanswered(self, planner: str, asks: dict[tuple[str, int], Ask], killed: int) -> None:
        over = self.crossings[-1].at
        for (guest, number), ask in asks.items():
            if ask.finals:
                continue
            if ask.excused:
                self.tally["died_with_planner"] += 1
                continue
            patience = ask.submit.get("patience", 0)
            due = ask.taken.at + patience + SLACK
            if self.rules.durable and self._newest_ask(guest) > number:
                self.tally["asked_anew"] += 1  # while its planner was down; the newer ask is owed
            elif self.rules.durable and not self._asked_since(guest, planner, ask.taken.at, due):
                self.tally["never_asked_for"] += 1  # the answer is kept for an owner that does not come
            elif killed and killed <= due:
                self.tally["died_with_planner"] += 1
            elif due <= over:
                self.tally["unanswered"] += 1
                self.open_asks.append(f"{guest}/{number}")
                self._breach(1, "no final answer", planner, [ask.taken], guest)

    def _asked_since(self, guest: str, planner: str, taken: int, due: int) -> bool:
        """Whether the owner came back for a guest whose planner died with it: True if it did not die."""
        deaths = [at for at in self.kills if taken <= at <= due + BACK]
        return not deaths or any(
            c.at > deaths[-1]
            and c.role == "planner"
            and c.by == planner
            and c.way == "in"
            and (c.message or {}).get("guest") == guest
            and c.message["t"] in ("query", "submit", "cancel")
            for c in self.crossings
        )

    def _newest_ask(self, guest: str) -> int:
        if not hasattr(self, "newest"):
            self.newest: dict[str, int] = {}
            for c in self.crossings:
                if c.role == "owner" and c.way == "out" and (c.message or {}).get("t") == "submit":
                    name, ask = c.message["guest"], c.message.get("ask", 0)
                    self.newest[name] = max(ask, self.newest.get(name, 0))
        return self.newest.get(guest, 0)

    # The machines' ends: rule 4, and rule 2 across all planners and asks.

    def _machines(self) -> None:
        effects = {name: p.get("effect") for name, p in self.rules.products.items()}
        product: dict[str, str] = {}
        running: dict[str, dict[str, Crossing]] = defaultdict(dict)  # guest: machine: its start
        done: dict[str, Crossing] = {}
        for c in self.crossings:
            if c.role != "machine":
                continue
            body = c.message or {}
            kind, guest = body.get("t", ""), body.get("guest", "")
            if c.way == "fact":
                self.tally["machine_" + body["what"]] += 1
                if body["what"] == "fell_over":
                    self._breach(4, "a cold machine was pushed over", "", [c], machine=c.by)
                if body["what"] in ("down", "fell_over"):
                    for by in running.values():
                        by.pop(c.by, None)
            elif kind == "offer" and c.way == "in":
                product[guest] = body["product"]
            elif kind == "started" or kind == "taken" and self.rules.confirms_running:
                if c.way == "in" or c.by in running[guest]:
                    continue
                self.tally["starts"] += 1
                if effects.get(product.get(guest, "")) == "exclusive":
                    if running[guest]:
                        self._breach(
                            2,
                            "an exclusive guest runs twice at once",
                            c.peer,
                            [*running[guest].values(), c],
                            guest,
                            c.by,
                        )
                    if guest in done:
                        self._breach(
                            2,
                            "an exclusive guest ran again after it was done",
                            c.peer,
                            [done[guest], c],
                            guest,
                            c.by,
                        )
                running[guest][c.by] = c
            elif kind == "running" and c.way != "in":  # ends that could not be told when they came
                for stand in body["guests"]:
                    if stand["state"] == "ended":
                        running[stand["guest"]].pop(c.by, None)
                        if stand.get("how") == "done":
                            done.setdefault(stand["guest"], c)
            elif kind == "ended" and c.way != "in":
                self.tally["ended_" + body["how"]] += 1
                running[guest].pop(c.by, None)
                if body["how"] == "done":
                    done[guest] = c
