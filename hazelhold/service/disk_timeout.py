"""Disk calls in a worker thread, with a timeout."""

from collections.abc import Callable

import trio

from hazelhold.state.store import Store


async def run_with_timeout(
    store: Store, timeout_ms: float, call: Callable[..., None], *arguments: object
) -> OSError | None:
    """Runs `call` in a thread; returns its error, or None. A call that exceeds `timeout_ms` is abandoned, and
    the store is marked as unhealthy."""
    with trio.move_on_after(timeout_ms / 1000):
        try:
            await trio.to_thread.run_sync(call, *arguments, abandon_on_cancel=True)
            return None
        except OSError as error:
            return error
    store.healthy = False
    return OSError(f"the disk took longer than {timeout_ms:g} ms")
