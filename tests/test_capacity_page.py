"""docs/CAPACITY.md and docs/capacity/slopes.json hold together: every figure of the page is the file's."""

import hashlib
import re
from fractions import Fraction

import msgspec
import pytest

from bench.capacity.breaks import PartOfTarget, find_breaks
from bench.capacity.figures import FigureError, Figures, same, show
from bench.capacity.page import PAGE_PATH, arithmetic_faults, faults, figures_of, regenerate
from bench.capacity.prose import PageError, declared, renew_references, split
from bench.capacity.schema import (
    RESULT_PATH,
    Demand,
    Fit,
    Machine,
    Point,
    Refusal,
    ResultFile,
    Row,
    Verdict,
    load,
)
from bench.capacity.tables import FAILURES, TableError, needed, render

DECLARED = {
    "target": "9d1b590835f3881180c7291091a7c264",
    "rule": "42009073c40616832532b85ad5aa5518",
}
"""The target as told and the rule as it was written before any figure, by blake2b of the text."""


def made_up() -> ResultFile:
    """A small result file: a role that holds, one that falls short, one not measured, a failure."""
    entry = Row(
        id="list.whole.bytes",
        role="list service",
        quantity="bytes of the whole list",
        unit="bytes",
        by="workers",
        how="real process",
        revision="a" * 40,
        seed=7,
        sizes=[1825, 3650, 7300],
        points=[Point(1825, 293_825), Point(3650, 587_650), Point(7300, 1_175_300)],
        fits=[Fit("n", 161.0, 0.0, 0.001), Fit("n squared", 0.02, 0.0, 0.7)],
        best="n",
        refused=[Refusal(14_600, "the frame's bound")],
    )
    probes = Row(
        id="planner.probes.bytes",
        role="planner",
        quantity="bytes a second of probes and reports",
        unit="bytes/s",
        by="workers",
        how="computed",
        revision="a" * 40,
        seed=7,
        sizes=[1825, 3650, 7300],
        points=[Point(1825, 107_675), Point(3650, 215_350), Point(7300, 430_700)],
        fits=[Fit("n", 59.0, 0.0, 0.0)],
        best="n",
    )
    lost = Row(
        id="failure.zone.bytes",
        role=FAILURES,
        quantity="a zone returns",
        unit="bytes",
        by="planners",
        how="computed",
        revision="a" * 40,
        seed=7,
        sizes=[24],
        points=[Point(24, 1_500_000)],
        note="304 x 211",
    )
    return ResultFile(
        rows=[entry, probes, lost],
        demands=[Demand("list.changes.day", "list service", 1464.0, "changes/day", "1400 + 64")],
        verdicts=[
            Verdict("list service", "bytes a second", 4000.0, 1_175_300 * 1464 / 86400 / 10, "bytes/s",
                    ["list.whole.bytes"], ["list.changes.day"],
                    "list.whole.bytes@7300 * demand.list.changes.day / 86400 / 10",
                    "holds", 1_175_300 * 1464 / 864_000 / 4000),
            Verdict("planner", "probes", 4000.0, 430_700.0, "bytes/s", ["planner.probes.bytes"], [],
                    "planner.probes.bytes@7300", "falls short", 107.675),
            Verdict("worker", "memory", 64e6, None, "bytes", [], [], "", "not measured", None),
            Verdict("door and quotas", "traffic", 4000.0, None, "bytes/s", [], [], "", "not measured", None,
                    "none: nothing to measure"),
        ],
        machine=Machine(8, 24_000_000_000, "made up", "Linux", "3.11", 1.5),
    )  # fmt: skip


PAGE = """# Capacity

<!-- capacity:declared target -->
7,300 workers.
<!-- capacity:end -->

The list is [1.18 MB](#list.whole.bytes "at 7300"), [161 bytes](#list.whole.bytes "slope") each; it changes
[1,464 changes/day](#list.changes.day), so [1.99 kB/s](#list-service/bytes-a-second "value") of
[4 kB/s](#list-service/bytes-a-second "budget") are spent. Probes cost [431 kB/s](#planner/probes "value"),
[108](#planner/probes "factor") times too much, and break at [1/64](#planner "breaks") of it.
"""


