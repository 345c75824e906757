"""One fleet's configuration spread by the present program and an earlier one."""

from pathlib import Path

import pytest
import trio

from tests.pairs.earlier import program
from tests.pairs.revisions import BEFORE_PACKED, BEFORE_WORDING, Earlier
from tests.processes.fleetconfig_rig import LONG, ProcessFleet, process_fleet

CHANGES = 6


async def change_and_break(made: ProcessFleet) -> None:
    """Some changes at each control machine, every connection broken between, and all have the last."""
    number = 0
    for turn in range(CHANGES):
        for control in made.controls:
            values = {"teams__a": {"quota_cores": turn}}
            answer = await made.put(f"{control}-{turn}", await made.base(), control, seconds=LONG, **values)
            assert answer.outcome in ("committed", "conflict"), answer
            number = max(number, answer.number)
        if turn == CHANGES // 2:
            made.wires.break_all()
    await made.all_have(number)
    await made.everywhere(number)


@pytest.mark.parametrize("revision", [BEFORE_PACKED, BEFORE_WORDING])
@pytest.mark.parametrize("earlier", [("p1", "p3", "c2"), ("p2", "c1", "c3")])
def test_both_programs_in_one_fleet_have_all_revisions(
    tmp_path: Path, earlier: tuple[str, ...], revision: Earlier
) -> None:
    """Relays, followers and control machines of both; the checks are those of all process tests."""
    old = program(revision)

    async def run() -> None:
        programs = dict.fromkeys(earlier, old)
        async with process_fleet(tmp_path, planners=4, one_zone=True, programs=programs) as made:
            await change_and_break(made)
            packed = {ends for ends, kinds in made.wires.kinds.items() if "packed" in kinds}
            plain = {ends for ends, kinds in made.wires.kinds.items() if "revisions" in kinds}
            followers = {ends for ends in plain if ends[1] in made.planners}
            if revision is BEFORE_WORDING:  # which packs revisions for planners, too
                assert [ends for ends in packed if set(ends) & set(earlier)] and not followers
                return
            assert packed and not [ends for ends in packed if set(ends) & set(earlier)]
            assert followers and all(set(ends) & set(earlier) for ends in followers)

    trio.run(run)
