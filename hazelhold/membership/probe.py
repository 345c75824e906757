"""A probe of one member that is in progress."""


class Probe:
    """A probe in progress: this planner's own, or an indirect one for `requester`, numbered `request_number`
    there.

    `life` is the (life, nonce) of the process that is probed; `started_at` is in microseconds.
    """

    __slots__ = (
        "number",
        "name",
        "started_at",
        "step",
        "helpers",
        "witnesses",
        "requester",
        "request_number",
        "address",
        "life",
    )

    def __init__(self, number: int, name: str, started_at: int, life: tuple[int, int]) -> None:
        self.number, self.name, self.started_at, self.life = number, name, started_at, life
        self.step = 0
        self.helpers: list[str] = []
        self.witnesses: set[str] = set()
        self.requester = self.address = ""
        self.request_number = 0
