"""What is wrong with the document that a change would leave: all faults at once, by item. No I/O.

Work grows with what a change touches and with what points to that, not with the document. An item is
*touched* if the change sets or removes it. Each touched item is read against its type. What a touched item
can break beyond itself is found by an index of references (team to parent, product to kind, planner to
address):

- a team set or removed: its children (is their parent there?), the sums of quotas below it and below its
  parent, and cycles, which can only run through a touched team;
- a product set: its kind, and what `check_estate` says of it; a kind removed: the products that name it;
- a planner set: whoever has its address.

So a fault that the document had before, as one that an older program let through, blocks only changes of the
items that it is about.
"""

from collections.abc import Iterable, Iterator
from math import fsum
from typing import NamedTuple

from hazelhold.config.planner import (
    FleetSettings,
    GuestClassConfig,
    MachineKindConfig,
    MachinesConfig,
    check_addresses,
    check_estate,
)
from hazelhold.fleetconfig.document import MAX_DOCUMENT, Document, Edit, Fault, item_size
from hazelhold.fleetconfig.revision import Change
from hazelhold.fleetconfig.schema import (
    QUOTAS,
    PlannerItem,
    Reading,
    TeamItem,
    item_type,
    read_item,
    references,
)

ROUNDING = 1e-9  # part of a quota by which sums of decimal fractions may exceed it


class Verdict(NamedTuple):
    """Whether a change may be carried out (no faults), and what of it this program does not know."""

    faults: tuple[Fault, ...]
    unknown: tuple[Fault, ...]


class ReferenceIndex:
    """By target, the items that point to it."""

    def __init__(self) -> None:
        self.by_target: dict[str, set[str]] = {}

    def add(self, name: str, encoded: bytes) -> None:
        for target in references(name, read_item(name, encoded).value):
            self.by_target.setdefault(target, set()).add(name)

    def remove(self, name: str, encoded: bytes) -> None:
        for target in references(name, read_item(name, encoded).value):
            pointing = self.by_target[target]
            pointing.discard(name)
            if not pointing:
                del self.by_target[target]


class CheckedDocument:
    """A document with its index of references. Changed by `apply` alone."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.index = ReferenceIndex()
        for name, encoded in document.items.items():
            self.index.add(name, encoded)

    def apply(self, edits: Iterable[Edit]) -> None:
        """Carries the edits out in order, as `Document.apply`."""
        for edit in edits:
            names = [*(put.name for put in edit.puts), *edit.removals]
            for name in names:
                if (before := self.document.items.get(name)) is not None:
                    self.index.remove(name, before)
            self.document.apply([edit])
            for name in names:
                if (after := self.document.items.get(name)) is not None:
                    self.index.add(name, after)


class Draft:
    """A document with changes on top that are not committed. The document below stays as it is."""

    def __init__(self, below: CheckedDocument) -> None:
        self.below = below
        self.items: dict[str, bytes | None] = {}  # touched on top; None: removed
        self.index = ReferenceIndex()  # of `items`
        self.size = below.document.size  # with what lies on top

    def try_change(self, change: Change) -> Verdict:
        """Puts the change on top unless that would leave faults."""
        grown = self._grown(change)
        before = {name: self.items[name] for name in change.names() if name in self.items}
        self._set({put.name: put.value for put in change.puts} | dict.fromkeys(change.removals))
        verdict = _Check(self, change, grown).verdict()
        if verdict.faults:
            self._forget(change.names())
            self._set(before)
        else:
            self.size += grown
        return verdict

    def _grown(self, change: Change) -> int:
        """By how many bytes the change makes the document longer."""
        after = sum(item_size(put.name, put.value) for put in change.puts)
        return after - sum(item_size(name, self.get(name)) for name in change.names())

    def get(self, name: str) -> bytes | None:
        return self.items[name] if name in self.items else self.below.document.items.get(name)

    def read(self, name: str) -> object:
        """The item's value; None if it is not there, unknown or has faults."""
        encoded = self.get(name)
        return None if encoded is None else read_item(name, encoded).value

    def pointing_to(self, target: str) -> Iterator[str]:
        """The items that point to this one, or to this address."""
        yield from self.index.by_target.get(target, ())
        yield from (name for name in self.below.index.by_target.get(target, ()) if name not in self.items)

    def _set(self, values: dict[str, bytes | None]) -> None:
        self._forget(values)
        self.items.update(values)
        for name, encoded in values.items():
            if encoded is not None:
                self.index.add(name, encoded)

    def _forget(self, names: Iterable[str]) -> None:
        for name in names:
            if (before := self.items.pop(name, None)) is not None:
                self.index.remove(name, before)


