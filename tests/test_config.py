"""Configuration and day files: all errors are reported together, each with its place, and nothing starts."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from hazelhold.cli.main import main
from hazelhold.config.day import read_day
from hazelhold.config.load import ConfigError
from hazelhold.config.planner import read_planner
from hazelhold.rehearse.fault_plan import Target, plan

EXAMPLES = Path(__file__).parent.parent / "examples"


def changed(tmp_path: Path, name: str, *changes: tuple[str, str]) -> Path:
    text = (EXAMPLES / name).read_text()
    for old, new in changes:
        assert old in text
        text = text.replace(old, new, 1)
    (tmp_path / name).write_text(text)
    return tmp_path / name


def faults(path: Path) -> dict[str, str]:
    with pytest.raises(ConfigError) as error:
        read_day(path) if "day" in path.name else read_planner(path)
    assert str(path) in str(error.value)
    return dict(error.value.faults)


def test_all_errors_of_a_planner_file_are_reported_together(tmp_path: Path) -> None:
    found = faults(
        changed(
            tmp_path,
            "planner.json5",
            ('listen: "127.0.0.1:7400"', "lisen: 1"),
            ('effect: "exclusive"', 'effect: "never"'),
            ("cores: 24", "cores: -1"),
            ("max_dispatches: 4", 'max_dispatches: "four"'),
        )
    )
    assert found.keys() == {
        "lisen",
        "listen",
        "estate.products[2].effect",
        "estate.kinds[0].cores",
        "estate.fleet.max_dispatches",
    }
    assert "listen" in found["lisen"]


def test_contradictions_are_found_once_all_types_fit(tmp_path: Path) -> None:
    found = faults(
        changed(
            tmp_path,
            "planner.json5",
            ("slot: 0", "slot: 2"),
            ("127.0.0.1:7500", "nowhere"),
            ("goal_ms: 800", "goal_ms: 8000"),
            ('name: "large-box"', 'name: "small-box"'),
        )
    )
    assert found.keys() == {"slot", "list.address", "estate.products[0].goal_ms", "estate.kinds[1]"}


def test_all_errors_of_a_day_are_reported_together(tmp_path: Path) -> None:
    found = faults(
        changed(
            tmp_path,
            "bad-day.json5",
            ('kind: "flush", at_s: 3', 'kind: "flush", at_s: 300'),
            ("which: 1 }", "which: 9 }"),
            ("zones: 2", "zones: 1"),
            ("life_s: [6, 20]", "life_s: [20, 6]"),
        )
    )
    assert found.keys() == {"troubles[0].at_s", "troubles[4].which", "troubles[8].kind", "wares[0].life_s"}


@pytest.mark.parametrize(
    ("text", "word"),
    [("{a: 1,\n b:}", "line 2"), ("", "not JSON5"), ("[1]", "object"), ("{a: 1} x", "line 1")],
)
def test_syntax_errors_are_reported_with_their_place(tmp_path: Path, text: str, word: str) -> None:
    (tmp_path / "planner.json5").write_text(text)
    ran = CliRunner().invoke(main, ["check-config", str(tmp_path / "planner.json5")])
    assert ran.exit_code == 2 and word in ran.output and "Traceback" not in ran.output


def test_the_examples_are_valid_and_a_missing_file_is_named() -> None:
    files = [str(EXAMPLES / name) for name in ("planner.json5", "bad-day.json5", "quiet-day.json5")]
    ran = CliRunner().invoke(main, ["check-config", *files])
    assert ran.exit_code == 0 and ran.output.count("valid") == 3
    ran = CliRunner().invoke(main, ["check-config", "nowhere.json5"])
    assert ran.exit_code == 2 and "nowhere.json5" in ran.output


def test_the_same_seed_gives_the_same_faults() -> None:
    day = read_day(EXAMPLES / "bad-day.json5")
    targets = [Target(f"m{n}", "small-box" if n % 2 else "large-box", n % 2, n // 3) for n in range(11)]
    first = plan(day, 5, targets, ["s1", "s2"])
    assert first == plan(day, 5, targets, ["s1", "s2"]) != plan(day, 6, targets, ["s1", "s2"])
    assert [s.at for s in first] == sorted(s.at for s in first)
    assert {t.kind for t in day.troubles} == {
        "burst",
        "deploy",
        "list_down",
        "flush",
        "heavy_tail",
        "hot_service",
        "mass_restart",
        "preempt",
        "vanish",
        "report_late",
        "fast_errors",
        "answer_lost",
        "ageing",
        "crash",
        "zone_cut",
        "planner_kill",
        "planner_stop",
        "reconnect",
    }
