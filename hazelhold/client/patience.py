"""How often a client may repeat, and when it comes back to a planner that it lost."""

from random import Random


class Budget:
    """Retries as a share of fresh asks, so that a planner in trouble is not asked many times for each
    guest. Served
    guests refill it a little: trouble that passes is over sooner."""

    def __init__(self, share: float, burst: float) -> None:
        self.share, self.burst, self.left = share, burst, burst

    def fresh(self) -> None:
        self.left = min(self.burst, self.left + self.share)

    def served(self) -> None:
        self.left = min(self.burst, self.left + self.share / 2)

    def retry(self) -> bool:
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Returns:
    """Full jitter: each return is drawn from nothing to a span that doubles, up to a cap; never before what
    the
    planner advised, and over at least the window that its last words asked for."""

    def __init__(self, base: int, most: int, random: Random) -> None:
        self.base, self.most, self.random = base, most, random
        self.tries = self.window = 0
        self.usual = 0  # the window that the planner named in its first words, for a loss without last words

    def succeeded(self, usual: int = 0) -> None:
        self.tries, self.window, self.usual = 0, 0, usual

    def lost(self, window: int) -> None:
        """A connection that stood is gone. The window holds for every try until one succeeds: clients that
        find
        nobody yet must not crowd into the rest of it."""
        self.window = window or self.usual

    def wait(self, advised: int = 0) -> int:
        """Microseconds until the next dial."""
        span = max(self.window, min(self.most, self.base << min(self.tries, 20)))
        self.tries += 1
        if advised:
            return advised + int(self.random.uniform(0, advised * 0.1))
        return int(self.random.uniform(0, span))