def whole_page(result: ResultFile) -> str:
    """PAGE with all the tables that the file asks for."""
    regions = [f"\n<!-- capacity:begin {name} -->\n<!-- capacity:end -->\n" for name in needed(result)]
    return regenerate(PAGE + "".join(regions), result)


def test_a_page_written_from_the_file_has_no_fault_and_is_written_the_same_again() -> None:
    result = made_up()
    page = whole_page(result)
    assert faults(page, result) == []
    assert regenerate(page, result) == page
    for how in ("real process", "computed"):
        assert how in page


@pytest.mark.parametrize(
    "right,wrong,fault",
    [
        ("[1.18 MB]", "[1.19 MB]", '"1.19 MB" stands where the file gives 1.18 MB'),
        ("[1.18 MB]", "[1.18 kB]", "stands where"),
        ("[1.18 MB]", "[1.18 ms]", "is not in bytes"),
        ("[1.18 MB]", "[1 MB]", "stands where"),
        ("[1.18 MB]", "[some]", "is no number"),
        ('"at 7300"', '"at 7301"', "was not measured at 7301"),
        ('"at 7300"', '"about 7300"', "no way to name"),
        ("#list.whole.bytes", "#list.hole.bytes", "no row is called list.hole.bytes"),
        ("#list.changes.day", "#list.changes.year", "no demand is called"),
        ('"factor"', '"value"', "is not in bytes/s"),
        ("#planner/probes", "#planner/prose", "no verdict is called"),
        ("[1/64]", "[1/32]", "stands where"),
        ("The list is", "The list, 7,300 entries, is", '"7,300" is a figure without a source'),
        ("The list is", "The list is some hundred bytes an entry,", '"hundred" is a figure without a source'),
        ("The list is", "The list is `1.2 MB`,", '"1.2" is a figure without a source'),
        ("The list is", "[9 s](state.md); the list is", '"9" is a figure without a source'),
        ("The list is", "`hazelhold/no/such.py`: the list is", "no module hazelhold/no/such.py"),
    ],
)
def test_a_figure_that_the_file_does_not_give_is_named(right: str, wrong: str, fault: str) -> None:
    result = made_up()
    page = whole_page(result)
    assert right in PAGE
    spoilt = page.replace(PAGE, PAGE.replace(right, wrong, 1))
    assert spoilt != page
    assert any(fault in found for found in faults(spoilt, result)), faults(spoilt, result)


def test_each_changed_digit_of_a_table_is_noticed() -> None:
    result = made_up()
    page = whole_page(result)
    for region in split(page):
        if region.kind != "begin":
            continue
        for line in region.lines:
            changed = re.sub(r"\d", lambda digit: str((int(digit[0]) + 1) % 10), line, count=1)
            if changed != line:
                assert faults(page.replace(line, changed, 1), result), line


def test_each_figure_of_the_file_that_changes_is_noticed_on_the_page() -> None:
    result = made_up()
    page = whole_page(result)
    changed = made_up()
    changed.rows[0].points[2] = Point(7300, 1_275_300)
    changed.rows[0].fits[0] = Fit("n", 175.0, 0.0, 0.001)
    assert (
        len(faults(page, changed)) >= 3
    )  # the row's table, the verdict's arithmetic aside, and two references
    changed = made_up()
    changed.verdicts[1] = msgspec.structs.replace(changed.verdicts[1], holds="holds", factor=0.5)
    assert any("role planner" in found for found in faults(page, changed))
    changed = made_up()
    changed.rows[0].how = "hollow"
    assert any('"rows"' in found for found in faults(page, changed))


def test_a_row_role_or_table_that_the_page_leaves_out_is_named() -> None:
    result = made_up()
    page = whole_page(result)
    for name in needed(result):
        start = page.index(f"<!-- capacity:begin {name} -->")
        end = page.index("<!-- capacity:end -->", start) + len("<!-- capacity:end -->")
        assert any("is missing" in found for found in faults(page[:start] + page[end:], result))
    extra = page + "<!-- capacity:begin weather -->\n<!-- capacity:end -->\n"
    assert any('no table is called "weather"' in found for found in faults(extra, result))
    with pytest.raises(TableError):
        render("role weather", result)


