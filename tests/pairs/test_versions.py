"""The present program beside an earlier one: same decisions where nothing is on, and one fleet of both."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest
import trio

from bench.earlier_module import scheduler_text
from hazelhold.capture.read import read
from hazelhold.capture.replay import replay
from hazelhold.capture.skips import Skips
from hazelhold.config.day import Trouble
from hazelhold.protocol.record import read_record
from hazelhold.rehearse.run import play
from tests.pairs.earlier import ROOT, NoHistoryError, program
from tests.pairs.revisions import BEFORE_MEMBERSHIP, BEFORE_WORDING, Earlier
from tests.test_day import bad_day


def played(python: str, folder: Path, day: Path, seed: int, records: Path, *more: str) -> list[tuple]:
    """All messages that planners, machines and owners sent and received on a day in virtual time."""
    done = subprocess.run(
        [
            python,
            "-m",
            "hazelhold",
            "rehearse",
            str(day),
            "--virtual",
            "--seed",
            str(seed),
            "--records",
            str(records),
            *more,
        ],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=300,
    )
    assert done.returncode == 0, done.stderr[-2000:]
    return [
        (file.name, crossing)
        for file in sorted((records / "records").glob("*.jsonl"))
        if file.name != "rehearsal.jsonl"
        for crossing in read_record(file)
    ]


def with_earlier_list_service(folder: Path) -> None:
    """Copies the present program, with a list service that confirms nothing, as before there was a lease."""
    shutil.copytree(ROOT / "hazelhold", folder / "hazelhold")
    stand_in = folder / "hazelhold" / "standin" / "list_service.py"
    before, confirms, after = stand_in.read_text().partition(", confirms=True")
    assert confirms and confirms not in after
    stand_in.write_text(before + after)


@pytest.mark.parametrize("seed", [1, 2])
def test_with_membership_off_the_frames_are_those_of_the_program_before_it(tmp_path: Path, seed: int) -> None:
    """Decisions may have changed since: the present program plays with the earlier decision module."""
    day = ROOT / "examples" / "bad-day.json5"
    python, folder = program(BEFORE_MEMBERSHIP)
    with_earlier_list_service(tmp_path)
    (tmp_path / "hazelhold" / "scheduler.py").write_text(scheduler_text(folder / "hazelhold"))
    before = played(python, folder, day, seed, tmp_path / "before")
    now = played(sys.executable, tmp_path, day, seed, tmp_path / "now")
    assert len(before) > 5000
    for one, other in zip(before, now, strict=True):
        assert one == other


@pytest.mark.parametrize("seed", [1, 2])
def test_all_that_crosses_is_as_before_the_wording_was_revised(tmp_path: Path, seed: int) -> None:
    """Names and texts alone changed: the present program makes the same decisions with its own module."""
    day = ROOT / "examples" / "bad-day.json5"
    python, folder = program(BEFORE_WORDING)
    before = played(python, folder, day, seed, tmp_path / "before")
    with_earlier_list_service(tmp_path)
    now = played(sys.executable, tmp_path, day, seed, tmp_path / "now")
    assert len(before) > 5000
    for one, other in zip(before, now, strict=True):
        assert one == other


def test_a_capture_of_the_program_before_the_lease_replays_to_the_same_decisions(tmp_path: Path) -> None:
    """Its planners asked the list service for no confirmation, on a day on which that is down for seconds."""
    python, folder = program(BEFORE_WORDING)
    captures = tmp_path / "captures"
    played(
        python,
        folder,
        ROOT / "examples" / "bad-day.json5",
        1,
        tmp_path / "before",
        "--capture",
        str(captures),
    )
    found = replay(read(sorted(captures.iterdir()), Skips()))
    assert found["same"] and sum(planner["compared"] for planner in found["planners"]) > 1000


@pytest.mark.parametrize("earlier", [BEFORE_MEMBERSHIP, BEFORE_WORDING])
def test_a_fleet_of_both_programs_under_faults_keeps_the_rules(tmp_path: Path, earlier: Earlier) -> None:
    """Planners 1 and 3 run the earlier program; all share the machines, and two die and come back."""
    old = program(earlier)
    troubles = [
        Trouble("planner_kill", 3, 2, which=1),
        Trouble("planner_kill", 5, 2, which=0),
        Trouble("crash", 4, 3, 0.2),
        Trouble("answer_lost", 2, 6, 0.3, 0.3),
        Trouble("planner_pause", 8, 1.5, which=2),
        Trouble("planner_stop", 9, 1, which=3),
        Trouble("list_down", 6, 4),
    ]
    day = bad_day(length_s=13.0, planners=4, troubles=troubles)
    said = trio.run(lambda: play(day, 1, tmp_path, False, programs={1: old, 3: old}))
    assert said["rules_broken"] == [] and said["unaccounted"] == []
    assert said["counts"]["placed"] > 100
    for number in range(4):
        assert list((tmp_path / "records").glob(f"planner-planner-{number}-*.jsonl"))


def test_a_revision_that_the_history_does_not_have_fails_with_that_word() -> None:
    with pytest.raises(NoHistoryError, match="0123456789"):
        program(Earlier("0123456789abcdef0123456789abcdef01234567", ""))
