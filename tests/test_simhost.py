"""The simulator's adapter: clear errors on bad input, exact times, planners that share nothing."""

import io

import pytest

from hazelhold import simhost
from hazelhold.simhost import micros, millis, serve

SETTINGS = (
    "balancers=1 slot-no=0 classes.count=1 classes.0.dedup-window=5000.0 classes.0.group=all "
    "classes.0.idempotency=retryable classes.0.late-worth=0.1 classes.0.on-time=800.0 classes.0.points=1.0 "
    "discovery=ask family-info.accepts-memory=1.5 family-info.class-kind=-1 family-info.class-most=2 "
    "family-info.class-priority=0 family-info.confirms=accepted family-info.cores-multiple=4.0 "
    "family-info.easy-until=1.0 family-info.fresh-offers=113.0 family-info.lists-free=true "
    "family-info.lost-after=1.0 family-info.makes-room=true family-info.mem-of-kind=41.0 "
    "family-info.report-counts=used family-info.size-cores=26 family-info.spread-over=off "
    "family-info.start-bonus-s=10.0 limits.max-attempts=4 limits.probing=false load-report.how=inline "
    "over-share-worth=1.0 rules.ask-within=10000.0 rules.cold-from=0.24 rules.cold=15000.0 "
    "rules.tip-after=2000.0 tenants.count=0 unheard-of=3"
)


def talk(*lines: str) -> tuple[int, str]:
    sink = io.StringIO()
    code = serve(io.StringIO("".join(line + "\n" for line in lines)), sink)
    return code, sink.getvalue()


def start(name: str) -> list[str]:
    return [
        f"ENLIST {name} 5 {SETTINGS}",
        "REGISTER 0 1",
        "ROW healthy 0 machine-a 0 0 41 1 26 0",
        f"DISCOVERY {name} stale_copy 0 1",
    ]


def test_a_guest_is_offered_and_planners_act_only_on_their_own_events() -> None:
    code, output = talk(
        "TICK 1000",
        *start("planner_0"),
        *start("planner_1"),
        "COMMIT",
        "TICK 1002.5",
        "SUBMIT planner_1 00ab 0 - task-x 240.0 - c:s 2 1.5 0",
        "COMMIT",
    )
    replies = output.split("EOR\n")
    assert code == 0 and "BIND planner_1 00ab machine-a" in replies[1] and "planner_0" not in replies[1]


@pytest.mark.parametrize(
    ("line", "word"),
    [
        ("WHAT planner_0", "WHAT"),
        ("OUTCOME planner_0 00ab 0 machine-a odd 1 1 - -", "odd"),
        ("DISCOVERY planner_0 patch 7 2", "7"),
        ("SUBMIT planner_0 00ab", "line 7"),
        ("ROW healthy 0 machine-a 0 0 41 1 26 0", "row"),
    ],
)
def test_a_malformed_line_is_reported(line: str, word: str, capsys: pytest.CaptureFixture) -> None:
    code, _ = talk("TICK 1", *start("planner_0"), "COMMIT", line)
    errors = capsys.readouterr().err
    assert code == 2 and word in errors and "Traceback" not in errors


def test_a_missing_setting_ends_only_that_planner() -> None:
    bad = f"ENLIST planner_0 5 {SETTINGS}".replace("rules.cold=15000.0 ", "")
    code, output = talk("TICK 1", bad, *start("planner_1"), "COMMIT")
    assert (
        code == 0
        and "DIE planner_0 setting rules.cold is missing" in output
        and "DIE planner_1" not in output
    )


def test_times_are_converted_without_loss() -> None:
    assert [millis(micros(text)) for text in ("0.001", "137276476.768", "80.0")] == [
        "0.001",
        "137276476.768",
        "80.000",
    ]
    assert micros("-") == 0 and simhost.read_load("x0:0.4,odd:1").cores_free == 0.4


@pytest.mark.parametrize("path", ["rules.cold", "classes.0.on-time"])
def test_a_setting_that_overflows_ends_its_planner_with_the_name_of_the_key(path: str) -> None:
    """Guards against a finite setting whose conversion overflows: it ended the adapter without a message."""
    changed = " ".join(f"{path}=1e306" if part.startswith(path + "=") else part for part in SETTINGS.split())
    code, output = talk("TICK 0", f"ENLIST planner_0 5 {changed}", *start("planner_1"), "COMMIT")
    assert code == 0 and f"DIE planner_0 setting {path}" in output and "DIE planner_1" not in output
