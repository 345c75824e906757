"""One fleet's configuration spread by the present program and an earlier one."""

from collections.abc import Callable
from pathlib import Path

import pytest
import trio

from tests.pairs.earlier import program
from tests.pairs.revisions import BEFORE_PACKED, BEFORE_WORDING, Earlier
from tests.processes.fleetconfig_rig import LONG, ProcessFleet, process_fleet

CHANGES = 6
CHANGE_AGAIN = 0.3  # seconds between changes while the revisions that are looked for have not been seen


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


async def change_until(made: ProcessFleet, seen: Callable[[], bool]) -> None:
    """Goes on changing until it is seen, or for a generous while: broken connections leave open who follows
    whom, and the sources that planners prefer come back in their time."""
    number, turn = 0, CHANGES
    with trio.move_on_after(LONG):
        while not seen():
            values = {"teams__a": {"quota_cores": turn}}
            answer = await made.put(f"more-{turn}", await made.base(), seconds=LONG, **values)
            assert answer.outcome in ("committed", "conflict"), answer
            number, turn = max(number, answer.number), turn + 1
            await trio.sleep(CHANGE_AGAIN)
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

            def crossed(kind: str) -> set[tuple[str, str]]:
                return {ends for ends, kinds in made.wires.kinds.items() if kind in kinds}

            def among_both() -> set[tuple[str, str]]:
                return {ends for ends in crossed("packed") if set(ends) & set(earlier)}

            def plain_followers() -> set[tuple[str, str]]:
                return {ends for ends in crossed("revisions") if ends[1] in made.planners}

            if revision is BEFORE_WORDING:  # which packs revisions for planners, too
                await change_until(made, lambda: bool(among_both()))
                assert among_both() and not plain_followers()
                return
            await change_until(made, lambda: bool(crossed("packed") and plain_followers()))
            assert crossed("packed") and not among_both()
            assert plain_followers() and all(set(ends) & set(earlier) for ends in plain_followers())

    trio.run(run)
