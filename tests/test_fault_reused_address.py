"""A machine comes up at the address of one that has gone, to which the planner still has a connection.

The planner keeps that connection for what stood on the machine that has gone, and opens another one for the
new machine. Both lead to the new machine's process, which tells an end on any connection of its planner.
Found by soak seed 850: an end that was told at 13.464 s was released at 14.697 s, 2 ms after the planner had
closed the connection of the machine that had gone, when the end was told again on the other one. The end was
counted among the stray messages (36 before, 44 after).
"""

import trio

from tests.platform_rig import PLACED, TELLING_USE, Rig, event, host, play, set_up

DONE = 16  # cause


def test_an_end_that_the_next_machine_tells_on_the_connection_of_the_one_before_is_taken() -> None:
    """Guards against an end that is passed over, since it came on another machine's connection."""

    async def story(rig: Rig) -> None:
        owner, machine = await rig.owner(), rig.machines["a"]
        await owner.say(set_up(1))
        await trio.sleep(0.5)
        rig.bulletin.events.append(event(2, host("a", "terminating")))
        await trio.sleep(0.3)
        await machine.streams[-1].aclose()  # its process goes, and another one comes up at its address
        await trio.sleep(1.0)
        of_the_machine_before = machine.streams[-1]
        rig.bulletin.events.append(event(3, host("a", "terminated"), host("b", dial="a:1")))
        await trio.sleep(0.3)
        await owner.say(set_up(2))
        await trio.sleep(0.2)
        assert owner.of(2) == PLACED
        assert machine.streams[-1] is not of_the_machine_before
        end = {"op": "end", "call": f"{2:016x}", "with": {}, "why": DONE}
        await machine.say(of_the_machine_before, end)
        await trio.sleep(1.0)
        assert len(owner.of(2)) == len(PLACED) + 1

    play(story, machines="a", settings=TELLING_USE)
