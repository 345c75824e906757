"""What was committed and answered, held against a plain model: whole copies, no index, no window."""

from math import fsum
from typing import NamedTuple

import msgspec

from hazelhold.fleetconfig.document import Document, Put
from hazelhold.fleetconfig.messages import ProposeAnswer
from hazelhold.fleetconfig.revision import START, Change, SealedRevision, unseal


class Asking(NamedTuple):
    """One asking of a writer as it was answered by a core."""

    change: Change
    answer: ProposeAnswer
    emitted_after: int  # the highest committed revision then


class Replay:
    """The committed chain, carried out by a plain model: whole copies, no index, no window."""

    def __init__(self, committed: dict[int, SealedRevision]) -> None:
        self.items: list[dict[str, bytes]] = [{}]
        self.changed: list[dict[str, int]] = [{}]
        self.carried: dict[str, int] = {}
        chain = START
        for number in range(1, max(committed) + 1):
            assert number in committed, f"revision {number} is lost"
            sealed = unseal(committed[number].body)
            assert sealed.revision.parent == chain, "not one chain"
            chain = sealed.chain
            items, changed = dict(self.items[-1]), dict(self.changed[-1])
            for change in sealed.revision.changes:
                assert change.id not in self.carried, f"{change.id} was carried out twice"
                stale = [name for name in change.names() if changed.get(name, 0) > change.base]
                assert not stale, f"{change.id} was carried out over later changes of {stale}"
                carry_out(items, change)
                assert not wrong(items), f"{change.id} left {wrong(items)}"
                changed.update(dict.fromkeys(change.names(), number))
                self.carried[change.id] = number
            document = Document(Put(name, value) for name, value in items.items())
            assert document.checksum == sealed.revision.content
            self.items.append(items)
            self.changed.append(changed)

    def check(self, askings: list[Asking], opened: dict[str, int], closed: dict[str, int]) -> None:
        final: dict[str, set[str]] = {}
        for change, answer, _ in askings:
            final.setdefault(change.id, set()).add(answer.outcome)
            self._check_answer(change, answer)
        for id_, outcomes in final.items():
            if "unknown" not in outcomes and "committed" not in outcomes and opened[id_] == closed[id_]:
                assert id_ not in self.carried, f"{id_} was {outcomes}, and carried out"

    def _check_answer(self, change: Change, answer: ProposeAnswer) -> None:
        if answer.outcome == "committed":
            assert self.carried.get(change.id) == answer.number, f"{change.id} was not committed as told"
        elif answer.outcome == "conflict":
            changed = self.changed[answer.number]
            stale = {name for name in change.names() if changed.get(name, 0) > change.base}
            assert stale == {fault.item for fault in answer.faults}, "a conflict that is none"
            assert change.id not in self.carried, f"{change.id} was in conflict, and carried out"
        elif answer.outcome == "invalid":
            if "base" in answer.faults[0].text:
                return
            items = dict(self.items[answer.number])
            carry_out(items, change)
            assert wrong(items), (
                f"{change.id} was refused as invalid after {answer.number}, and is valid there"
            )


def carry_out(items: dict[str, bytes], change: Change) -> None:
    items.update((put.name, put.value) for put in change.puts)
    for name in change.removals:
        items.pop(name, None)


def wrong(items: dict[str, bytes]) -> list[str]:
    """What is wrong with the teams of a whole document, the plain way."""
    teams = {
        name.removeprefix("teams/"): msgspec.json.decode(value)
        for name, value in items.items()
        if name.startswith("teams/")
    }
    found = []
    for name, team in teams.items():
        if (parent := team.get("parent", "")) and parent not in teams:
            found.append(f"{name} has no parent")
        shares = [child["quota_cores"] for child in teams.values() if child.get("parent") == name]
        if fsum(shares) > team["quota_cores"]:
            found.append(f"{name} is too small")
        seen, above = {name}, team.get("parent", "")
        while above in teams and above not in seen:
            seen.add(above)
            above = teams[above].get("parent", "")
        if above == name:
            found.append(f"{name} is its own ancestor")
    return found
