"""The judgement of the process tests finds what it is to find: two chains, lost and doubled changes, a
planner that goes back.
"""

import json
from pathlib import Path

import pytest

from hazelhold.fleetconfig.document import Document, Put
from hazelhold.fleetconfig.revision import Change, Position, Revision, SealedRevision, seal
from hazelhold.fleetconfig.store import RevisionStore
from hazelhold.state.disk import RealDisk
from tests.processes.fleetconfig_rig import ProcessFleet


def chain(*ids: str) -> list[SealedRevision]:
    """One revision for each change id."""
    document, position, found = Document(), Position(), []
    for id_ in ids:
        change = Change(id=id_, base=position.number, puts=(Put(f"customers/{id_}", b"{}"),))
        document.apply([change.edit])
        made = Revision(
            number=position.number + 1, parent=position.chain, content=document.checksum, changes=(change,)
        )
        found.append(seal(made))
        position = found[-1].position
    return found


class Stopped(ProcessFleet):
    """A fleet that has ended, made from stores and log lines."""

    def __init__(self, folder: Path, **stores: list[SealedRevision]) -> None:
        self.folder, self.controls = folder, [name for name in stores if name.startswith("c")]
        self.planners = [name for name in stores if name.startswith("p")]
        self.logs, self.committed = {name: [] for name in stores}, {}
        for name, revisions in stores.items():
            store = RevisionStore(RealDisk(folder / name / "revisions"), name)
            store.open(0, name)
            store.files.begin(0)
            store.files.commit(store.append(revisions))
            store.files.close()

    def life(self, name: str, *numbers: int) -> None:
        """One life of a planner, with what it put in force."""
        log = self.folder / name / f"{len(self.logs[name])}.log"
        lines = [{"event": "fleetconfig_started", "number": 0}]
        lines += [{"event": "in_force", "number": number} for number in numbers]
        log.write_text("".join(json.dumps(line) + "\n" for line in lines))
        self.logs[name].append(log)


def test_a_sound_end_passes(tmp_path: Path) -> None:
    made = Stopped(tmp_path, c1=chain("a", "b"), c2=chain("a"), p1=chain("a", "b"))
    made.committed = {"a": 1, "b": 2}
    made.life("p1", 1)
    made.life("p1", 1, 2)
    made.judge()


def test_two_chains_are_found(tmp_path: Path) -> None:
    made = Stopped(tmp_path, c1=chain("a", "b"), c2=chain("a", "x"))
    with pytest.raises(AssertionError, match="two chains"):
        made.judge()


def test_a_change_that_was_carried_out_twice_is_found(tmp_path: Path) -> None:
    with pytest.raises(AssertionError, match="twice"):
        Stopped(tmp_path, c1=chain("a", "b", "a")).judge()


@pytest.mark.parametrize("committed", [{"lost": 2}, {"a": 2}])
def test_a_committed_answer_that_is_not_kept_is_found(tmp_path: Path, committed: dict[str, int]) -> None:
    made = Stopped(tmp_path, c1=chain("a"))
    made.committed = committed
    with pytest.raises(AssertionError):
        made.judge()


@pytest.mark.parametrize("lives", [[(1, 2), (1,)], [(2, 1)], [(1, 1)]])
def test_a_planner_that_goes_back_is_found(tmp_path: Path, lives: list[tuple[int, ...]]) -> None:
    made = Stopped(tmp_path, c1=chain("a", "b"), p1=chain("a", "b"))
    for numbers in lives:
        made.life("p1", *numbers)
    with pytest.raises(AssertionError):
        made.judge()
    if len(lives) == 2:
        made.judge(lost={"p1"})  # by an older disk it may


def test_a_damaged_store_and_a_traceback_are_found(tmp_path: Path) -> None:
    made = Stopped(tmp_path, c1=chain("a"), p1=chain("a"))
    made.life("p1", 1)
    made.logs["p1"][0].write_text("Traceback (most recent call last)")
    with pytest.raises(AssertionError, match="Traceback"):
        made.judge()
    file = tmp_path / "c1" / "revisions" / "log-1"
    file.write_bytes(file.read_bytes()[:40] + b"\0" + file.read_bytes()[41:])
    with pytest.raises(AssertionError, match="log-1: damaged"):
        made.judge()
