"""What is sent waits until what it rests on is safe: one queue of actions, in order, with group commit.

Actions that rest on nothing new go out at once while nothing waits before them. The others wait for the
commit under way and share the next: the busier the planner, the more share one sync. If the disk fails or is
slow, the planner goes on without it, as far as the rules allow: the engine is told, so that nothing is taken
or sent any more whose second run could do harm; offers of such guests that were waiting are handed back as
never sent; final answers of such guests are held back until the disk works again or their patience ends,
since a crash in between would have them placed again. Every `retry_ms` all that is kept is written anew as a
new generation.
"""

from collections import deque
from collections.abc import Callable

import structlog
import trio

from hazelhold.config.planner import StateConfig, micros
from hazelhold.engine.cases import Action, Send
from hazelhold.engine.engine import Engine
from hazelhold.protocol import messages as m
from hazelhold.service.slowly import slowly
from hazelhold.state import frames
from hazelhold.state.images import Change
from hazelhold.state.store import Found, Store

LOST = OSError("the disk has failed")


class Keeper:
    """The state of one planner. `do` carries out an action, `feed` tells the engine of something."""

    def __init__(
        self,
        store: Store,
        config: StateConfig,
        engine: Engine,
        now: Callable[[], int],
        do: Callable[[Action], None],
        feed: Callable[..., None],
    ) -> None:
        self.store, self.config, self.engine = store, config, engine
        self.now, self.do, self.feed = now, do, feed
        self.queue: deque[tuple[list[Action], list[Change]]] = deque()  # emptied by every commit
        self.held_back: list[tuple[int, Action]] = []  # answers, with when to send them all the same
        self.busy = self.failed = False
        self.late: list[Change] = []  # since a new generation was prepared; emptied by its success
        self.stirred = trio.Event()
        self.log = structlog.get_logger().bind(planner=store.planner)
        self.commits = self.failures = 0

    def open(self, wall: int, text: str) -> Found:
        """Reads what was kept, brings the engine there and begins a new generation. StateError if the folder
        must not be used; a disk that cannot be written is no reason not to start."""
        found = self.store.open(wall, text)
        for note in found.notes:
            self.log.warning("state_damaged", note=note)
        return found

    def begin(self) -> None:
        """The first generation of this life."""
        try:
            self.store.begin(self.wall())
        except OSError as wrong:
            self._failed(wrong)

    def wall(self) -> int:
        return self.now() + self.engine.keeping.epoch

    def take(self, actions: list[Action], changes: list[Change]) -> None:
        """Carries out the actions once the changes are safe, after all that was taken before."""
        if not changes and not self.queue and not self.busy:
            self._do(actions)
            return
        self.queue.append((actions, changes))
        if self.store.disk.threaded:
            self.stirred.set()
        elif not self.busy:
            self.busy = True
            while self.queue:
                actions, changes = self._all()
                self._after(actions, changes, self._write(changes))
            self.busy = False

    def _all(self) -> tuple[list[Action], list[Change]]:
        """All that waits, with only the last image of each key."""
        actions: list[Action] = []
        changes: dict[tuple[str, str], Change] = {}
        while self.queue:
            more, changed = self.queue.popleft()
            actions += more
            changes.update(((c.kind, c.key), c) for c in changed)
        return actions, list(changes.values())

    def _write(self, changes: list[Change]) -> OSError | None:
        """One commit on a disk that needs no thread."""
        if self.failed:
            self.store.apply(changes)
            return LOST
        try:
            if changes:
                self.store.commit(changes)
                self.store.before.clear()
                if self.store.due():
                    self.store.begin(self.wall())
        except OSError as wrong:
            return wrong
        return None

    async def run(self) -> None:
        """Commits what waits, until it is cancelled."""
        if not self.store.disk.threaded:
            return
        while True:
            await self.stirred.wait()
            self.stirred = trio.Event()
            while self.queue:
                self.busy = True
                actions, changes = self._all()
                wrong = await self._commit(changes)
                self._after(actions, changes, wrong)
                self.busy = bool(self.queue)

    async def _commit(self, changes: list[Change]) -> OSError | None:
        """One commit in a thread, and a new generation if the log has grown long; never longer than
        stated."""
        if not changes:
            return None
        self.store.apply(changes)
        if self.failed:
            self.late += changes
            return LOST
        wrong = await self._slowly(self.store.log, frames.batch(changes))
        if wrong is None:
            self.store.before.clear()
            if self.store.due():
                wrong = await self._slowly(self.store.finish, *self.store.prepare(self.wall()))
        return wrong

    async def _slowly(self, call: Callable[..., None], *given: object) -> OSError | None:
        return await slowly(self.store, self.config.slow_ms, call, *given)

    def _after(self, actions: list[Action], changes: list[Change], wrong: OSError | None) -> None:
        self.commits += bool(changes)
        if wrong is not None:
            self._failed(wrong)
            actions = self._harmless(actions)
        self._do(actions)

    def _failed(self, wrong: OSError) -> None:
        if not self.failed:
            self.failed = True
            self.late = []
            self.failures += 1
            self.log.error("state_failed", reason=str(wrong))
            self.feed("state_kept", False)

    def _harmless(self, actions: list[Action]) -> list[Action]:
        """The actions that may be carried out though what they rest on is not safe."""
        found = []
        for action in actions:
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, m.Offer) and self._harmful(message.product):
                self.feed("offer_held_back", message)
            elif (
                isinstance(message, m.TurnedBack | m.BrokenOff)
                and (until := self._until(message)) > self.wall()
            ):
                self.held_back.append((until, action))
            else:
                found.append(action)
        return found

    def _harmful(self, product: str) -> bool:
        engine = self.engine
        return engine.facts.guest_classes[engine.products[product]].repeat.name != "IDEMPOTENT"

    def _until(self, message: m.TurnedBack | m.BrokenOff) -> int:
        """Until when this answer is better held back; 0 if it may go. What the disk may still have of the
        guest is its last image that was safe; it is gone from the ledger, its patience was not over."""
        kept = self.store.before.get(f"{message.guest}/{message.ask}")
        if kept is None or not self._harmful(kept.product) or kept.placed:
            return 0
        return kept.deadline - 50_000

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            self.do(action)

    async def tend(self) -> None:
        """Keeps what was learned, and tries a failed disk again."""
        learn_at = 0
        while True:
            await trio.sleep(micros(self.config.retry_ms) / 1e6)
            now = self.now()
            if not self.failed and now >= learn_at:
                learn_at = now + round(self.config.learned_s * 1e6)
                self.take([], [self.engine.keeping.learned(self.engine)])
            if self.failed:
                await self._renew()

    async def let_go(self) -> None:
        """Sends answers that were held back, in time."""
        while True:
            await trio.sleep(0.02 if self.held_back else 0.1)
            self.release(self.wall())

    async def last_try(self) -> None:
        """Before the process ends: a disk that failed may take all now."""
        if self.failed:
            await self._renew()

    async def _renew(self) -> None:
        """All that is kept as a new generation; what changes meanwhile follows before it counts as safe."""
        store, self.late = self.store, []
        if store.disk.threaded:
            wrong = await self._slowly(store.finish, *store.prepare(self.wall()))
            while wrong is None and self.late:
                changes, self.late = self.late, []
                wrong = await self._slowly(store.log, frames.batch(changes))
        else:
            try:
                store.begin(self.wall())
                wrong = None
            except OSError as fault:
                wrong = fault
        if wrong is not None:
            self.log.info("state_still_fails", reason=str(wrong))
            return
        self.failed = False
        self.log.warning("state_works_again")
        self.feed("state_kept", True)

    def release(self, wall: int) -> None:
        """Sends answers that were held back, once they are safe or their guest's patience ends."""
        due = [a for until, a in self.held_back if not self.failed or until <= wall]
        self.held_back = [] if not self.failed else [p for p in self.held_back if p[0] > wall]
        self._do(due)

    async def drained(self) -> None:
        """Waits until nothing waits any more."""
        while self.queue or self.busy:
            await trio.sleep(0.001)
