"""The client for programs without trio: blocking calls, from any thread."""

import threading
from collections.abc import Iterable
from pathlib import Path

import trio

from hazelhold.client.addresses import read_addresses
from hazelhold.client.client import Client, Standing, open_client
from hazelhold.client.types import ClientPolicy, Outcome, TaskRequest


class BlockingClient:
    """Runs a client in its own thread. Use it in a `with` block, or call `close`."""

    def __init__(
        self, name: str, planners: dict[str, str] | Path, policy: ClientPolicy | None = None
    ) -> None:
        self.ready = threading.Event()
        self.client: Client | None = None
        if isinstance(planners, Path):
            read_addresses(planners)  # raises its errors here, not in the thread
        self.thread = threading.Thread(
            target=trio.run, args=(self._main, name, planners, policy), daemon=True, name="hazelhold-client"
        )
        self.thread.start()
        self.ready.wait()

    async def _main(self, name: str, planners: dict[str, str] | Path, policy: ClientPolicy | None) -> None:
        self.stop = trio.Event()
        async with open_client(name, planners, policy) as client:
            self.client, self.token = client, trio.lowlevel.current_trio_token()
            self.ready.set()
            await self.stop.wait()

    def place(self, request: TaskRequest) -> Outcome:
        """Blocks until the guest is placed or has a final outcome; never longer than its `patience`."""
        return trio.from_thread.run(self.client.place, request, trio_token=self.token)

    def place_all(self, requests: Iterable[TaskRequest]) -> list[Outcome]:
        """Places a batch at once; the outcomes are in the order of the requests."""
        return trio.from_thread.run(self.client.place_all, list(requests), trio_token=self.token)

    def query(self, guest: str, seconds: float = 1.0) -> Standing:
        """The state of a guest as its planner reports it; KeyError if this client has no such guest."""
        return trio.from_thread.run(self.client.query, guest, seconds, trio_token=self.token)

    def ended(self, guest: str) -> Outcome:
        """Blocks until a placed guest ends."""
        return trio.from_thread.run(self.client.ended, guest, trio_token=self.token)

    def cancel(self, guest: str) -> None:
        """Cancels a guest wherever it is; its last outcome follows as usual."""
        trio.from_thread.run_sync(self.client.cancel, guest, trio_token=self.token)

    def close(self) -> None:
        """Stops the client and its thread; its guests stay with their planners."""
        trio.from_thread.run_sync(self.stop.set, trio_token=self.token)
        self.thread.join(5.0)

    def __enter__(self) -> "BlockingClient":
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()
