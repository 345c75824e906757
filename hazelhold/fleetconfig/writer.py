"""Makes the changes of a revision store safe: one commit at a time, what comes meanwhile shares the next.

While the disk fails, what waits goes on waiting; every `retry_ms` all that is kept is written anew as a new
generation, and with it all that waited is safe.
"""

from collections import deque
from collections.abc import Callable

import structlog
import trio

from hazelhold.fleetconfig.store import RevisionStore
from hazelhold.service.disk_timeout import run_with_timeout
from hazelhold.service.net import Net
from hazelhold.state import frames
from hazelhold.state.images import Change


class StoreWriter:
    """The writing side of one store. `slow_ms`: a commit that takes longer counts as a failed disk."""

    def __init__(self, store: RevisionStore, net: Net, slow_ms: float, retry_ms: float) -> None:
        self.store, self.net, self.slow_ms, self.retry_ms = store, net, slow_ms, retry_ms
        self.waiting: deque[tuple[list[Change], Callable[[], None]]] = deque()  # emptied by each commit
        self.failed = self.writing = False
        self.on_failed: Callable[[], None] = _nothing  # called whenever the disk begins to fail
        self.more = trio.Event()
        self.commits = self.failures = 0
        self.log = structlog.get_logger().bind(store=store.files.planner)

    def begin(self) -> None:
        """The first generation of this life; a disk that cannot be written is tried again by `run`."""
        try:
            self.store.files.begin(self.net.wall())
        except OSError as wrong:
            self._fails(wrong)

    def take(self, changes: list[Change], then: Callable[[], None]) -> None:
        """Calls `then` once these changes, and all before them, are safe."""
        self.waiting.append((changes, then))
        self.more.set()

    @property
    def waits(self) -> bool:
        """Whether anything that was taken is not safe yet but may become so; not while the disk fails."""
        return not self.failed and (self.writing or bool(self.waiting))

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            if self.failed:
                await trio.sleep(self.retry_ms / 1000)
                await self._renew()
                continue
            await self.more.wait()
            self.more = trio.Event()
            while self.waiting and not self.failed:
                await self._commit()

    def _taken(self) -> tuple[list[Change], list[Callable[[], None]]]:
        """All that waits, with only the last image of each key."""
        changes: dict[tuple[str, str], Change] = {}
        calls = []
        while self.waiting:
            more, then = self.waiting.popleft()
            changes.update(((change.kind, change.key), change) for change in more)
            calls.append(then)
        return list(changes.values()), calls

    async def _commit(self) -> None:
        changes, calls = self._taken()
        files = self.store.files
        files.apply(changes)
        self.writing = True
        wrong = await self._slowly(files.log, frames.batch(changes)) if changes else None
        if wrong is None and files.due():
            wrong = await self._slowly(files.finish, *files.prepare(self.net.wall()))
        self.writing = False
        if wrong is not None:
            self.waiting.extendleft(([], then) for then in reversed(calls))  # in the ledger, not yet safe
            self._fails(wrong)
            return
        self.commits += 1
        for then in calls:
            then()

    async def _renew(self) -> None:
        """All that is kept, and all that waits, as a new generation."""
        changes, calls = self._taken()
        files = self.store.files
        files.apply(changes)
        wrong = await self._slowly(files.finish, *files.prepare(self.net.wall()))
        if wrong is not None:
            self.waiting.extendleft(([], then) for then in reversed(calls))
            self.log.info("revisions_still_not_stored", reason=str(wrong))
            return
        self.failed = False
        self.more.set()
        self.log.warning("revisions_stored_again")
        for then in calls:
            then()

    async def _slowly(self, call: Callable[..., None], *given: object) -> OSError | None:
        files = self.store.files
        if files.disk.threaded:
            return await run_with_timeout(files, self.slow_ms, call, *given)
        await trio.lowlevel.checkpoint()
        try:
            call(*given)
        except OSError as wrong:
            return wrong
        return None

    def _fails(self, wrong: OSError) -> None:
        self.failures += 1
        self.failed = True
        self.log.error("revisions_not_stored", reason=str(wrong))
        self.on_failed()


def _nothing() -> None:
    """Nobody waits for that."""
