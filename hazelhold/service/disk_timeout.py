"""Calls a store in a thread, and does not wait for ever."""

from collections.abc import Callable

import trio

from hazelhold.state.store import Store


async def run_with_timeout(
    store: Store, most_ms: float, call: Callable[..., None], *given: object
) -> OSError | None:
    """What went wrong, or None. A call that takes too long is left to itself: its disk counts as failed."""
    with trio.move_on_after(most_ms / 1000):
        try:
            await trio.to_thread.run_sync(call, *given, abandon_on_cancel=True)
            return None
        except OSError as wrong:
            return wrong
    store.healthy = False
    return OSError(f"the disk took longer than {most_ms:g} ms")