@pytest.mark.parametrize(
    "page",
    [
        "<!-- capacity:begin demands -->\n",
        "<!-- capacity:end -->\n",
        "<!-- capacity:begin a -->\n<!-- capacity:begin b -->\n<!-- capacity:end -->\n",
        "<!-- capacity:begin -->\n<!-- capacity:end -->\n",
        "<!--capacity:declared a-->\n",
        "<!-- capacity:anything a -->\n",
    ],
)
def test_marks_that_do_not_pair_are_refused(page: str) -> None:
    with pytest.raises(PageError, match="line"):
        split(page)
    assert faults(page, made_up())


def test_a_value_is_rounded_to_the_digits_of_the_text() -> None:
    assert same("1.18", 1.1753) and same("1.2", 1.1753) and not same("1.17", 1.1753)
    assert same("1,420", 1418.3) and same("1,418", 1418.3) and not same("1,419", 1418.3)
    assert same("7,000", 6998) and not same("7,000", 6_990)
    assert not same("1,000,000", 1_006_000)
    assert same("4", 4.0) and not same("4", 4.1)  # one digit alone has to be exact
    assert same("0.050", 0.0501) and not same("0.050", 0.0506)
    assert same("0", 0.0) and not same("0", 0.4)


def test_values_are_shown_with_three_digits_in_a_fitting_unit() -> None:
    assert show(1_175_300, "bytes") == "1.18 MB"
    assert show(430_700, "bytes/s") == "431 kB/s"
    assert show(0.000_02, "s") == "20 us"
    assert show(0.019, "share") == "1.90%"
    assert show(1464, "changes/day") == "1,460 changes/day"
    assert show(999.9, "bytes") == "1,000 B"
    assert show(0, "bytes") == "0 B"


def test_what_is_shown_is_what_a_reference_may_say() -> None:
    for value, unit in [
        (1_175_300, "bytes"),
        (430_700, "bytes/s"),
        (0.019, "share"),
        (7.25e-5, "s"),
        (0.00799, "s/s"),
    ]:
        row = Row("a.b", "r", "q", unit, "n", "computed", "", 0, [5], [Point(5, value)])
        Figures(ResultFile(rows=[row])).check(show(value, unit), "a.b", "at 5")


def test_a_verdict_that_was_not_measured_has_no_figure() -> None:
    with pytest.raises(FigureError, match="not measured"):
        figures_of(made_up()).value("worker/memory", "value")


def test_parts_scale_rows_and_demands_but_not_plain_numbers() -> None:
    result = made_up()
    assert PartOfTarget(result, Fraction(1)).evaluate("list.whole.bytes@7300 + 10") == 1_175_310
    assert PartOfTarget(result, Fraction(1, 2)).evaluate("list.whole.bytes@7300 * 2") == pytest.approx(
        1_175_300
    )
    assert PartOfTarget(result, Fraction(1, 4)).evaluate("max(demand.list.changes.day, 1)") == 366
    assert PartOfTarget(result, Fraction(1, 64)).evaluate("list.whole.bytes@1") == pytest.approx(161)
    quarter = PartOfTarget(result, Fraction(1, 4))
    assert quarter.evaluate("list.whole.bytes@3650") == 587_650  # no size of the target
    assert quarter.evaluate("2 * list.whole.bytes@7300 / 7300") == pytest.approx(322)  # the cost of one
    assert quarter.evaluate("list.whole.bytes@7300 / 73") == pytest.approx(1825 * 161 / 73)
    result.demands[0] = msgspec.structs.replace(result.demands[0], arithmetic="list.whole.bytes@7300 * 2")
    half = PartOfTarget(result, Fraction(1, 2))
    assert half.evaluate("demand.list.changes.day") == pytest.approx(1_175_300)
    result.demands[0] = msgspec.structs.replace(result.demands[0], id="list.changes.rack")
    assert PartOfTarget(result, Fraction(1, 4)).evaluate("demand.list.changes.rack") == 1464


