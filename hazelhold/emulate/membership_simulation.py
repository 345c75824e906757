"""Members in discrete events: real cores, virtual time, and datagrams that are lost, late, doubled or cut.

What a process sees is its own clock, which may run at another rate; while it is paused its datagrams wait
and its timers stand still, as for a stopped process. The truth (who runs, who may hear whom) is known here
alone, so that views can be judged against it.
"""

from collections import Counter, deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from hazelhold.membership.core import Core, News, Post, Terms
from hazelhold.membership.rows import ALIVE, GONE, Row

INBOX = 512  # datagrams that wait for a paused process, as a socket's buffer bounds them


class Process:
    """One process under a name."""

    def __init__(self, name: str, core: Any, address: str, rate: float, began: int) -> None:  # noqa: ANN401
        self.name, self.core, self.address = name, core, address
        self.rate, self.began = rate, began
        self.paused = False
        self.resumed = -(10**9)  # when, in the world's time
        self.up = True
        self.due = -1  # of its next wake in the heap, in the world's time
        self.inbox: deque[bytes] = deque(maxlen=INBOX)

    def clock(self, at: int) -> int:
        return round((at - self.began) * self.rate) + 1_000_000

    def world(self, own: int) -> int:
        return self.began + round((own - 1_000_000) / self.rate) + 1


class MembershipSimulation:
    """A world of members. `make(row, seeds, terms, seed, now)` builds a core: the real one unless told."""

    def __init__(self, seed: int, terms: Terms, make: Callable[..., Any] = Core) -> None:
        self.random, self.terms, self.make = Random(f"parley/{seed}"), terms, make
        self.now = 0
        self.events: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.number = 0
        self.processes: dict[str, Process] = {}  # the newest of each name
        self.at: dict[str, Process] = {}
        self.loss = 0.0
        self.double = 0.0
        self.delay = (200, 1500)  # microseconds, evenly spread; a wide spread reorders
        self.lossy: dict[tuple[str, str], float] = {}  # a pair's own loss, by direction
        self.cuts: set[tuple[str, str]] = set()  # directions that carry nothing
        self.news: list[tuple[int, str, News]] = []
        self.on_news: Callable[[str, News], None] | None = None
        self.keep_news = True
        self.sent: Counter[str] = Counter()  # datagrams by sender, and `bytes`
        self.wrongly: list[tuple[int, str, str]] = []  # gone in somebody's view while the process ran
        self.lives: Counter[str] = Counter()

    def _later(self, at: int, do: Callable[..., None], *given: object) -> None:
        self.number += 1
        heappush(self.events, (at, self.number, do, given))

    def plan(self, seconds: float, do: Callable[..., None], *given: object) -> None:
        """Does something at this moment of the world."""
        self._later(round(seconds * 1e6), do, *given)

    def start(
        self,
        name: str,
        seeds: list[str] = (),
        zone: str = "",
        address: str = "",
        rate: float = 1.0,
        life: int | None = None,
    ) -> Process:
        self.lives[name] += 1
        address = address or f"at-{name}"
        row = Row(
            name=name,
            life=self.lives[name] * 10 if life is None else life,
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
            self._later(self.now + round(seconds * 1e6), self._resume, process)

    def _resume(self, process: Process) -> None:
        process.paused, process.resumed = False, self.now
        while process.up and process.inbox:
            process.core.hear(process.clock(self.now), process.inbox.popleft())
            self._carry_out(process)
        if process.up:
            self._wake(process, -1)

    def cut(self, one: list[str], other: list[str], both: bool = True) -> None:
        """Nothing goes any more from these to those; with `both`, nor back."""
        self.cuts |= {(a, b) for a in one for b in other if a != b}
        if both:
            self.cuts |= {(b, a) for a in one for b in other if a != b}

    def heal(self) -> None:
        self.cuts.clear()

    def run(self, until: float, while_: Callable[[], bool] | None = None) -> bool:
        """On to this second of the world; with `while_`, only while that holds. Whether it still does."""
        end = round(until * 1e6)
        while self.events and self.events[0][0] <= end:
            if while_ is not None and not while_():
                return False
            self.now, _, do, given = heappop(self.events)
            do(*given)
        self.now = max(self.now, end)
        return while_ is None or while_()

    # The wires.

    def _post(self, process: Process, post: Post) -> None:
        self.sent[process.name] += 1
        self.sent["bytes"] += len(post.body)
        there = self.at.get(post.address)
        if there is None or (process.name, there.name) in self.cuts:
            return
        loss = self.lossy.get((process.name, there.name), self.loss)
        for _ in range(2 if self.double and self.random.random() < self.double else 1):
            if not loss or self.random.random() >= loss:
                at = self.now + self.random.randint(*self.delay)
                self._later(at, self._arrive, post.address, process.name, post.body)

    def _arrive(self, address: str, sender: str, body: bytes) -> None:
        process = self.at.get(address)
        if process is None or (sender, process.name) in self.cuts:
            return
        if process.paused:
            process.inbox.append(body)
            return
        process.core.hear(process.clock(self.now), body)
        self._carry_out(process)

    def _wake(self, process: Process, due: int) -> None:
        if not process.up or process.paused or (due >= 0 and due != process.due):
            return
        process.core.wake(process.clock(self.now))
        self._carry_out(process)

    def _carry_out(self, process: Process) -> None:
        actions, process.core.actions = process.core.actions, []
        for action in actions:
            if isinstance(action, Post):
                self._post(process, action)
            elif isinstance(action, News):
                self._note(process, action)
        due = process.core.next_at()
        if due is not None:
            at = max(self.now, process.world(due))
            if at != process.due:
                process.due = at
                self._later(at, self._wake, process, at)
        else:
            process.due = -1

    def _note(self, process: Process, news: News) -> None:
        if self.keep_news:
            self.news.append((self.now, process.name, news))
        if news.what == "gone":
            about = self.processes.get(news.name)
            if about and about.up and about.core.me.life == news.cause["life"] and not about.core.leaving:
                self.wrongly.append((self.now, process.name, news.name))
        if self.on_news:
            self.on_news(process.name, news)

    # What is believed.

    def view(self, name: str, other: str) -> int | None:
        return self.processes[name].core.state_of(other)

    def running(self) -> list[str]:
        return [n for n, p in self.processes.items() if p.up and not p.core.left and not p.core.yielded]

    def agree(self) -> bool:
        """Whether all who run hold all who run alive, and nobody else."""
        up = set(self.running())
        return all(self.view(a, b) == ALIVE for a in up for b in up) and all(
            self.view(a, b) not in (ALIVE, None)
            for a in up
            for b in self.processes.keys() - up
            if b in self.processes[a].core.table.members
        )

    def gone_everywhere(self, name: str) -> bool:
        return all(self.view(each, name) == GONE for each in self.running() if each != name)