class _Check:
    """Finds what is wrong with one change that lies on top of a draft."""

    def __init__(self, draft: Draft, change: Change, grown: int) -> None:
        self.draft, self.grown = draft, grown
        self.touched = dict.fromkeys(change.names())  # in order
        self.readings: dict[str, Reading] = {put.name: read_item(put.name, put.value) for put in change.puts}
        self.faults: list[Fault] = []
        self.values: dict[str, object] = {}  # read so far

    def verdict(self) -> Verdict:
        unknown: list[Fault] = []
        for reading in self.readings.values():
            self.faults += reading.faults
            unknown += reading.unknown
        self._teams()
        self._products()
        self._planners()
        self._size()
        return Verdict(tuple(dict.fromkeys(self.faults)), tuple(unknown))

    def _fault(self, item: str, text: str) -> None:
        self.faults.append(Fault(item, text))

    def _read(self, name: str) -> object:
        if name not in self.values:
            self.values[name] = self.draft.read(name)
        return self.values[name]

    def _is_there(self, name: str) -> bool:
        return item_type(name) is not None and self.draft.get(name) is not None

    def _teams(self) -> None:
        touched = [name for name in self.touched if name.startswith("teams/")]
        teams = {name: team for name in touched if isinstance(team := self._read(name), TeamItem)}
        for name, team in teams.items():
            if team.parent and not self._is_there(f"teams/{team.parent}"):
                self._fault(name, f"parent: there is no team {team.parent!r}")
        for name in touched:
            if not self._is_there(name):
                for child in sorted(self.draft.pointing_to(name)):
                    self._fault(child, f"parent: there is no team {name.partition('/')[2]!r}")
        self._cycles(teams)
        parents = {f"teams/{team.parent}" for team in teams.values() if team.parent}
        for name in sorted(teams.keys() | parents):
            self._quotas(name)

    def _cycles(self, touched: Iterable[str]) -> None:
        """One fault for each touched team on each cycle. Every team is walked over once."""
        walked: set[str] = set()
        for start in touched:
            path: dict[str, None] = {}  # in order
            name = start
            while name not in walked and name not in path:
                path[name] = None
                team = self._read(name)
                if not isinstance(team, TeamItem) or not team.parent:
                    break
                name = f"teams/{team.parent}"
            else:
                if name in path:
                    steps = list(path)
                    self._cycle(steps[steps.index(name) :])
            walked.update(path)

    def _cycle(self, steps: list[str]) -> None:
        way = " -> ".join(step.partition("/")[2] for step in [*steps, steps[0]])
        for name in steps:
            if name in self.touched:
                self._fault(name, f"parent: is its own ancestor: {way:.500}")

    def _quotas(self, name: str) -> None:
        """Whether the quotas of a team's children fit within its own."""
        team = self._read(name)
        if not isinstance(team, TeamItem):
            return
        children = [
            child for at in self.draft.pointing_to(name) if isinstance(child := self._read(at), TeamItem)
        ]
        for field in QUOTAS:
            limit = getattr(team, field)
            total = fsum(getattr(child, field) for child in children)
            if total > limit * (1 + ROUNDING):
                self._fault(name, f"{field}: is {limit:g}, but its children have {total:g} together")

    def _products(self) -> None:
        affected = {name for name in self.touched if name.startswith("products/")}
        for name in self.touched:
            if name.startswith("kinds/") and not self._is_there(name):
                affected.update(self.draft.pointing_to(name))
        names = [name for name in sorted(affected) if isinstance(self._read(name), GuestClassConfig)]
        products = [self._read(name) for name in names]
        kinds = {product.kind for product in products if product.kind}
        there = [kind for kind in sorted(kinds) if self._is_there(f"kinds/{kind}")]
        # A kind that has faults of its own is there: only its name matters to `check_estate`.
        estate = FleetSettings(
            products, [MachineKindConfig(kind, 1.0, 1.0) for kind in there], MachinesConfig()
        )
        for place, reason in check_estate(estate, "e"):
            at, _, field = place.removeprefix("e.products[").partition("].")
            self._fault(names[int(at)], f"{field}: {reason}")

    def _size(self) -> None:
        """A document that is too long already may still become shorter."""
        size = self.draft.size + self.grown
        if self.grown > 0 and size > MAX_DOCUMENT:
            self._fault("", f"the document would have {size} bytes; {MAX_DOCUMENT} are allowed")

    def _planners(self) -> None:
        for name in self.readings:
            planner = self.readings[name].value
            if not isinstance(planner, PlannerItem):
                continue
            for _, reason in check_addresses("planners", [("address", planner.address)]):
                self._fault(name, f"address: {reason}")
            for other in sorted(self.draft.pointing_to(f"address {planner.address}")):
                if other != name:
                    self._fault(name, f"address: {other} has it too")
