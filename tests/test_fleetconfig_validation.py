"""What a change would leave: all faults at once, cross-checks through the index, a newer program's items."""

import pytest
from fleetconfig_replay import carry_out, wrong
from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.fleetconfig import validation
from hazelhold.fleetconfig.document import (
    MAX_DEPTH,
    MAX_DOCUMENT,
    MAX_VALUE,
    Document,
    Edit,
    Put,
    canonical,
    item_faults,
    item_size,
)
from hazelhold.fleetconfig.messages import PAGE_BYTES
from hazelhold.fleetconfig.revision import Change, Position
from hazelhold.fleetconfig.schema import read_item
from hazelhold.fleetconfig.snapshot import MAX_PAGES, MAX_SNAPSHOT, Snapshot
from hazelhold.fleetconfig.validation import CheckedDocument, Draft, Verdict

PRODUCT = {"effect": "rerunnable", "goal_ms": 100, "patience_ms": 1000, "kind": "big"}
ITEMS = {
    "fleet": {"cold_for_ms": 1000},
    "kinds/big": {"cores": 64, "memory": 256},
    "kinds/small": {"cores": 8, "memory": 32},
    "products/search": PRODUCT,
    "customers/c1": {},
    "planners/p1": {"address": "10.0.0.1:700", "zone": "z1", "region": "r1"},
    "teams/top": {"quota_cores": 100, "quota_accelerators": 8},
    "teams/a": {"quota_cores": 60, "quota_accelerators": 8, "parent": "top"},
    "teams/b": {"quota_cores": 40, "parent": "top"},
    "teams/a1": {"quota_cores": 60, "parent": "a"},
}


def document(items: dict[str, object] = ITEMS) -> CheckedDocument:
    return CheckedDocument(Document(Put(name, canonical(value)) for name, value in items.items()))


def change(puts: dict[str, object], *removals: str) -> Change:
    encoded = tuple(Put(name, canonical(value)) for name, value in puts.items())
    return Change(id="c", base=0, puts=encoded, removals=removals)


def verdict(puts: dict[str, object], *removals: str) -> Verdict:
    return Draft(document()).try_change(change(puts, *removals))


def told(found: Verdict) -> set[tuple[str, str]]:
    """Faults by item, with the first words of the text."""
    return {(fault.item, " ".join(fault.text.split()[:2])) for fault in found.faults}


def test_a_whole_document_is_valid_in_one_change() -> None:
    found = Draft(CheckedDocument(Document())).try_change(change(ITEMS))
    assert found == Verdict((), ())


def test_all_that_is_wrong_is_told_at_once() -> None:
    found = verdict(
        {
            "fleet": {"cold_for_ms": -1, "probing": "yes"},
            "kinds/big": [],
            "products/search": PRODUCT | {"goal_ms": 2000, "kind": "huge"},
            "products/other": {"effect": "sometimes", "goal_ms": 1, "priority": 9},
            "planners/p2": {"address": "10.0.0.1:700", "zone": "z" * 61, "region": "r1"},
            "planners/p3": {"address": "10.0.0.1:700", "zone": "z1", "region": "r1"},
            "planners/p4": {"address": "somewhere:0", "zone": "z1", "region": "r1"},
            "teams/b": {"quota_cores": 41, "parent": "top"},
            "teams/c": {"quota_cores": "all", "parent": "a"},
            "teams/d": {"quota_cores": 1, "parent": "nobody"},
            "teams/e": {"quota_cores": 1, "parent": "f"},
            "teams/f": {"quota_cores": 1, "parent": "e"},
        },
        "kinds/small",
    )
    assert told(found) == {
        ("fleet", "cold_for_ms: Expected"),
        ("fleet", "probing: Expected"),
        ("kinds/big", "is no"),
        ("products/search", "goal_ms: exceeds"),
        ("products/search", "kind: no"),
        ("products/other", "effect: Invalid"),
        ("products/other", "patience_ms: is"),
        ("products/other", "priority: Expected"),
        ("planners/p2", "zone: Expected"),
        ("planners/p3", "address: planners/p1"),
        ("planners/p4", "address: 'somewhere'"),
        ("teams/top", "quota_cores: is"),
        ("teams/c", "quota_cores: Expected"),
        ("teams/d", "parent: there"),
        ("teams/e", "parent: is"),
        ("teams/f", "parent: is"),
    }


