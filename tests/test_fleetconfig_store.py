"""The durable copy of the configuration: crashes and damage at any byte, failing disks."""

import errno
from collections.abc import Callable
from random import Random

import msgspec
import pytest
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from hazelhold.fleetconfig.document import Document, Put, canonical
from hazelhold.fleetconfig.revision import Change, Position, Revision, SealedRevision, seal
from hazelhold.fleetconfig.store import KINDS, RevisionStore, Stored
from hazelhold.fleetconfig.writer import StoreWriter
from hazelhold.service.net import MemoryNet
from hazelhold.standin.disk import FaultyDisk, Killed, Points
from hazelhold.state import frames
from hazelhold.state.disk import RealDisk
from hazelhold.state.images import drop
from hazelhold.state.store import StateError


def chain(count: int, seed: int = 1) -> tuple[list[SealedRevision], list[Document]]:
    """Revisions 1 to `count` and the document after each, the empty one first."""
    random, document = Random(seed), Document()
    revisions: list[SealedRevision] = []
    documents = [document.copy()]
    position = Position()
    for number in range(1, count + 1):
        names = random.sample([f"teams/t{n}" for n in range(8)], 3)
        puts = tuple(Put(name, canonical({"number": number})) for name in names[:2])
        change = Change(id=f"c{number}", base=number - 1, puts=puts, removals=(names[2],))
        document.apply([change.edit])
        made = Revision(number=number, parent=position.chain, content=document.checksum, changes=(change,))
        revisions.append(seal(made))
        position = revisions[-1].position
        documents.append(document.copy())
    return revisions, documents


REVISIONS, DOCUMENTS = chain(12)


def disk(strike: set[int] = frozenset(), seed: int = 1) -> FaultyDisk:
    return FaultyDisk(Points(set(strike), seed))


def opened(on: FaultyDisk, keep: int = 1000) -> tuple[RevisionStore, Stored]:
    store = RevisionStore(on, "c1", keep)
    return store, store.open(0, "c1 1")


def commit(store: RevisionStore, revisions: list[SealedRevision]) -> None:
    store.files.commit(store.append(revisions))


def filled(on: FaultyDisk, count: int, keep: int = 1000) -> RevisionStore:
    store, _ = opened(on, keep)
    store.files.begin(0)
    for sealed in REVISIONS[:count]:
        commit(store, [sealed])
    return store


def is_prefix(stored: Stored, least: int, most: int) -> bool:
    """Whether it is exactly what one of these numbers left."""
    number = stored.position.number
    return (
        least <= number <= most
        and stored.position == (REVISIONS[number - 1].position if number else Position())
        and stored.document.items == DOCUMENTS[number].items
        and stored.document.checksum == DOCUMENTS[number].checksum
    )


def test_what_was_stored_is_read_back_with_the_revisions_that_are_kept() -> None:
    on = disk()
    filled(on, 12, keep=5).files.close()
    store, stored = opened(on, keep=5)
    assert is_prefix(stored, 12, 12) and stored.complete and stored.notes == ()
    assert [r.revision.number for r in stored.revisions] == [8, 9, 10, 11, 12]
    assert [r.body for r in stored.revisions] == [r.body for r in REVISIONS[7:]]
    with pytest.raises(ValueError, match="revision 12 does not follow 12"):
        store.append(REVISIONS[11:])


def in_one_batch(store: RevisionStore, sealed: SealedRevision) -> None:
    commit(store, [sealed])


def in_two_batches(store: RevisionStore, sealed: SealedRevision) -> None:
    """A broken variant: the items are safe before the position that they are of."""
    changes = store.append([sealed])
    store.files.commit([change for change in changes if change.kind == "item"])
    store.files.commit([change for change in changes if change.kind != "item"])


def crashes_that_lose(step: Callable[[RevisionStore, SealedRevision], None]) -> list[int]:
    """The points of a life at which a crash leaves anything but a prefix with all that was safe."""
    quiet, found = disk(), []
    live(quiet, step)
    assert quiet.points.count > 12
    for point in range(1, quiet.points.count + 1):
        on = disk({point}, point)
        safe = live(on, step)
        on.crash()
        _, stored = opened(on)
        if not (is_prefix(stored, safe, safe + 1) and stored.complete):
            found.append(point)
    return found


def live(on: FaultyDisk, step: Callable[[RevisionStore, SealedRevision], None]) -> int:
    """One life until it is killed; how many revisions were safe."""
    safe = 0
    try:
        store, _ = opened(on)
        store.files.begin(0)
        for sealed in REVISIONS[:6]:
            step(store, sealed)
            safe = sealed.revision.number
            if safe == 3:
                store.files.begin(0)  # a new generation amid them
    except Killed:
        pass
    return safe


def test_a_crash_at_any_step_leaves_a_prefix_with_all_that_was_safe() -> None:
    assert crashes_that_lose(in_one_batch) == []


