"""Model of the list service, which reports the state of machines to planners with a delay.

A change enters the list after a random delay in the range `notice` and is sent to watching planners in the
next round. Free capacity is copied into the list once a period. While down, the service neither receives nor
sends.
"""

from heapq import heappop, heappush
from random import Random

from msgspec.structs import replace

from hazelhold.protocol.messages import Entry, ListConfirmed, Listing, ListRefused, Message

SECOND = 1_000_000
LOG = 5000  # changes kept for planners that reconnect; those further behind get a whole list


class ListService:
    """State of the list. Times are whole microseconds; messages for planners are left in `out`."""

    def __init__(
        self, seed: int, now: int, notice: tuple[int, int], period: int, answer: tuple[int, int]
    ) -> None:
        self.random = Random(seed)
        self.notice, self.period, self.answer = notice, period, answer
        self.out: list[tuple[str, Message]] = []
        self.entries: dict[str, Entry] = {}
        self.started: dict[str, int] = {}  # by machine, in this service's time
        self.log: list[tuple[int, str]] = []  # version and machine of each change; bounded by LOG
        self.version, self.cut_at = 0, 0
        self.noticed: dict[str, int] = {}  # by machine: when its latest change becomes known
        self.watchers: dict[str, int] = {}  # by planner: the version that it has
        self.down = False
        self.agenda: list[tuple[int, int, str, object]] = []
        self.sequence = 0
        self._at(now + period, "round", None)

    def set(self, now: int, entry: Entry, started: int, at_once: bool = False) -> None:
        """A machine's state changed; its entry follows when the service notices."""
        wait = 0 if at_once else int(self.random.uniform(*self.notice))
        # Changes of one machine keep their order: a return never precedes the loss that it ends.
        self.noticed[entry.machine] = max(now + wait, self.noticed.get(entry.machine, 0))
        self._at(self.noticed[entry.machine], "change", (entry, started))

    def rooms(self, rooms: dict[str, tuple[float, float]]) -> None:
        """Updates free cores and memory by machine; each difference is a change."""
        for name, (cores, memory) in rooms.items():
            entry = self.entries.get(name)
            if entry and entry.mode != "gone" and (entry.cores_room, entry.memory_room) != (cores, memory):
                self._change(replace(entry, cores_room=cores, memory_room=memory), self.started[name])

    def watched(self, now: int, planner: str, since: int) -> None:
        if not self.down:
            self._at(now + int(self.random.uniform(*self.answer)), "answer", (planner, since))

    def confirm(self, now: int, planner: str, number: int) -> None:
        """A planner asks whether it was sent all that is known: what it was not sent yet precedes the answer.

        A planner whose watch was not answered yet gets no answer: it has no list that could be confirmed.
        """
        self.advance(now)
        if self.down or planner not in self.watchers:
            return
        if self.watchers[planner] < self.version:
            self._send_list(now, planner, self.watchers[planner])
        self.out.append((planner, ListConfirmed(number=number)))

    def left(self, planner: str) -> None:
        self.watchers.pop(planner, None)

    def refuse(self, planner: str) -> None:
        self.out.append((planner, ListRefused(reason="out of reach")))

    def next_at(self) -> int | None:
        return self.agenda[0][0] if self.agenda else None

    def advance(self, now: int) -> None:
        while self.agenda and self.agenda[0][0] <= now:
            at, _, what, data = heappop(self.agenda)
            if what == "change":
                entry, started = data
                old = self.entries.get(entry.machine)
                if old:
                    entry = replace(entry, cores_room=old.cores_room, memory_room=old.memory_room)
                self._change(entry, started)
            elif what == "answer" and not self.down:
                self._send_list(at, *data)
            elif what == "round":
                self._at(at + self.period, "round", None)
                if not self.down:
                    for planner, has in list(self.watchers.items()):
                        if has < self.version:
                            self._send_list(at, planner, has)

    def _at(self, when: int, what: str, data: object) -> None:
        self.sequence += 1
        heappush(self.agenda, (when, self.sequence, what, data))

    def _change(self, entry: Entry, started: int) -> None:
        self.version += 1
        self.entries[entry.machine], self.started[entry.machine] = entry, started
        self.log.append((self.version, entry.machine))
        if len(self.log) > LOG:
            self.cut_at = self.log[LOG // 2][0]
            del self.log[: LOG // 2]

    def _send_list(self, now: int, planner: str, since: int) -> None:
        self.watchers[planner] = self.version
        whole = not since or since < self.cut_at or since > self.version
        if whole:
            names = [n for n, e in self.entries.items() if e.mode != "gone"]
        else:
            names = list(dict.fromkeys(n for v, n in self.log if v > since))
        entries = [replace(self.entries[n], up_for=max(0, now - self.started[n])) for n in names]
        self.out.append((planner, Listing(version=self.version, whole=whole, entries=entries)))