@pytest.mark.parametrize(
    ("puts", "removals", "expected"),
    [
        ({}, ("teams/top",), {("teams/a", "parent: there"), ("teams/b", "parent: there")}),
        ({}, ("teams/top", "teams/a", "teams/b", "teams/a1"), set()),
        ({}, ("kinds/big",), {("products/search", "kind: no")}),
        ({}, ("kinds/small", "customers/c1", "nothing/here"), set()),
        ({"teams/top": {"quota_cores": 99, "quota_accelerators": 8}}, (), {("teams/top", "quota_cores: is")}),
        ({"teams/top": {"quota_cores": 100}}, (), {("teams/top", "quota_accelerators: is")}),
        ({"teams/top": {"quota_cores": 60, "quota_accelerators": 8}}, ("teams/b",), set()),
        ({"teams/a1": {"quota_cores": 1, "parent": "a1"}}, (), {("teams/a1", "parent: is")}),
        (
            {"teams/top": {"quota_cores": 200, "quota_accelerators": 9, "parent": "a1"}},
            (),
            {
                ("teams/top", "parent: is"),
                ("teams/a1", "quota_cores: is"),
                ("teams/a1", "quota_accelerators: is"),
            },
        ),
        ({"planners/p2": ITEMS["planners/p1"]}, ("planners/p1",), set()),
        ({"planners/p1": ITEMS["planners/p1"]}, (), set()),
        ({"products/search": PRODUCT | {"name": "find"}}, (), {("products/search", "names itself")}),
        ({"products/search": PRODUCT | {"name": "search"}}, (), set()),
        (
            {"teams/x": {"quota_cores": 0, "parent": "a/b"}, "teams/a/b": {}},
            (),
            {("teams/x", "parent: there")},
        ),
    ],
)
def test_what_a_change_breaks_beyond_its_own_items(
    puts: dict[str, object], removals: tuple[str, ...], expected: set[tuple[str, str]]
) -> None:
    assert told(verdict(puts, *removals)) == expected


def test_what_a_newer_program_wrote_is_kept_to_the_byte_and_told() -> None:
    below = document()
    draft = Draft(below)
    later = change(
        {
            "teams/a": ITEMS["teams/a"] | {"burst": {"z": 1, "a": [None, 1.5]}},
            "teams/a/limits": {"n": 1},
            "teams": 7,
            "gangs/g": [1, 2],
            "fleet": {"later_ms": "soon"},
        }
    )
    found = draft.try_change(later)
    assert found.faults == ()
    assert {fault.item for fault in found.unknown} == {
        "teams/a",
        "teams/a/limits",
        "teams",
        "gangs/g",
        "fleet",
    }
    below.apply([later.edit])
    assert below.document.items["teams/a"] == canonical(
        {"burst": {"a": [None, 1.5], "z": 1}, "parent": "top", "quota_accelerators": 8, "quota_cores": 60}
    )
    assert all(below.document.items[put.name] == put.value for put in later.puts)


@pytest.mark.parametrize("name", ["customers/deep", "later/deep"])
def test_a_value_that_is_too_deep_for_some_reader_is_refused_everywhere(name: str) -> None:
    """How deep a reader gets depends on how deep its own calls are: what one takes ends another."""

    def nested(depth: int) -> Put:
        return Put(name, b'{"a":' + b"[" * (depth - 1) + b"]" * (depth - 1) + b"}")

    assert item_faults(nested(MAX_DEPTH)) == []
    for depth in (MAX_DEPTH + 1, 900):
        (fault,) = item_faults(nested(depth))
        assert fault.item == name and "within each other" in fault.text
    assert item_faults(Put(name, canonical([{"a": [1, "[[["]}] * 1000))) == []


def test_an_item_that_cannot_be_read_is_a_fault_and_ends_nobody() -> None:
    """One that an older program let through."""
    for value in (b"no JSON", b'{"a":' + b"[" * 5000 + b"]" * 5000 + b"}"):
        reading = read_item("customers/x", value)
        assert reading.value is None and reading.faults[0].text.startswith("cannot be read")
        CheckedDocument(Document([Put("customers/x", value)]))


def test_a_document_is_bounded_and_one_that_is_too_long_may_become_shorter() -> None:
    value = canonical("x" * (MAX_VALUE - 2))
    count = MAX_DOCUMENT // item_size("later/0000", value)
    document = Document(Put(f"later/{n:04}", value) for n in range(count))

    def verdict(*puts: Put, removals: tuple[str, ...] = ()) -> list[str]:
        change = Change(id="x", base=0, puts=puts, removals=removals)
        return [fault.text for fault in Draft(CheckedDocument(document)).try_change(change).faults]

    assert document.size <= MAX_DOCUMENT
    (said,) = verdict(Put("later/new", value))
    assert "the document would have" in said
    assert verdict(Put("later/new", value), removals=("later/0000",)) == []
    document.apply([Edit((Put("later/new", value), Put("later/more", value)))])
    assert document.size > MAX_DOCUMENT
    assert verdict(removals=("later/new",)) == []
    draft = Draft(CheckedDocument(Document()))
    for number in range(3):  # what lies on top counts too
        draft.try_change(Change(id="x", base=0, puts=(Put(f"later/{number}", value),)))
    draft.try_change(Change(id="x", base=0, puts=(Put("later/0", b"1"),), removals=("later/1",)))
    assert draft.size == item_size("later/0", b"1") + item_size("later/2", value)