def test_a_step_in_two_batches_is_caught() -> None:
    assert crashes_that_lose(in_two_batches)


@pytest.mark.parametrize("way", ["flip", "cut", "zero"])
def test_damage_at_any_byte_is_named_and_leaves_a_prefix(way: str) -> None:
    on = disk()
    store = filled(on, 2)
    store.files.begin(0)
    for sealed in REVISIONS[2:5]:
        commit(store, [sealed])
    store.files.close()
    for name in ("log-2", "snapshot-2"):
        whole = on.safe[name]
        for at in range(0, len(whole), 3):
            data = bytearray(whole)
            if way == "flip":
                data[at] ^= 1 << at % 8
            elif way == "cut":
                del data[at:]
            else:
                data[at : at + 16] = bytes(len(data[at : at + 16]))
            if bytes(data) == whole:
                continue
            on.safe[name] = bytes(data)
            again, stored = opened(on)
            assert is_prefix(stored, 0, 5), (name, at, stored.position)
            if way != "cut" or name == "snapshot-2":
                assert not stored.complete and stored.notes, (name, at)
            again.files.close()
        on.safe[name] = whole


def test_files_that_fit_their_frames_but_not_each_other_are_damage() -> None:
    for kind, key in (("item", None), ("revision", None), ("position", "")):
        on = disk()
        store = filled(on, 4)
        table = store.files.state_table.tables[kind]
        lost = list(table)[1] if key is None else key
        store.files.commit([drop(kind, lost)])
        store.files.close()
        _, stored = opened(on)
        assert not stored.complete and stored.notes
        if kind == "revision":  # the document is sound: only those before the gap are gone
            assert is_prefix(stored, 4, 4) and [r.revision.number for r in stored.revisions] == [3, 4]
        else:
            assert stored.position == Position() and not stored.document.items


def test_nothing_of_a_damaged_copy_comes_back_after_the_next_start() -> None:
    on = disk()
    store = filled(on, 4)
    store.files.commit([drop("position", "")])
    store.files.close()
    again, _ = opened(on)
    again.files.begin(0)
    commit(again, [REVISIONS[0]])
    again.files.close()
    _, stored = opened(on)
    assert is_prefix(stored, 1, 1) and stored.complete


def test_another_machines_folder_or_one_in_use_is_refused() -> None:
    on = disk()
    store = filled(on, 1)
    with pytest.raises(StateError, match="in use"):
        RevisionStore(on, "c1").open(0, "x")
    store.files.close()
    with pytest.raises(StateError, match="is of planner 'c1', not of 'c2'"):
        RevisionStore(on, "c2").open(0, "x")


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(["append", "replace", "begin", "reopen"]), max_size=25), st.integers(1, 4))
def test_steps_in_any_order_leave_the_document_of_the_position(steps: list[str], keep: int) -> None:
    on = disk()
    store, _ = opened(on, keep)
    store.files.begin(0)
    number = 0
    for step in steps:
        if step == "append" and number < len(REVISIONS):
            commit(store, [REVISIONS[number]])
            number += 1
        elif step == "replace" and number + 2 <= len(REVISIONS):
            number += 2
            changes = store.replace(REVISIONS[number - 1].position, DOCUMENTS[number])
            store.files.commit(changes)
        elif step == "begin":
            store.files.begin(0)
        elif step == "reopen":
            store.files.close()
            store, stored = opened(on, keep)
            assert is_prefix(stored, number, number) and stored.notes == ()
            store.files.begin(0)
    store.files.close()
    _, stored = opened(on, keep)
    assert is_prefix(stored, number, number) and stored.complete
    assert len(stored.revisions) <= keep


def test_a_replacement_leaves_nothing_of_steps_that_were_not_safe_yet() -> None:
    on = disk()
    store = filled(on, 0)
    waiting = store.append(REVISIONS[:3])
    waiting += store.replace(REVISIONS[4].position, DOCUMENTS[5])
    store.files.commit(waiting)
    store.files.close()
    _, stored = opened(on)
    assert is_prefix(stored, 5, 5) and stored.revisions == () and stored.complete


