"""Many more drawn worlds than CI plays, from any seed on, for as long as asked for.

`python -m tests.fleetconfig_long control|spread FIRST_SEED SECONDS`: prints how many held and the first
that failed, with its seed; exits with 1 then. `control`: writers, cuts, lost disks and restarts around
control machines. `spread`: faults of sources, planners and connections below them.
"""

import sys
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parent))

STEPS = 18  # of one scenario of the spread, at most


def play_control(seed: int) -> None:
    """One world of control machines."""
    from fleetconfig_model import drawn_world  # noqa: PLC0415

    drawn_world(seed).play()


def play_spread(seed: int) -> None:
    """One scenario of the spread, with steps as `test_any_faults` draws them."""
    from hypothesis import HealthCheck, Phase, given, settings  # noqa: PLC0415
    from hypothesis import seed as seeded  # noqa: PLC0415
    from hypothesis import strategies as st  # noqa: PLC0415
    from test_fleetconfig_spread import Scenario, step  # noqa: PLC0415

    @seeded(seed)
    @settings(
        max_examples=3,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(steps=st.lists(step, min_size=8, max_size=STEPS))
    def play(steps: list[tuple]) -> None:
        scenario = Scenario(Random(seed).randrange(10**6))
        for name, *arguments in steps:
            scenario.do(name, *arguments)
            scenario.run(0.2)
        scenario.finish()

    play()


PLAYS: dict[str, Callable[[int], None]] = {"control": play_control, "spread": play_spread}


def main(what: str, first: str, seconds: str) -> int:
    """The exit code."""
    seed, until = int(first), time.monotonic() + float(seconds)
    while time.monotonic() < until:
        try:
            PLAYS[what](seed)
        except Exception:  # noqa: BLE001 - whatever a world finds is told with its seed
            traceback.print_exc()
            print(f"{what}: seed {seed} failed, after {seed - int(first)} that held")
            return 1
        seed += 1
    print(f"{what}: {seed - int(first)} from seed {first} held")
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