@pytest.mark.parametrize("size", [1, PAGE_BYTES // 2 + 1, MAX_VALUE])
def test_the_longest_document_fits_into_a_snapshot(size: int) -> None:
    """Else who lost its folder could never have it again. Judged by a sixteenth of it."""
    value = canonical(1) if size == 1 else canonical("x" * (size - 2))
    count = MAX_DOCUMENT // 16 // item_size("later/0000000", value)
    document = Document(Put(f"later/{n:07}", value) for n in range(count))
    assert 16 * len(Snapshot(Position(1), document).pages) < MAX_PAGES
    assert 16 * sum(len(n) + len(v) for n, v in document.items.items()) < MAX_SNAPSHOT


def test_a_refused_change_leaves_the_draft_as_it_was() -> None:
    draft = Draft(document())
    assert not draft.try_change(change({"teams/b": {"quota_cores": 30, "parent": "top"}})).faults
    before = dict(draft.items), {to: set(names) for to, names in draft.index.by_target.items()}
    assert draft.try_change(
        change({"teams/b": {"quota_cores": 90}, "teams/n": {"quota_cores": "x"}}, "teams/a")
    ).faults
    assert (draft.items, draft.index.by_target) == before
    assert not draft.try_change(change({"teams/n": {"quota_cores": 10, "parent": "top"}})).faults
    assert draft.try_change(change({"teams/m": {"quota_cores": 1, "parent": "top"}})).faults


TEAMS = st.sampled_from(["a", "b", "c", "d"])
TEAM = st.fixed_dictionaries(
    {"quota_cores": st.integers(0, 4), "parent": st.sampled_from(["", "a", "b", "c", "d"])}
)
EDITS = st.dictionaries(TEAMS, st.none() | TEAM, min_size=1, max_size=3)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(EDITS, max_size=8), st.booleans())
def test_verdicts_are_those_of_the_whole_document(steps: list[dict], in_one_group: bool) -> None:
    """From valid document to valid document, changes are refused exactly if the plain model finds a fault."""
    below = CheckedDocument(Document())
    draft = Draft(below)
    plain: dict[str, bytes] = {}
    for edits in steps:
        puts = {f"teams/{name}": team for name, team in edits.items() if team is not None}
        step = change(puts, *(f"teams/{name}" for name, team in edits.items() if team is None))
        after = dict(plain)
        carry_out(after, step)
        found = draft.try_change(step)
        assert bool(found.faults) == bool(wrong(after)), (found.faults, wrong(after))
        if not found.faults:
            plain = after
            if not in_one_group:
                below.apply([step.edit])
                draft = Draft(below)
    kept = {name: value for name, value in (below.document.items | draft.items).items() if value is not None}
    assert kept == plain


def test_the_work_for_a_change_does_not_grow_with_the_document(monkeypatch: pytest.MonkeyPatch) -> None:
    read = 0

    def counted(name: str, encoded: bytes) -> object:
        nonlocal read
        read += 1
        return read_item(name, encoded)

    def reads(teams: int) -> int:
        items = {f"teams/t{n}": {"quota_cores": 10} for n in range(teams)}
        items |= {f"teams/u{n}": {"quota_cores": 1, "parent": f"t{n}"} for n in range(teams)}
        items |= {
            f"planners/p{n}": {"address": f"10.1.{n // 250}.{n % 250}:1", "zone": "z", "region": "r"}
            for n in range(teams)
        }
        below = document(ITEMS | items)
        nonlocal read
        read = 0
        step = change(
            {
                "teams/u1": {"quota_cores": 2, "parent": "t2"},
                "planners/p1": {"address": "10.9.0.1:1", "zone": "z", "region": "r"},
                "products/search": PRODUCT,
            },
            "teams/u2",
        )
        assert not Draft(below).try_change(step).faults
        below.apply([step.edit])
        return read

    monkeypatch.setattr(validation, "read_item", counted)
    assert reads(20) == reads(2000) < 40
