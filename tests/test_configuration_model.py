"""The capacity figures of the configuration spread: the same each time, in the order they must have."""

from bench.capacity.configuration_model import Load, compare

PLANNERS = 32


def test_the_model_is_the_same_each_time_and_beats_telling_all() -> None:
    load = Load("small", 2.0, 5)
    one = compare(PLANNERS, load, seed=3)
    again = compare(PLANNERS, load, seed=3)
    assert one._replace(processor=0.0) == again._replace(processor=0.0)
    assert 5 <= one.revisions <= 30
    assert 0 < one.in_force_s[0] <= one.in_force_s[1] <= one.told_s < 3
    assert one.spread.planner < one.telling.planner
    assert one.spread.control < one.direct.control
    assert one.direct.busiest_planner < one.spread.busiest_planner


def test_at_rest_there_are_heartbeats_and_coverage_alone() -> None:
    rest = compare(PLANNERS, Load("rest", 0.0, 5), seed=3)
    assert rest.revisions == 0
    assert rest.telling.messages == 0
    assert 0 < rest.direct.planner < 200
    assert 0 < rest.spread.planner < 300
