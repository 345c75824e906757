"""Whether load reports may be those of a machine without guests, by drawn reports as the pages describe them.

A machine that has none must nearly always look empty: else its guests that are over are never released. One
on which guests run should not, since asking costs the owner of one of them a restart.
"""

from collections.abc import Iterable

import pytest

from hazelhold.engine.process_checks import PROBE_INTERVAL, REPORT_TIME
from hazelhold.interface import Load, MachineKind
from hazelhold.process_check_policy import looks_empty, report_noise
from tests.faults.load_reports import CAPACITY, LoadReporter, Resources

KINDS = (MachineKind(26.0, 41.0), MachineKind(47.0, 80.0))
COLLECTED_FOR, PROBED_EVERY, STEP = REPORT_TIME / 1e6, PROBE_INTERVAL / 1e6, 0.02  # seconds
SETTLED = 2.0  # seconds after which reports show the guests of a server that has them from its start
SERVERS = 1000


def reports(reporter: LoadReporter, guests: list[Resources], since: float) -> list[Load]:
    """The reports that probes of a server return from `since` on, without repetitions."""
    received: list[Load] = []
    probed_at = since
    for step in range(round((since + COLLECTED_FOR) / STEP)):
        now = step * STEP
        reporter.refresh(now, guests)
        if now < probed_at:
            continue
        probed_at += PROBED_EVERY
        report = Load(*reporter.free(now), None)
        if received[-1:] != [report]:
            received.append(report)
    return received


def of_guests(server: str, guests: int) -> list[Load]:
    reporter = LoadReporter(server, 0.0)
    return reports(reporter, [reporter.use_of_a_guest() for _ in range(guests)], SETTLED)


def share_that_looks_empty(guests: int) -> float:
    """The share of servers with so many guests that look empty, each of them beside two with four guests."""
    found = 0
    for number in range(SERVERS):
        series = [of_guests(f"{guests}/{number}/{other}", 4) for other in (1, 2)]
        checked = of_guests(f"{guests}/{number}/0", guests)
        found += looks_empty(checked, KINDS, report_noise([checked, *series]))
    return found / SERVERS


def test_a_machine_without_guests_looks_empty() -> None:
    assert share_that_looks_empty(0) > 0.99


@pytest.mark.parametrize("guests, at_most", [(5, 0.01), (8, 0.0)])
def test_a_machine_with_several_guests_does_not(guests: int, at_most: float) -> None:
    assert share_that_looks_empty(guests) <= at_most


def of_values(values: Iterable[tuple[float, float]]) -> list[Load]:
    return [Load(cores, memory, None) for cores, memory in values]


def test_a_machine_of_another_kind_may_have_the_address() -> None:
    noise = 0.05
    for kind in KINDS:
        assert looks_empty(of_values([(kind.cores, kind.memory)] * 4), KINDS, noise)
    assert not looks_empty(of_values([(47.0, 41.0)] * 4), KINDS, noise)  # a large one with guests


def test_one_resource_may_be_missing_and_without_reports_nothing_looks_empty() -> None:
    full = CAPACITY.memory
    assert looks_empty([Load(None, full, None)] * 4, KINDS, 0.05)
    assert not looks_empty([Load(None, full / 2, None)] * 4, KINDS, 0.05)
    assert looks_empty([Load(CAPACITY.cores, None, None)] * 4, KINDS, 0.05)
    assert not looks_empty([], KINDS, 0.05)
    assert not looks_empty([Load(None, None, 0.0)], KINDS, 0.05)


def test_the_noise_is_estimated_from_what_reports_differ_by() -> None:
    assert report_noise([]) == pytest.approx(0.075)
    noisy = [of_values([(20.0, 30.0 + change), (20.0, 30.0 - change)] * 50) for change in (3.0, 0.0)]
    assert report_noise(noisy[:1]) == pytest.approx(
        0.075, rel=0.1
    )  # a tenth of one resource, none of the other
    assert report_noise(noisy[1:]) < 0.02
    assert report_noise([of_values([(0.0, 0.0)] * 3)]) == pytest.approx(0.075)  # nothing is free
