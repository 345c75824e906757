"""Simulates membership in discrete events: real cores, virtual time, and a network that loses, delays,
duplicates or blocks datagrams.

Each process reads a clock of its own, which may run at another rate. While a process is paused its datagrams
wait and its timers do not fire, as for a stopped process. Only the simulation knows the true state (who runs,
and who can reach whom), so views can be checked against it.
"""

from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from hazelhold.membership.core import MembershipChange, MembershipCore, MembershipSettings, SendDatagram
from hazelhold.membership.rows import ALIVE, GONE, Row

INBOX = 512  # datagrams kept for a paused process, as limited by a socket's buffer


class Process:
    """One process of a member; a restart under the same name is another process."""

    def __init__(self, name: str, core: Any, address: str, rate: float, started_at: int) -> None:  # noqa: ANN401
        self.name, self.core, self.address = name, core, address
        self.rate, self.started_at = rate, started_at
        self.paused = False
        self.resumed_at = -(10**9)  # simulation time, in microseconds
        self.up = True
        self.due = -1  # simulation time of its next wake in the heap; -1: none
        self.inbox: deque[bytes] = deque(maxlen=INBOX)

    def clock(self, at: int) -> int:
        return round((at - self.started_at) * self.rate) + 1_000_000

    def world(self, own: int) -> int:
        return self.started_at + round((own - 1_000_000) / self.rate) + 1


