"""What an operator does when one of the six control machines is replaced for good, with real processes
(docs/fleetconfig.md, "A control machine is replaced")."""

from collections.abc import Callable
from pathlib import Path

import trio

from hazelhold.fleetconfig import messages as m
from hazelhold.fleetconfig.control_host import KEY
from hazelhold.replica.sets import ReplicaCandidate, ReplicaSets
from tests.processes.fleetconfig_rig import LONG, ProcessFleet, process_fleet


def in_touch(number: int) -> Callable[[m.Status], bool]:
    def true(said: m.Status) -> bool:
        return said.number >= number and not said.cut_off

    return true


async def work(made: ProcessFleet, id_: str) -> int:
    answer = await made.put(id_, await made.base(), seconds=LONG, **{f"customers__{id_}": {}})
    assert answer.outcome == "committed", answer
    return answer.number


def keepers(made: ProcessFleet) -> tuple[str, ...]:
    """Who keeps the head."""
    return ReplicaSets([ReplicaCandidate(name, made.zones[name]) for name in made.controls], 5)(KEY)


async def restarted(made: ProcessFleet, name: str, number: int) -> None:
    """With its new file; the next one is not touched before this one votes and is in touch again."""
    await made.kill(name)
    await made.start(name)
    if name in made.controls:
        await made.votes_again(name)
    await made.until(name, in_touch(number))


def test_one_of_six_is_replaced_by_a_machine_at_another_address(tmp_path: Path) -> None:
    async def run() -> None:
        async with process_fleet(tmp_path, controls=6, planners=2) as made:
            replaced = keepers(made)[0]
            others = [name for name in made.controls if name != replaced]
            number = await work(made, "before")
            await made.all_have(number)

            await made.kill(replaced)  # for good, with its disk
            made.lose(replaced)
            made.move(replaced)
            number = await work(made, "without")

            await made.write_files()  # 1. the new machine, with the name and zone of the old one, not founded
            await made.start(replaced)
            await made.votes_again(replaced)
            await made.until(replaced, in_touch(number))
            await made.until(replaced, lambda said: said.counts.get("stored", 0) >= number)

            for name in others:  # 2. the other files name its addresses; one restart after the other
                await restarted(made, name, number)
                number = await work(made, f"after-{name}")
            for name in made.planners:
                await restarted(made, name, number)
            await made.everywhere(number)

            gone = [name for name in keepers(made) if name != replaced][:2]
            for name in gone:  # of the five that keep the head two: the new one's vote is needed
                await made.kill(name)
            by = [name for name in made.controls if name not in gone]
            answer = await made.put("needed", await made.base(), *by, seconds=LONG, customers__needed={})
            assert answer.outcome == "committed", answer
            for name in gone:
                await made.start(name)
            await made.all_have(answer.number)

    trio.run(run)
