"""Log lines on the list: slow discovery answers, and the time since a closed machine's last offer."""

import trio
from structlog.testing import capture_logs

from tests.platform_rig import PLACED, Rig, event, host, play, set_up


def test_discovery_answers_that_become_late_and_are_in_time_again_are_logged_once_each() -> None:
    async def test(rig: Rig) -> None:
        await trio.sleep(0.2)
        bulletin, real = rig.bulletin, rig.bulletin.answer

        async def slow(stream: trio.abc.Stream, head: str) -> None:
            await trio.sleep(0.5)
            await real(stream, head)

        bulletin.answer = slow
        await trio.sleep(5)
        bulletin.answer = real
        await trio.sleep(5)

    with capture_logs() as lines:
        play(test)
    changes = [line for line in lines if line["event"] in ("discovery_slow", "discovery_in_time")]
    assert [line["event"] for line in changes] == ["discovery_slow", "discovery_in_time"]
    assert 450 <= changes[0]["late_ms"] <= 550 and changes[0]["no"] == 1


def test_a_closed_machine_is_logged_with_the_time_since_its_last_offer() -> None:
    async def test(rig: Rig) -> None:
        await trio.sleep(0.2)
        owner = await rig.owner()
        await owner.say(set_up(1))
        await trio.sleep(0.3)
        assert owner.of(1) == PLACED
        rig.bulletin.events.append(event(2, host("a", "terminating")))
        await trio.sleep(2)

    with capture_logs() as lines:
        play(test, machines="a")
    (closed,) = [line for line in lines if line["event"] == "machine_closed"]
    assert closed["reason"].startswith("draining, last offer ") and closed["reason"].endswith(" ms ago")
