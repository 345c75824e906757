"""The platform's list of machines: discovery answers, invalid entries, size."""

import json
from pathlib import Path

import pytest
import trio

from hazelhold.engine.list_lease import Lapse
from hazelhold.interface import Scope
from hazelhold.platform import discovery
from tests.platform_rig import DEPLOYMENT, PLACED, Bulletin, Rig, event, file, host, play, set_up

# Discovery.


def test_failed_polls_lose_no_event() -> None:
    async def test(rig: Rig) -> None:
        bulletin = rig.bulletin
        await trio.sleep(0.2)
        bodies = [
            b'{"no":2,"items":[{"no":2,"ros',
            b"noise",
            b'{"no":9,"items":[{"no":9}]}',
            b"[]",
            b'{"no":2,"items":[{"no":"2"}]}',
            b'{"no":2,"items":[{"no":2,"roster":{"hosts":[{"host":"a","health":"asleep"}]}}]}',
        ]
        answers = [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body) for body in bodies]
        answers += [
            b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{",
            b"junk\r\n\r\n",
            b"",
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
            + b" " * (2 * discovery.MAX_ANSWER_BYTES),
        ]
        for answer in answers:
            bulletin.broken = answer
            rig.planner.follower.unreadable = (0, 0)
            failures = rig.planner.counts["discovery_failures"]
            await trio.sleep(0.6 if b"asleep" in answer else 2)  # before the event is skipped
            assert rig.planner.counts["discovery_failures"] > failures, answer[:60]
            assert rig.planner.follower.last == 1
        bulletin.broken, bulletin.silent = None, True
        await trio.sleep(4)
        bulletin.events += [event(2, host("a", "terminating")), event(3, host("a", "terminated"))]
        bulletin.silent = False
        await trio.sleep(2)
        assert rig.planner.follower.last == 3 and set(rig.planner.engine.roster.machines) == {"b"}

    play(test)


def test_a_reload_polls_the_new_address_at_once_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    async def test(rig: Rig) -> None:
        planner = rig.planner
        planner.config = tmp_path / "config.json"
        await trio.sleep(0.2)
        new = Bulletin()
        new.events = [event(2, host("a", "terminating"))]
        await rig.net.listen("news:2", new.door, rig.nursery)
        planner.config.write_text("{")
        planner.reload()
        await trio.sleep(0.1)
        assert planner.follower.address == "news:1" and planner.counts["reloads_refused"] == 1
        planner.config.write_text(file(bulletin="news:2"))
        heard_at = planner.engine.scheduler.list_heard_at
        planner.reload()
        assert planner.engine.scheduler.list_heard_at == heard_at  # nothing was received yet
        await trio.sleep(0.1)
        assert new.asked[0][0] == 1 and planner.follower.last == 2
        assert planner.counts["discovery_failures"] == 0

    play(test)


def test_an_answer_of_the_old_address_that_arrives_with_a_reload_does_not_confirm_the_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The answer has been received when the reload is handled, and its poll's reader runs after that."""

    async def test(rig: Rig) -> None:
        planner = rig.planner
        planner.config = tmp_path / "config.json"
        planner.config.write_text(file(bulletin="news:2"))
        await trio.sleep(0.2)
        new = Bulletin()
        new.silent = True
        await rig.net.listen("news:2", new.door, rig.nursery)
        run = discovery.Poll.run

        async def run_until_a_reload(poll: discovery.Poll) -> None:
            await run(poll)
            if poll.body is not None and planner.reloads == 0:
                planner.reload()

        monkeypatch.setattr(discovery.Poll, "run", run_until_a_reload)
        await trio.sleep(0.3)
        assert planner.reloads == 1 and new.asked
        answers = planner.counts["discovery_answers"]
        assert not planner.engine.lease.holds(rig.net.now())
        assert planner.engine.lease.lapse is Lapse.MOVED
        await trio.sleep(0.3)
        assert planner.counts["discovery_answers"] == answers

    play(test)


# Invalid entries, list size, and an overloaded planner.


def test_an_event_that_stays_invalid_is_skipped() -> None:
    async def test(rig: Rig) -> None:
        rig.bulletin.events += [{"no": 2, "roster": {"hosts": 7}}, event(3, host("b", "terminated"))]
        await trio.sleep(1)
        assert rig.planner.follower.last == 3 and set(rig.planner.engine.roster.machines) == {"a"}
        counts = rig.planner.counts
        assert counts["discovery_unreadable"] == 3 and counts["discovery_failures"] == 2

    play(test)


def test_an_invalid_entry_delays_no_drain_beside_or_before_it() -> None:
    """One invalid entry delayed its whole event, and all events before it, for three polls."""

    async def test(rig: Rig) -> None:
        rig.bulletin.events += [
            event(2, host("a", "terminating")),
            event(3, host("b", "terminating"), host("c", "asleep"), whole=True),
            event(4, host("c", "terminating") | {"class": "no such box"}),
        ]
        await trio.sleep(0.03)  # one poll and the time to process it
        modes = {name: f.mode.name for name, f in rig.planner.engine.roster.machines.items()}
        assert modes["a"] == modes["b"] == "CORDONED"
        await trio.sleep(0.5)
        modes = {name: f.mode.name for name, f in rig.planner.engine.roster.machines.items()}
        assert modes == dict.fromkeys("abc", "CORDONED") and rig.planner.follower.last == 4

    play(test, machines="abc")


def test_zones_missing_in_the_settings_are_distinguished() -> None:
    async def test(rig: Rig) -> None:
        rig.bulletin.events += [
            event(
                2,
                *(host(name) | {"site": site} for name, site in (("a", "z1"), ("b", "new"), ("c", "newer"))),
            )
        ]
        await trio.sleep(0.1)
        machines = rig.planner.engine.scheduler.machines
        assert len({machines[name].listed.zone for name in "abc"}) == 3
        assert len({machines[name].scope_key(Scope.CELL) for name in "abc"}) == 3  # block 0 of each

    play(test, machines="abc")


def test_a_list_of_1100_machines_and_1024_planners_is_within_all_limits() -> None:
    """The list comes from the configuration file and from discovery, and guests are placed by it."""
    hosts = [host(f"m{number}", dial="a:1") | {"site": f"z{number % 9}"} for number in range(1, 1100)]

    async def test(rig: Rig) -> None:
        owner = await rig.owner()
        assert (
            len(rig.planner.engine.scheduler.machines) == 1100
            and rig.planner.engine.deployment.planners == 1024
        )
        rig.bulletin.events += [event(2, *(each | {"health": "terminating"} for each in hosts))]
        await trio.sleep(0.1)
        assert [f.name for f in rig.planner.engine.roster.machines.values() if f.mode.name == "READY"] == [
            "a"
        ]
        rig.bulletin.events += [event(3, *hosts)]
        await trio.sleep(0.1)
        await owner.say(*(set_up(guest) for guest in range(1, 41)))
        await trio.sleep(1)
        assert all(owner.of(guest) == PLACED for guest in range(1, 41))

    settings = json.loads(json.dumps(DEPLOYMENT)) | {"balancers": 1024, "slot-no": 1023}
    play(
        test,
        machines="a",
        known={"no": 1, "items": [event(1, host("a"), *hosts, whole=True)]},
        settings=settings,
    )


def test_an_overloaded_planner_reads_a_drain_within_its_grace() -> None:
    """Each decision takes 10 ms here. With 32 decisions between reads, a drain was read after its grace."""

    async def test(rig: Rig) -> None:
        clock, scheduler = trio.lowlevel.current_clock(), rig.planner.engine.scheduler
        place = scheduler._place_next

        def slow(now: int) -> object:
            clock.jump(0.01)
            return place(now)

        heard: list[float] = []
        listed = scheduler.machines_listed

        def noted(now: int, entries: list, whole: bool) -> None:
            if entries:
                heard.append(trio.current_time())
            listed(now, entries, whole)

        scheduler._place_next, scheduler.machines_listed = slow, noted
        owner = await rig.owner()
        for first in range(1, 400, 40):
            await owner.say(*(set_up(guest) for guest in range(first, first + 40)))
        await trio.sleep(0.2)
        told = trio.current_time()
        rig.bulletin.events += [event(2, host("a", "terminating"))]
        await trio.sleep(3)
        late = [line["at"] - told for line in rig.machines["a"].offers() if line["at"] > told + 0.25]
        assert not late and len(rig.machines["b"].offers()) > 20
        assert heard[0] - told < 0.25

    play(test)