class MembershipSimulation:
    """A simulated deployment. `make(row, seeds, terms, seed, now)` builds a core, by default the real one."""

    def __init__(
        self, seed: int, terms: MembershipSettings, make: Callable[..., Any] = MembershipCore
    ) -> None:
        self.random, self.terms, self.make = Random(f"parley/{seed}"), terms, make
        self.now = 0
        self.events: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.sequence = 0
        self.processes: dict[str, Process] = {}  # the newest process of each name
        self.at: dict[str, Process] = {}
        self.loss = 0.0
        self.double = 0.0
        self.delay = (200, 1500)  # microseconds, uniformly distributed; a wide range reorders
        self.lossy: dict[tuple[str, str], float] = {}  # the loss of single directions, by sender and receiver
        self.cuts: set[tuple[str, str]] = set()  # blocked directions: sender, receiver
        self.news: list[tuple[int, str, MembershipChange]] = []
        self.on_news: Callable[[str, MembershipChange], None] | None = None
        self.keep_news = True
        self.sent: Counter[str] = Counter()  # datagrams by sender, and the total `bytes`
        # Time, observer and member, of members reported gone while their process ran.
        self.wrongly: list[tuple[int, str, str]] = []
        self.starts: Counter[str] = Counter()

    def _schedule(self, at: int, call: Callable[..., None], *arguments: object) -> None:
        self.sequence += 1
        heappush(self.events, (at, self.sequence, call, arguments))

    def plan(self, seconds: float, call: Callable[..., None], *arguments: object) -> None:
        """Schedules a call at a simulation time in seconds."""
        self._schedule(round(seconds * 1e6), call, *arguments)

    def start(
        self,
        name: str,
        seeds: list[str] = (),
        zone: str = "",
        address: str = "",
        rate: float = 1.0,
        life: int | None = None,
    ) -> Process:
        self.starts[name] += 1
        address = address or f"at-{name}"
        row = Row(
            name=name,
            life=self.starts[name] * 10 if life is None else life,
            nonce=self.random.getrandbits(60),
            seq=0,
            state=ALIVE,
            address=address,
            zone=zone,
        )
        core = self.make(row, list(seeds), self.terms, self.random.getrandbits(60), 1_000_000)
        process = Process(name, core, address, rate, self.now)
        self.processes[name] = self.at[address] = process
        core.start(process.clock(self.now))
        self._carry_out(process)
        return process

    def crash(self, name: str) -> None:
        process = self.processes[name]
        process.up = False
        if self.at.get(process.address) is process:
            del self.at[process.address]

    def leave(self, name: str) -> None:
        process = self.processes[name]
        process.core.leave(process.clock(self.now))
        self._carry_out(process)

    def pause(self, name: str, seconds: float) -> None:
        process = self.processes[name]
        if process.up and not process.paused:
            process.paused = True
            self._schedule(self.now + round(seconds * 1e6), self._resume, process)

    def _resume(self, process: Process) -> None:
        process.paused, process.resumed_at = False, self.now
        while process.up and process.inbox:
            process.core.receive(process.clock(self.now), process.inbox.popleft())
            self._carry_out(process)
        if process.up:
            self._wake(process, -1)

    def cut(self, one: list[str], other: list[str], both: bool = True) -> None:
        """Blocks datagrams from `one` to `other`; with `both`, also in the other direction."""
        self.cuts |= {(a, b) for a in one for b in other if a != b}
        if both:
            self.cuts |= {(b, a) for a in one for b in other if a != b}

    def heal(self) -> None:
        self.cuts.clear()

    def run(self, until: float, while_: Callable[[], bool] | None = None) -> bool:
        """Advances to a simulation time in seconds, or until `while_` is false. Returns whether it holds."""
        end = round(until * 1e6)
        while self.events and self.events[0][0] <= end:
            if while_ is not None and not while_():
                return False
            self.now, _, call, arguments = heappop(self.events)
            call(*arguments)
        self.now = max(self.now, end)
        return while_ is None or while_()

    # The network.

    def _send_datagram(self, process: Process, datagram: SendDatagram) -> None:
        self.sent[process.name] += 1
        self.sent["bytes"] += len(datagram.body)
        receiver = self.at.get(datagram.address)
        if receiver is None or (process.name, receiver.name) in self.cuts:
            return
        loss = self.lossy.get((process.name, receiver.name), self.loss)
        for _ in range(2 if self.double and self.random.random() < self.double else 1):
            if not loss or self.random.random() >= loss:
                at = self.now + self.random.randint(*self.delay)
                self._schedule(at, self._arrive, datagram.address, process.name, datagram.body)

    def _arrive(self, address: str, sender: str, body: bytes) -> None:
        process = self.at.get(address)
        if process is None or (sender, process.name) in self.cuts:
            return
        if process.paused:
            process.inbox.append(body)
            return
        process.core.receive(process.clock(self.now), body)
        self._carry_out(process)

    def _wake(self, process: Process, due: int) -> None:
        if not process.up or process.paused or (due >= 0 and due != process.due):
            return
        process.core.wake(process.clock(self.now))
        self._carry_out(process)

    def _carry_out(self, process: Process) -> None:
        actions, process.core.actions = process.core.actions, []
        for action in actions:
            if isinstance(action, SendDatagram):
                self._send_datagram(process, action)
            elif isinstance(action, MembershipChange):
                self._record_change(process, action)
        due = process.core.next_at()
        if due is not None:
            at = max(self.now, process.world(due))
            if at != process.due:
                process.due = at
                self._schedule(at, self._wake, process, at)
        else:
            process.due = -1

    def _record_change(self, process: Process, news: MembershipChange) -> None:
        if self.keep_news:
            self.news.append((self.now, process.name, news))
        if news.what == "gone":
            about = self.processes.get(news.name)
            if about and about.up and about.core.me.life == news.cause["life"] and not about.core.leaving:
                self.wrongly.append((self.now, process.name, news.name))
        if self.on_news:
            self.on_news(process.name, news)

    # Views.

    def view(self, name: str, other: str) -> int | None:
        return self.processes[name].core.state_of(other)

    def running(self) -> list[str]:
        return [n for n, p in self.processes.items() if p.up and not p.core.left and not p.core.yielded]

    def agree(self) -> bool:
        """Whether every running member sees all running members as alive, and no others."""
        up = set(self.running())
        return all(self.view(a, b) == ALIVE for a in up for b in up) and all(
            self.view(a, b) not in (ALIVE, None)
            for a in up
            for b in self.processes.keys() - up
            if b in self.processes[a].core.table.members
        )

    def gone_everywhere(self, name: str) -> bool:
        return all(self.view(each, name) == GONE for each in self.running() if each != name)