def test_rows_of_a_rate_have_a_part_of_what_is_beyond_rest() -> None:
    result = made_up()
    for kind, value in (("rest", 100.0), ("burst", 900.0)):
        points = [Point(size, value) for size in (16, 32, 64)]
        fits = [Fit("constant", 0.0, value, 0.0)]
        name = f"configuration.process.{kind}.bytes"
        row = Row(
            name, "holder", "q", "bytes", "planners", "hollow", "", 1, [16, 32, 64], points, fits, "constant"
        )
        result.rows.append(row)
    result.demands.append(Demand("configuration.burst", "holder", 10.0, "changes a second", "10"))
    half = PartOfTarget(result, Fraction(1, 2))
    assert half.evaluate("configuration.process.burst.bytes@64 * 1") == 500
    # the rate is in the arithmetic: a change's cost stays, the rate is halved
    assert half.evaluate("configuration.process.burst.bytes@64 / 10 * demand.configuration.burst") == 450
    assert PartOfTarget(result, Fraction(1)).evaluate("configuration.process.burst.bytes@64 * 1") == 900


def test_roles_break_in_the_order_of_the_smallest_part() -> None:
    result = made_up()
    smallest = Fraction(1, 64)
    found = [(b.role, b.part) for b in find_breaks(result)]
    assert found == [("door and quotas", smallest), ("planner", smallest)]
    result.verdicts[0] = msgspec.structs.replace(result.verdicts[0], budget=1_000.0)
    # half of the workers with half of the changes is a quarter of 1.99 kB/s
    assert (find_breaks(result)[2].role, find_breaks(result)[2].part) == ("list service", Fraction(1))
    result.verdicts[0] = msgspec.structs.replace(result.verdicts[0], budget=400.0)
    assert find_breaks(result)[2].part == Fraction(1, 2)


def test_a_role_without_a_measurement_is_not_told_as_one_that_holds() -> None:
    table = render("breaks", made_up())
    assert "| worker | not measured |" in table
    assert "| list service | none | no measured budget is exceeded |" in table


def test_constants_and_other_numbers_of_planners_break_no_role() -> None:
    result = made_up()
    for resource in ("descriptors", "traffic: probes, as up to eight planners send them"):
        result.verdicts[1] = msgspec.structs.replace(result.verdicts[1], resource=resource)
        assert "planner" not in [found.role for found in find_breaks(result)]


def test_arithmetic_that_does_not_give_its_value_is_named() -> None:
    result = made_up()
    result.verdicts[1] = msgspec.structs.replace(result.verdicts[1], value=430_000.0)
    assert any("planner/probes: its arithmetic gives 430700" in found for found in arithmetic_faults(result))
    result = made_up()
    result.demands[0] = msgspec.structs.replace(result.demands[0], arithmetic="1400 + 65")
    assert any("demand list.changes.day" in found for found in arithmetic_faults(result))
    result.demands[0] = msgspec.structs.replace(result.demands[0], arithmetic="list.hole.bytes@1")
    assert any("list.hole.bytes" in found for found in arithmetic_faults(result))
    result.demands[0] = msgspec.structs.replace(
        result.demands[0], arithmetic="1464 + 0 * list.whole.bytes.slope"
    )
    assert arithmetic_faults(result) == []
    result.rows[0].best = "n squared"
    assert any("list.whole.bytes.slope is no cost" in found for found in arithmetic_faults(result))
    assert arithmetic_faults(made_up()) == []


def test_stale_and_open_references_are_written_anew_and_told() -> None:
    result = made_up()
    page = whole_page(result)
    assert renew_references(page, figures_of(result)) == (page, [])
    stale = page.replace("[1.18 MB]", "[?]", 1).replace("[1/64]", "[1/2]", 1).replace("[108]", "[107]", 1)
    renewed, changed = renew_references(stale, figures_of(result))
    assert renewed == page and len(changed) == 3
    unknown = page.replace("#list.whole.bytes", "#list.hole.bytes", 1)
    assert renew_references(unknown, figures_of(result)) == (unknown, [])


def test_two_figures_under_one_id_are_named() -> None:
    result = made_up()
    page = whole_page(result)
    result.demands.append(msgspec.structs.replace(result.demands[0], id="list.whole.bytes"))
    assert "list.whole.bytes is the id of two figures" in faults(page, result)


def test_the_page_and_the_result_file_hold_together() -> None:
    assert faults(PAGE_PATH.read_text(), load(RESULT_PATH)) == []


def test_target_and_rule_stand_as_they_were_written_before_any_figure() -> None:
    found = declared(PAGE_PATH.read_text())
    for name, digest in DECLARED.items():
        assert hashlib.blake2b(found[name].strip().encode(), digest_size=16).hexdigest() == digest, name
