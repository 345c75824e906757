"""Seeds of the soak by hand that broke a rule and are not mended: their entries are in KNOWN-RED.txt."""

from pathlib import Path

import pytest

from tests.faults.soak import Kinds, play

PLANNERS, SERVERS = 8, 12
FOUND = [
    (811, 18.0, Kinds.USUAL),
    (819, 18.0, Kinds.USUAL),
    (836, 18.0, Kinds.USUAL),
    (844, 18.0, Kinds.USUAL),
    (850, 18.0, Kinds.USUAL),
    (901, 16.0, Kinds.ALL),
    (916, 16.0, Kinds.ALL),
    (1133, 18.0, Kinds.ALL),
    (1137, 18.0, Kinds.ALL),
    (1151, 18.0, Kinds.ALL),
]


@pytest.mark.parametrize(("seed", "seconds", "kinds"), FOUND, ids=lambda value: getattr(value, "value", None))
def test_no_rule_is_broken_under_the_faults_of_a_seed_that_was_found(
    seed: int, seconds: float, kinds: Kinds, tmp_path: Path
) -> None:
    """Guards against what the seed's entry names: releases past 8 s, or an answer past its time."""
    result = play(seed, PLANNERS, SERVERS, seconds, tmp_path, kinds)
    print(result.line)
    assert [f"{each.at:.3f} {each.rule.value}: {each.what}" for each in result.violations] == []
