"""Race conditions at a planner's stop, at reloads and with descriptors, forced on loopback sockets."""

import socket
from pathlib import Path

import pytest
import trio

from hazelhold.platform import planner as planners
from hazelhold.platform.codec import END, TEST, BinaryMessage
from tests.crossings_rig import PLACED, Tap, name, settings
from tests.platform_rig import (
    DEPLOYMENT,
    Bulletin,
    Owner,
    Rig,
    SocketRig,
    event,
    file,
    host,
    on_sockets,
    play,
    set_up,
    until,
)

# The end of a planner.


def test_an_answer_that_crosses_the_withdrawal_at_a_stop_is_not_reported_as_placed() -> None:
    """The machine ends an accepted guest when it is withdrawn, with a code that owners are not sent: the
    owner was left with a guest that ran nowhere."""

    async def test(rig: SocketRig) -> None:
        machine = rig.machines["a"]
        machine.accepts = False
        owner = await rig.owner()
        await owner.say(set_up(1), set_up(2, "once"))
        await until(lambda: rig.offers(1) and rig.offers(2))
        rig.planner.engine.stop(rig.net.now())  # as the stop does first
        rig.planner._carry_out()
        await until(lambda: sum(line["op"] == "end" for line in machine.heard) == 2)
        for guest in (1, 2):  # both answers were on their way
            await machine.accept(machine.streams[-1], name(guest))
        rig.planner.ticker.notify()
        await until(lambda: owner.of(1) and owner.of(2))
        assert owner.of(1) == [(END, 34)] and owner.of(2) == [(END, 41)]

    on_sockets(test, machines="a")


@pytest.mark.parametrize("patience", [150.0, 600.0, 3000.0])
def test_a_stop_with_a_short_time_left_serves_all_that_may_still_come(patience: float) -> None:
    """Its times were counted back from SIGKILL alone: with a time left under a second it had exited before
    the last submissions came."""
    times: list[float] = []

    async def test(rig: SocketRig) -> None:
        begun = trio.current_time()

        async def note(at: float) -> None:
            times.append(at - begun)

        with pytest.MonkeyPatch.context() as patched:
            patched.setattr(planners.trio, "sleep_until", note)
            await rig.planner._stop()
        kill = 0.7 + min(3.0, patience / 1000)
        assert all(0.7 < at < kill for at in times) and times == sorted(times) and len(times) == 3

    classes = [each | {"deadline": patience} for each in DEPLOYMENT["classes"]]
    on_sockets(test, machines="a", settings=settings(classes=classes))


def test_the_rest_of_an_answer_half_written_at_the_end_is_still_sent() -> None:
    async def test(rig: SocketRig) -> None:
        owner = await rig.owner()
        await owner.say(BinaryMessage(TEST, name(9), {17: b"\0"}))
        await until(lambda: owner.heard)
        (peer,) = rig.planner.owner_server.peers.values()
        peer.stream = tap = Tap(peer.stream)
        tap.stopped, tap.half = True, 7
        await owner.say(set_up(1, left="800"))
        await until(lambda: peer.sending)
        rig.planner.stop()
        looks, real = [], peer.unsent
        peer.unsent = lambda: looks.append(1) or real()
        await until(lambda: len(looks) > 2 or rig.planner.ended.is_set())
        assert not rig.planner.ended.is_set() and not owner.of(1)
        tap.open.set()
        await rig.planner.ended.wait()
        await until(lambda: owner.closed_at)
        assert owner.of(1) == PLACED

    classes = [each | {"deadline": 900.0} for each in DEPLOYMENT["classes"]]
    on_sockets(test, machines="a", settings=settings(classes=classes))


# New configurations.


