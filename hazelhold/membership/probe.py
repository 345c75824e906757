"""A probe of one member that is under way."""


class Probe:
    """A probe under way: by this planner, or for `asker`, who numbered it `asked`."""

    __slots__ = ("no", "name", "began", "step", "helpers", "witnesses", "asker", "asked", "where", "life")

    def __init__(self, no: int, name: str, began: int, life: tuple[int, int]) -> None:
        self.no, self.name, self.began, self.life = no, name, began, life
        self.step = 0
        self.helpers: list[str] = []
        self.witnesses: set[str] = set()
        self.asker = self.where = ""
        self.asked = 0
