"""Files of control machines and planners' sections: all that is wrong is said at once; the commands' ends."""

from pathlib import Path

import pytest
from click.testing import CliRunner
from msgspec.structs import replace

from hazelhold.cli.main import main
from hazelhold.config.fleetconfig import (
    ControlFile,
    ControlMachine,
    ControlSeat,
    FleetConfigSection,
    VotesSection,
    check_control,
    read_control,
)
from hazelhold.config.load import ConfigError
from hazelhold.config.planner import CaptureConfig, check_planner
from hazelhold.fleetconfig.control_host import copies_config
from tests.helpers import planner_config

EXAMPLE = Path(__file__).parent.parent / "examples" / "fleetconfig-control.json5"
FULL = replace(
    planner_config(), listen="127.0.0.1:1", list=replace(planner_config().list, address="127.0.0.1:2")
)
SECTION = FleetConfigSection("127.0.0.1:3", control=[ControlMachine("c1", "127.0.0.1:4")], folder="revisions")
SEATS = [ControlSeat(f"c{n}", f"127.0.0.1:{n}", f"127.0.0.1:1{n}") for n in range(1, 4)]
CONTROL = ControlFile("c1", "127.0.0.1:1", "d", "revisions", SEATS, VotesSection("127.0.0.1:11", "votes", 3))


def faults(**changes: object) -> dict[str, str]:
    """What is wrong with a planner's file whose section was changed so."""
    return dict(check_planner(replace(FULL, fleetconfig=replace(SECTION, **changes))))


def test_a_planners_section_is_off_without_listen_and_all_faults_are_named() -> None:
    assert check_planner(FULL) == [] and faults() == {}
    assert faults(listen="").keys() == {"fleetconfig.listen"}
    assert "other keys are set" in faults(listen="")["fleetconfig.listen"]
    assert set(faults(control=[], folder="", reach={"x": "nowhere"})) == {
        "fleetconfig.control",
        "fleetconfig.folder",
        "fleetconfig.reach['x']",
    }
    twice = [ControlMachine("p0", "127.0.0.1:4"), ControlMachine("p0", "localhost:4")]
    assert set(faults(control=twice)) == {
        "fleetconfig.control[1].address",
        "fleetconfig.control[1].name",
        "fleetconfig.control",
    }
    both = replace(FULL, fleetconfig=SECTION, capture=CaptureConfig(file="x.pcap"))
    assert [place for place, _ in check_planner(both)] == ["fleetconfig"]
    kept = replace(FULL, fleetconfig=SECTION, state=replace(FULL.state, folder="revisions"))
    assert [place for place, _ in check_planner(kept)] == ["fleetconfig.folder"]


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ({"name": "other"}, "control"),
        ({"listen": "127.0.0.1"}, "listen"),
        ({"folder": ""}, "folder"),
        ({"folder": "votes"}, "votes.folder"),
        ({"reach": {"c9": "127.0.0.1:1"}}, "reach['c9']"),
        ({"votes": replace(CONTROL.votes, replicas=2)}, "votes.replicas"),
        ({"votes": replace(CONTROL.votes, replicas=5)}, "votes.replicas"),
        ({"votes": replace(CONTROL.votes, reach={"c9": "127.0.0.1:1"})}, "votes.reach['c9']"),
        ({"control": [*SEATS, replace(SEATS[0], address="127.0.0.1:0")]}, "control[3].address"),
        ({"control": [*SEATS, replace(SEATS[0], votes="here")]}, "control[3].votes"),
        ({"control": [*SEATS, SEATS[1]]}, "control[3].name"),
    ],
)
def test_faults_of_a_control_machines_file_are_named(change: dict[str, object], place: str) -> None:
    assert check_control(CONTROL) == []
    assert place in [found for found, _ in check_control(replace(CONTROL, **change))]


def test_the_example_is_sound_and_names_the_register_s_set(tmp_path: Path) -> None:
    file = read_control(EXAMPLE)
    made = copies_config(file)
    assert len(made.planners) == 6 and made.replicas == 5 and made.listen == file.votes.listen
    wrong = tmp_path / "wrong.json5"
    wrong.write_text(EXAMPLE.read_text().replace("replicas: 5", "replicas: 4, replica: 1"))
    with pytest.raises(ConfigError) as said:
        read_control(wrong)
    assert said.value.faults == [("votes.replica", "no such key; did you mean 'replicas'?")]


def run(*words: str) -> tuple[int, str]:
    done = CliRunner().invoke(main, ["fleetconfig", *words])
    return done.exit_code, done.output


def test_commands_end_with_a_line_and_a_code(tmp_path: Path) -> None:
    assert run("control", str(tmp_path / "none.json5"))[0] == 2
    assert run("show")[0] == 2
    assert run("show", "--at", "nowhere")[0] == 2
    code, said = run("put", "customers/a", "--at", "127.0.0.1:1")
    assert code == 2 and "customers/a: is not NAME=JSON" in said
    code, said = run("put", "customers/a={", "--at", "127.0.0.1:1")
    assert code == 2 and "customers/a" in said
    code, said = run("status", "--at", "127.0.0.1:1", "--wait", "0.2")
    assert code == 4 and "nobody answers: 127.0.0.1:1" in said
    code, said = run("put", "customers/a={}", "--base", "0", "--at", "127.0.0.1:1", "--wait", "0.3")
    assert code == 1 and said.startswith("refused")
    array = tmp_path / "array.json5"
    array.write_text("[1]")
    assert run("apply", str(array), "--at", "127.0.0.1:1")[0] == 2


def test_a_seat_is_given_once(tmp_path: Path) -> None:
    file = tmp_path / "c.json5"
    text = EXAMPLE.read_text().replace("fleetconfig-control-1", str(tmp_path / "c"))
    file.write_text(text)
    code, said = run("found", str(file))
    assert code == 0 and "control-1 has its seat" in said and "6 control machines, 5 keep the head" in said
    code, said = run("found", str(file))
    assert code == 2 and "is founded already" in said
    assert run("vouch", str(file))[0] == 0
