"""Writes a planner's state to disk and delays actions until the state that they depend on is durable.

There is one queue of actions, in order, with group commit. Actions that depend on no new state are carried
out at once if nothing is queued before them. The others wait for the commit in progress and share the next
one: the busier the planner, the more actions share one sync. If the disk fails or is slow, the planner
continues without it as far as the rules allow. The engine is notified, so that it neither accepts nor sends
guests for which a second run could do harm. Queued offers of such guests are returned to the engine as never
sent. Final answers of such guests are held back until the disk works again or the guest's deadline passes,
since after a crash in between the guest would be placed again. Every `retry_ms` the whole state is written as
a new generation.
"""

from collections import deque
from collections.abc import Callable

import structlog
import trio

from hazelhold.config.planner import StateConfig, to_microseconds
from hazelhold.engine.engine import Engine
from hazelhold.engine.records import Action, Send
from hazelhold.protocol import messages as m
from hazelhold.service.disk_timeout import run_with_timeout
from hazelhold.state import frames
from hazelhold.state.images import Change
from hazelhold.state.store import Store, StoreContents

DISK_FAILED = OSError("the disk has failed")


class StateWriter:
    """Writes the state of one planner. `perform` carries out an action, `deliver` passes an event to the
    engine."""

    def __init__(
        self,
        store: Store,
        config: StateConfig,
        engine: Engine,
        now: Callable[[], int],
        perform: Callable[[Action], None],
        deliver: Callable[..., None],
    ) -> None:
        self.store, self.config, self.engine = store, config, engine
        self.now, self.perform, self.deliver = now, perform, deliver
        self.queue: deque[tuple[list[Action], list[Change]]] = deque()  # cleared by every commit
        self.held_back: list[tuple[int, Action]] = []  # answers, each with the time at which it is due
        self.busy = self.failed = False
        self.changed_since: list[Change] = []  # since a new generation was prepared
        self.notified = trio.Event()
        self.log = structlog.get_logger().bind(planner=store.planner)
        self.commits = self.failures = 0

    def open(self, wall: int, text: str) -> StoreContents:
        """Reads the stored state. Raises StateError if the folder must not be used; a disk that cannot be
        written does not prevent the start. `wall` is Unix time in microseconds."""
        found = self.store.open(wall, text)
        for note in found.notes:
            self.log.warning("state_damaged", note=note)
        return found

    def begin(self) -> None:
        """Writes the first generation of this run."""
        try:
            self.store.begin(self.wall())
        except OSError as error:
            self._failed(error)

    def wall(self) -> int:
        return self.now() + self.engine.persistence.epoch

    def take(self, actions: list[Action], changes: list[Change]) -> None:
        """Carries out the actions once the changes are durable, after all actions that were queued before."""
        if not changes and not self.queue and not self.busy:
            self._perform_all(actions)
            return
        self.queue.append((actions, changes))
        if self.store.disk.threaded:
            self.notified.set()
        elif not self.busy:
            self.busy = True
            while self.queue:
                actions, changes = self._take_queued()
                self._after(actions, changes, self._write(changes))
            self.busy = False

    def _take_queued(self) -> tuple[list[Action], list[Change]]:
        """Empties the queue; returns its actions, and of each key only the last change."""
        actions: list[Action] = []
        changes: dict[tuple[str, str], Change] = {}
        while self.queue:
            next_actions, next_changes = self.queue.popleft()
            actions += next_actions
            changes.update(((c.kind, c.key), c) for c in next_changes)
        return actions, list(changes.values())

    def _write(self, changes: list[Change]) -> OSError | None:
        """Makes one commit on a disk that needs no thread."""
        if self.failed:
            self.store.apply(changes)
            return DISK_FAILED
        try:
            if changes:
                self.store.commit(changes)
                self.store.before.clear()
                if self.store.due():
                    self.store.begin(self.wall())
        except OSError as error:
            return error
        return None

    async def run(self) -> None:
        """Commits queued changes until it is cancelled."""
        if not self.store.disk.threaded:
            return
        while True:
            await self.notified.wait()
            self.notified = trio.Event()
            while self.queue:
                self.busy = True
                actions, changes = self._take_queued()
                error = await self._commit(changes)
                self._after(actions, changes, error)
                self.busy = bool(self.queue)

    async def _commit(self, changes: list[Change]) -> OSError | None:
        """Makes one commit in a thread, and a new generation if the log has grown long; each disk call is
        limited to `slow_ms`."""
        if not changes:
            return None
        self.store.apply(changes)
        if self.failed:
            self.changed_since += changes
            return DISK_FAILED
        error = await self._run_with_timeout(self.store.log, frames.batch(changes))
        if error is None:
            self.store.before.clear()
            if self.store.due():
                error = await self._run_with_timeout(self.store.finish, *self.store.prepare(self.wall()))
        return error

    async def _run_with_timeout(self, call: Callable[..., None], *arguments: object) -> OSError | None:
        return await run_with_timeout(self.store, self.config.slow_ms, call, *arguments)

    def _after(self, actions: list[Action], changes: list[Change], error: OSError | None) -> None:
        self.commits += bool(changes)
        if error is not None:
            self._failed(error)
            actions = self._allowed_without_disk(actions)
        self._perform_all(actions)

    def _failed(self, error: OSError) -> None:
        if not self.failed:
            self.failed = True
            self.changed_since = []
            self.failures += 1
            self.log.error("state_failed", reason=str(error))
            self.deliver("state_kept", False)

    def _allowed_without_disk(self, actions: list[Action]) -> list[Action]:
        """Returns the actions that may be carried out although the state that they depend on is not
        durable."""
        allowed = []
        for action in actions:
            message = action.message if isinstance(action, Send) else None
            if isinstance(message, m.Offer) and self._must_not_repeat(message.product):
                self.deliver("offer_held_back", message)
            elif (
                isinstance(message, m.GuestRefused | m.GuestFailed)
                and (until := self._hold_until(message)) > self.wall()
            ):
                self.held_back.append((until, action))
            else:
                allowed.append(action)
        return allowed

    def _must_not_repeat(self, product: str) -> bool:
        """Returns whether a second run of a guest of this class could do harm."""
        engine = self.engine
        return engine.deployment.guest_classes[engine.products[product]].repeat.name != "IDEMPOTENT"

    def _hold_until(self, message: m.GuestRefused | m.GuestFailed) -> int:
        """Returns the time until which this answer must be held back; 0 if it may be sent now.

        The disk may still hold the last durable image of the guest, although the guest has been removed from
        the state table. The answer is sent 50 ms before the guest's deadline.
        """
        stored = self.store.before.get(f"{message.guest}/{message.ask}")
        if stored is None or not self._must_not_repeat(stored.product) or stored.placed:
            return 0
        return stored.deadline - 50_000

    def _perform_all(self, actions: list[Action]) -> None:
        for action in actions:
            self.perform(action)

    async def maintain(self) -> None:
        """Saves learned state periodically, and retries a failed disk every `retry_ms`."""
        save_learned_at = 0
        while True:
            await trio.sleep(to_microseconds(self.config.retry_ms) / 1e6)
            now = self.now()
            if not self.failed and now >= save_learned_at:
                save_learned_at = now + round(self.config.learned_s * 1e6)
                self.take([], [self.engine.persistence.learned(self.engine)])
            if self.failed:
                await self._renew()

    async def release_held_back(self) -> None:
        """Sends answers that were held back once they are due."""
        while True:
            await trio.sleep(0.02 if self.held_back else 0.1)
            self.release(self.wall())

    async def retry_now(self) -> None:
        """Retries a failed disk once more before the process ends."""
        if self.failed:
            await self._renew()

    async def _renew(self) -> None:
        """Writes the whole state as a new generation; changes made meanwhile are logged before the disk
        counts as working again."""
        store, self.changed_since = self.store, []
        if store.disk.threaded:
            error = await self._run_with_timeout(store.finish, *store.prepare(self.wall()))
            while error is None and self.changed_since:
                changes, self.changed_since = self.changed_since, []
                error = await self._run_with_timeout(store.log, frames.batch(changes))
        else:
            try:
                store.begin(self.wall())
                error = None
            except OSError as raised:
                error = raised
        if error is not None:
            self.log.info("state_still_fails", reason=str(error))
            return
        self.failed = False
        self.log.warning("state_works_again")
        self.deliver("state_kept", True)

    def release(self, wall: int) -> None:
        """Sends held-back answers that are durable or whose guest's deadline is near."""
        due = [a for until, a in self.held_back if not self.failed or until <= wall]
        self.held_back = [] if not self.failed else [p for p in self.held_back if p[0] > wall]
        self._perform_all(due)

    async def wait_until_idle(self) -> None:
        """Waits until the queue is empty and no commit is in progress."""
        while self.queue or self.busy:
            await trio.sleep(0.001)
