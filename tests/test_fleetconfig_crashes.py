"""A control machine dies at each operation of its disks, revisions' and votes', during changes and its own
coming back; judged by the chains of all and by what writers were told."""

import os

from hazelhold.fleetconfig.revision import Position
from hazelhold.standin.disk import Points
from tests.fleetconfig_rig import Fleet, with_fleet

STEP = 1 if os.environ.get("HAZELHOLD_LONG") else 7  # every so many points


def play(strike: set[int], seed: int) -> tuple[int, int]:
    """One life of the fleet in which c1 dies at these points; how many points there were, and deaths."""
    points, found = Points(strike, seed), []

    async def test(fleet: Fleet) -> None:
        for disk in (fleet.disks["c1"], fleet.votes["c1"]):
            disk.points = points
        for n in range(4):
            last = await fleet.committed(**{f"customers__n{n}": {}})
        await fleet.until(lambda: set(fleet.controls) == set(fleet.names))
        for name in fleet.names:
            await fleet.status_when(lambda said: said.number >= last and not said.cut_off, name)
        judge(fleet)
        found.append(fleet.deaths)

    with_fleet(test)
    return points.count, found[0]


def judge(fleet: Fleet) -> None:
    """One chain, each committed change in it once and under the number that its writer was told."""
    carried: dict[str, list[int]] = {}
    chains: dict[int, Position] = {}
    for host in fleet.controls.values():
        for sealed in host.history.window:
            assert chains.setdefault(sealed.revision.number, sealed.position) == sealed.position
    longest = max(fleet.controls.values(), key=lambda host: len(host.history.window)).history
    for sealed in longest.window:
        for change in sealed.revision.changes:
            carried.setdefault(change.id, []).append(sealed.revision.number)
    assert carried == {id_: [number] for id_, number in fleet.told.items()}


def test_a_death_at_each_disk_operation_loses_and_doubles_nothing() -> None:
    count, _ = play(set(), 0)
    assert count > 25
    deaths = sum(play({point}, point)[1] for point in range(1, count + 1, STEP))
    assert deaths > 0.5 * (count // STEP)