@settings(max_examples=200, deadline=None, derandomize=True)
@example(["append", "in force", "append", "reopen", "in force", "reopen", "append"])
@given(
    st.lists(st.sampled_from(["append", "replace", "in force", "earlier in force", "reopen"]), max_size=25)
)
def test_the_document_in_force_outlives_newer_ones_that_are_not(steps: list[str]) -> None:
    on = disk()
    store, _ = opened(on)
    store.files.begin(0)
    number, in_force = 0, 0
    for step in [*steps, "reopen"]:
        if step == "append" and number < len(REVISIONS):
            commit(store, [REVISIONS[number]])
            number += 1
        elif step == "replace" and number + 2 <= len(REVISIONS):
            number += 2
            store.files.commit(store.replace(REVISIONS[number - 1].position, DOCUMENTS[number]))
        elif step.endswith("in force") and number > in_force:
            in_force = number if step == "in force" else in_force + 1
            at = REVISIONS[in_force - 1].position
            store.files.commit(store.put_in_force(at, DOCUMENTS[in_force]))
        elif step == "reopen":
            store.files.close()
            store, stored = opened(on)
            assert is_prefix(stored, number, number) and stored.notes == () and stored.complete
            if in_force in (0, number):
                assert stored.in_force is None
            else:
                position, document = stored.in_force
                assert position == REVISIONS[in_force - 1].position
                assert document.items == DOCUMENTS[in_force].items
                assert document.checksum == DOCUMENTS[in_force].checksum
            store.files.begin(0)


def test_what_was_in_force_and_does_not_fit_its_checksum_is_named_and_not_used() -> None:
    on = disk()
    store = filled(on, 3)
    store.files.commit(store.put_in_force(REVISIONS[2].position, DOCUMENTS[3]))
    commit(store, REVISIONS[3:5])
    store.files.commit([drop("before", next(iter(store.before)))])
    store.files.close()
    again, stored = opened(on)
    assert is_prefix(stored, 5, 5) and stored.in_force is None and not stored.complete
    assert stored.notes == ("what was in force, revision 3, cannot be told: its checksum differs",)
    assert again.in_force is None and again.before == {}


def run(story: object) -> None:
    trio.run(story, clock=MockClock(autojump_threshold=0))


def test_a_writer_shares_commits_and_calls_back_once_all_is_safe() -> None:
    async def story() -> None:
        on = disk()
        store, _ = opened(on)
        writer = StoreWriter(store, MemoryNet(), 2000, 1000)
        writer.begin()
        safe: list[int] = []
        for sealed in REVISIONS[:5]:
            writer.take(store.append([sealed]), lambda at=sealed.revision.number: safe.append(at))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            with trio.fail_after(10):
                while len(safe) < 5:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        assert safe == [1, 2, 3, 4, 5] and writer.commits == 1
        on.crash()
        assert is_prefix(opened(on)[1], 5, 5)

    run(story)


@pytest.mark.parametrize("what", ["write", "sync"])
def test_a_failing_disk_calls_nobody_back_until_it_works_and_then_all_in_order(what: str) -> None:
    async def story() -> None:
        on = disk()
        store, _ = opened(on)
        writer = StoreWriter(store, MemoryNet(), 2000, 1000)
        writer.begin()
        safe: list[int] = []

        def step(number: int) -> None:
            writer.take(store.append([REVISIONS[number - 1]]), lambda: safe.append(number))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            step(1)
            await trio.sleep(0.1)
            on.error_codes = {what: errno.EIO, "rename": errno.EIO}
            step(2)
            await trio.sleep(3.5)
            step(3)
            await trio.sleep(3.5)
            assert safe == [1] and writer.failed and writer.failures == 1
            on.error_codes = {}
            await trio.sleep(2)
            step(4)
            await trio.sleep(0.1)
            assert safe == [1, 2, 3, 4] and not writer.failed
            nursery.cancel_scope.cancel()
        on.crash()
        assert is_prefix(opened(on)[1], 4, 4)

    run(story)


def test_a_writer_whose_disk_never_worked_begins_once_it_does() -> None:
    async def story() -> None:
        on = disk()
        on.error_codes = {"write": errno.EROFS}
        store, _ = opened(on)
        writer = StoreWriter(store, MemoryNet(), 2000, 500)
        writer.begin()
        safe: list[int] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            writer.take(store.append(REVISIONS[:2]), lambda: safe.append(2))
            await trio.sleep(2)
            assert safe == []
            on.error_codes = {}
            await trio.sleep(1)
            assert safe == [2]
            nursery.cancel_scope.cancel()

    run(story)


def test_a_real_folder_is_read_back(tmp_path: object) -> None:
    store = RevisionStore(RealDisk(tmp_path / "revisions"), "c1")
    store.open(0, "c1 1")
    store.files.begin(0)
    commit(store, REVISIONS[:7])
    store.files.close()
    again = RevisionStore(RealDisk(tmp_path / "revisions"), "c1")
    assert is_prefix(again.open(0, "c1 2"), 7, 7)
    again.files.close()


def test_an_entry_of_a_newer_program_is_read_by_the_fields_that_are_known() -> None:
    on = disk()
    store = filled(on, 2)
    position = store.files.state_table.image("position", "")
    newer = msgspec.msgpack.encode([*msgspec.structs.astuple(position), "more"])
    assert KINDS["position"] is type(position)
    change = drop("position", "")._replace(image=newer)
    on.write("log-1", frames.batch([change]))
    on.sync("log-1")
    store.files.close()
    assert is_prefix(opened(on)[1], 2, 2)