def test_a_file_half_written_at_its_signal_is_read_once_it_is_complete(tmp_path: Path) -> None:
    """It was refused once, and the planner continued with a bulletin that had closed."""

    async def test(rig: SocketRig) -> None:
        rig.planner.config = path = tmp_path / "config.json"
        moved = Bulletin()
        at = await rig.net.listen("127.0.0.1:0", moved.door, rig.nursery)
        text = file(listen="127.0.0.1:0", bulletin=at, settings=settings(balancers=20, **{"slot-no": 17}))
        path.write_text(text[: len(text) // 2])
        rig.planner.reload()
        rig.planner.reload()  # twice at once
        assert rig.planner.counts["reloads_refused"] == 2 and not moved.asked
        path.write_text(text)
        await until(lambda: moved.asked)
        assert rig.planner.counts["reloads"] == 1 and rig.planner.counts["reloads_refused"] == 2
        known = rig.planner.engine.scheduler.deployment  # among how many the budgets are shared
        assert (known.planners, known.slot) == (20, 17) and rig.planner.engine.deployment is known

    on_sockets(test, machines="a")


def test_an_invalid_address_in_an_event_or_the_file_ends_nothing() -> None:
    async def test(rig: SocketRig) -> None:
        rig.bulletin.events += [
            event(2, host("c", dial="x" * 80 + ":1"), host("d", dial="nowhere")),
            event(3, host("e", dial="127.0.0.1:0")),
        ]
        await until(lambda: "e" in rig.planner.engine.roster.machines)
        owner = await rig.owner()
        await owner.say(set_up(1, figures=f"cores:1;memory:2;service:{1:016x};at:c"))
        await until(lambda: rig.planner.counts["dials_failed"])
        rig.planner.follower.move("x" * 80 + ":1")
        await until(lambda: rig.planner.counts["discovery_failures"])
        await owner.say(set_up(2))
        await until(lambda: owner.of(2) == PLACED)

    on_sockets(test, machines="a")


# Descriptors.


def test_an_owner_behind_hundreds_of_silent_connections_is_read_within_some_iterations() -> None:
    """One connection was accepted in each iteration of the loop: a loaded planner needed as many iterations
    as there were silent connections before it."""

    async def test(rig: SocketRig) -> None:
        iterations, real = [], rig.planner.engine.pump

        def pump(now: int) -> None:
            iterations.append(now)
            real(now)
            rig.planner.ticker.notify()  # always something to do, once per iteration

        busy = await rig.owner()
        await busy.say(set_up(1))
        await until(lambda: busy.of(1) == PLACED)
        where = rig.planner.address.split(":")
        silent = [socket.create_connection((where[0], int(where[1]))) for _ in range(600)]  # in one iteration
        late = Owner(
            trio.SocketStream(
                trio.socket.from_stdlib_socket(socket.create_connection((where[0], int(where[1]))))
            ),
            rig.nursery,
        )
        rig.planner.ticker.pause = 0.0
        rig.planner.engine.pump = pump
        rig.planner.ticker.notify()
        await late.say(set_up(2))
        await until(lambda: late.of(2))
        assert late.of(2) == PLACED and len(iterations) < 250 and rig.planner.limits.connections < 300
        for each in silent:
            each.close()

    on_sockets(test)


def test_idle_owners_that_read_nothing_keep_no_descriptor_once_evicted() -> None:
    """An evicted connection kept its descriptor while bytes waited, beside the one that replaced it."""

    async def test(rig: SocketRig) -> None:
        limit = rig.planner.limits.connections
        rude = [await rig.owner() for _ in range(limit)]
        for owner in rude:
            await owner.say(BinaryMessage(TEST, name(9), {17: b"\0"}))
        await until(lambda: all(owner.heard for owner in rude))
        taps = []
        for peer in rig.planner.owner_server.peers.values():
            peer.stream = tap = Tap(peer.stream)
            tap.stopped = True
            taps.append(tap)
        old = list(rig.planner.owner_server.peers.values())
        for owner in rude:
            await owner.say(BinaryMessage(TEST, name(8), {17: b"\0"}))
        await until(lambda: all(peer.sending for peer in old))
        for peer in old:
            peer.sending_from -= 1
        for guest in range(1, 6):
            real = await rig.owner()
            await real.say(set_up(guest))
            await until(lambda real=real, guest=guest: real.of(guest) == PLACED)
        assert sum(peer.closing and peer.stream.socket.fileno() < 0 for peer in old) == 5

    on_sockets(test, machines="a")


def test_new_connections_do_not_close_each_other_before_their_requests_are_there() -> None:
    """The server was full of connections that had sent one request and stayed open. Of those that came
    together, each closed the one before within a millisecond, as one that had sent nothing."""

    async def test(rig: Rig) -> None:
        limit = rig.planner.limits.connections
        idle = [await rig.owner() for _ in range(limit)]
        for owner in idle:
            await owner.say(BinaryMessage(TEST, "00000000000000aa", {17: b"\0"}))
        await trio.sleep(0.6)
        assert len(rig.planner.owner_server.peers) == limit
        clients = [await rig.owner() for _ in range(6)]
        await trio.sleep(0.005)  # a request is some milliseconds behind the connection that it comes on
        for at, client in enumerate(clients):
            await client.say(set_up(at + 1))
        await trio.sleep(0.5)
        assert [client.of(at + 1) for at, client in enumerate(clients)] == [PLACED] * len(clients)
        assert len(rig.planner.owner_server.peers) <= limit

    play(test)
