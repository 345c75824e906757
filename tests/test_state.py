"""The state files: reading, damage, formats and the commands that read them."""

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from hazelhold.cli.main import main
from hazelhold.state import frames, store
from hazelhold.state.disk import RealDisk
from hazelhold.state.images import Change, EndImage, put
from tests.helpers import ConfirmedHarness
from tests.state_rig import S, disk, end, open_store

# Files.


def test_committed_changes_are_read_back_and_an_unsynced_rest_does_not_make_the_state_incomplete() -> None:
    on = disk()
    open_store(on)
    on.write("log-1", frames.batch([end(9)])[:-3])  # never synced
    on.crash()
    contents = store.read(on, "p0")
    assert contents.complete and sorted(contents.state_table.tables["end"]) == [f"g{n}" for n in range(5)]


@pytest.mark.parametrize("kind", ["flip", "cut", "zero"])
def test_damage_at_any_byte_is_reported_and_never_read_as_other_content(kind: str) -> None:
    on = disk()
    open_store(on)
    whole = on.safe["log-1"]
    for at in range(len(whole)):
        data = bytearray(whole)
        if kind == "flip":
            data[at] ^= 1 << at % 8
        elif kind == "cut":
            del data[at:]
        else:
            data[at : at + 16] = bytes(len(data[at : at + 16]))
        if bytes(data) == whole:
            continue
        on.safe["log-1"] = bytes(data)
        try:
            contents = store.read(on, "p0")
        except store.StateError:
            assert kind == "flip"  # a changed planner name or format
            continue
        names = [f"g{n}" for n in range(len(contents.state_table.tables["end"]))]
        assert sorted(contents.state_table.tables["end"]) == names
        if kind != "cut":
            assert not contents.complete and "log-1: " in contents.notes[0]


@pytest.mark.parametrize(("missing", "complete"), [("log-2", False), ("snapshot-2", False)])
def test_a_missing_file_makes_the_state_incomplete(missing: str, complete: bool) -> None:
    on = disk()
    open_store(on).begin(0)
    del on.safe[missing]
    assert store.read(on, "p0").complete is complete


def test_state_of_another_planner_of_a_newer_format_or_in_use_is_refused_and_unchanged() -> None:
    on = disk()
    opened = open_store(on)
    before = dict(on.safe)
    with pytest.raises(store.InUseError, match="in use by p0 1"):
        store.Store(on, "p0").open(0, "p0 2")
    opened.close()
    with pytest.raises(store.StateError, match="is of planner 'p0', not of 'p9'"):
        store.Store(on, "p9").open(0, "p9 2")
    on.safe["log-1"] = frames.header(frames.Header(99, "p0", 1, "log")) + on.safe["log-1"]
    with pytest.raises(store.StateError, match="format 99; this program reads format 1"):
        store.Store(on, "p0").open(0, "p0 2")
    assert on.safe["snapshot-1"] == before["snapshot-1"] and not on.lock_holder


def test_an_older_format_is_upgraded(monkeypatch: pytest.MonkeyPatch) -> None:
    on = disk()
    old = frames.batch([Change("finish", "g1", None), end(1)])
    on.safe = {
        "snapshot-3": frames.header(frames.Header(0, "p0", 3, "snapshot")) + old,
        "log-3": frames.header(frames.Header(0, "p0", 3, "log")),
    }
    with pytest.raises(store.StateError, match="format 0"):
        store.read(on, "p0")
    monkeypatch.setitem(store.UPGRADES, 0, lambda batch: [c for c in batch if c.kind != "finish"])
    opened = store.Store(on, "p0")
    assert list(opened.open(0, "p0 1").state_table.tables["end"]) == ["g1"]
    opened.begin(0)
    monkeypatch.delitem(store.UPGRADES, 0)
    assert store.read(on, "p0").generation == 4  # rewritten in the current format


def test_a_long_log_is_replaced_and_expired_answers_are_removed() -> None:
    on = disk()
    opened = open_store(on, 0)
    for second in range(200):
        opened.commit(
            [
                put("end", f"g{second}-{n}", EndImage("x" * 100, "done"), until=(second + 30) * S)
                for n in range(300)
            ]
        )
        if opened.due():
            opened.begin(second * S)
    assert opened.generations == 2 and sum(map(len, on.safe.values())) < 3 * store.MIN_LOG_BYTES
    assert len(opened.state_table.tables["end"]) < 200 * 300


# Commands.


def test_the_state_commands_read_check_export_and_compact(tmp_path: Path) -> None:
    opened = store.Store(RealDisk(tmp_path), "p0")
    opened.open(0, "p0 1")
    opened.begin(0)
    harness = ConfirmedHarness("")
    harness.engine.keep(0, 0, opened.state_table, True)
    harness.submits(0, "g", "once")
    opened.commit([*harness.engine.flush(0), end(1)])
    run = CliRunner().invoke
    shown = run(main, ["state", "show", str(tmp_path)])
    assert "guest 1" in shown.output and "g/0 of o: once, held" in shown.output
    assert run(main, ["state", "check", str(tmp_path)]).exit_code == 0
    exported = run(main, ["state", "export", str(tmp_path)]).output.splitlines()
    assert {msgspec.json.decode(line)["kind"] for line in exported} == {"guest", "end"}
    refused = run(main, ["state", "compact", str(tmp_path)])
    assert refused.exit_code == 2 and "in use" in refused.output
    opened.close()
    assert run(main, ["state", "compact", str(tmp_path)]).exit_code == 0
    log = tmp_path / "log-2"
    log.write_bytes(log.read_bytes() + frames.batch([end(2)]).replace(b"done", b"dome"))
    damaged = run(main, ["state", "check", str(tmp_path)])
    assert damaged.exit_code == 1 and "log-2: damaged" in damaged.output and "incomplete" in damaged.output
    assert run(main, ["state", "compact", str(tmp_path)]).exit_code == 2
