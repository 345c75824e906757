"""What a revision does to a running engine: in force whole, or refused with all reasons; judged by how tasks
are treated."""

import pytest

from hazelhold.config.planner import PlannerConfig
from hazelhold.fleetconfig.document import Document, Edit, Put, canonical
from hazelhold.fleetconfig.settings import RunningSettings, SettingsError, starting_config
from hazelhold.protocol import messages as m
from tests.helpers import MS, planner_config
from tests.helpers import ConfirmedHarness as Desk

PLAIN = {"name": "plain", "effect": "rerunnable", "goal_ms": 800, "patience_ms": 5000}
FLEET = {"cores_multiple": 2.5, "probing": False}


def items(**values: object) -> tuple[Put, ...]:
    """Items by name, with __ for the slash."""
    return tuple(Put(name.replace("__", "/"), canonical(value)) for name, value in values.items())


class Planner:
    """An engine driven by hand, and the document that it is given."""

    def __init__(self, file: PlannerConfig | None = None) -> None:
        self.desk, self.document = Desk("a"), Document()
        file = file or planner_config()
        self.settings = RunningSettings(file, file, self.desk.engine)
        self.settings.put_in_force(self.document, None)

    def put(self, removals: tuple[str, ...] = (), **values: object) -> None:
        edit = Edit(items(**values), removals)
        self.document.apply([edit])
        self.settings.put_in_force(self.document, {*(put.name for put in edit.puts), *removals})

    def submit(self, guest: str, product: str = "plain", customer: str = "") -> list[m.Message]:
        said = m.Submit(
            guest=guest,
            ask=0,
            product=product,
            service="s",
            cores=1.0,
            memory=2.0,
            patience=5000 * MS,
            customer=customer,
        )
        return self.desk.owner(0, said)

    def rejected(self, guest: str, **more: str) -> str:
        """The code with which a new task is refused, empty if it is taken."""
        return next((x.code for x in self.submit(guest, **more) if isinstance(x, m.Rejected)), "")


def test_customers_are_taken_and_refused_as_the_document_says() -> None:
    planner = Planner()
    assert planner.rejected("g1", customer="acme") == "unknown_customer"
    planner.put(customers__acme={})
    assert planner.rejected("g2", customer="acme") == ""
    planner.put(removals=("customers/acme",), customers__other={})
    assert planner.rejected("g3", customer="acme") == "unknown_customer"
    assert planner.rejected("g4", customer="other") == ""


def test_a_new_product_is_placed_at_once_and_the_others_keep_their_places() -> None:
    planner = Planner()
    assert planner.rejected("g1", product="added") == "unknown_product"
    before = dict(planner.desk.engine.products)
    planner.put(products__added={"effect": "exclusive", "goal_ms": 300, "patience_ms": 5000})
    offer, _ = planner.desk.offer(0, "g2", "added")
    assert offer.product == "added"
    engine = planner.desk.engine
    assert before.items() <= engine.products.items() and engine.products["added"] == len(before)
    planner.put(products__aaa={"effect": "rerunnable", "goal_ms": 300, "patience_ms": 5000})
    assert engine.products["added"] == len(before) and engine.products["aaa"] == len(before) + 1
    assert engine.deployment.guest_classes[engine.products["added"]].repeat.name == "AT_MOST_ONCE"
    assert engine.scheduler.deployment is engine.deployment


def test_times_of_a_product_hold_for_new_tasks_and_those_in_hand_keep_theirs() -> None:
    planner = Planner()
    planner.submit("old")
    planner.put(products__plain={**PLAIN, "goal_ms": 100, "priority": 2})
    planner.submit("new")
    guests = planner.desk.engine.scheduler.guests
    assert guests["old/0"].start_target_at == 800 * MS and guests["old/0"].guest_class.priority == 0
    assert guests["new/0"].start_target_at == 100 * MS and guests["new/0"].guest_class.priority == 2
    planner.put(removals=("products/plain",))  # the file's own again
    planner.submit("newer")
    assert guests["newer/0"].start_target_at == 800 * MS


@pytest.mark.parametrize(("most", "offers"), [(1, 1), (2, 2), (4, 4)])
def test_the_limit_of_dispatches_holds_for_tasks_in_hand(most: int, offers: int) -> None:
    planner = Planner()
    planner.put(fleet={**FLEET, "max_dispatches": most})
    desk, now = planner.desk, 0
    planner.submit("g")
    while now < 5000 * MS and not desk.sent(m.GuestRefused, "g"):
        for offer in desk.sent(m.Offer, "g")[-1:]:
            desk.says(now, "a", m.OfferRefused(guest="g", ask=0, attempt=offer.attempt, remark="not_here"))
        now += 20 * MS
        desk.run(now)
    assert len(desk.sent(m.Offer, "g")) == offers and desk.sent(m.GuestRefused, "g")


@pytest.mark.parametrize(
    ("name", "value", "reason"),
    [
        ("kinds__new", {"name": "new", "cores": 1, "memory": 1}, "kinds"),
        ("products__plain", {**PLAIN, "effect": "exclusive"}, "products/plain effect"),
        (
            "products__plain",
            {**PLAIN, "window_ms": 1, "spread": "zone"},
            "products/plain spread, products/pl",
        ),
        ("fleet", {**FLEET, "cold_offers": 1, "max_dispatches": 1}, "fleet cold_offers"),
        ("fleet", {**FLEET, "cores_multiple": 1}, "fleet cores_multiple"),
    ],
)
def test_what_needs_a_restart_is_refused_whole_and_named(name: str, value: object, reason: str) -> None:
    planner = Planner()
    facts = planner.desk.engine.deployment
    with pytest.raises(SettingsError, match=f"needs a restart: {reason}"):
        planner.put(customers__acme={}, **{name: value})
    assert planner.desk.engine.deployment is facts
    assert planner.rejected("g1", customer="acme") == "unknown_customer"
    with pytest.raises(SettingsError, match="needs a restart"):
        planner.put(teams__a={"quota_cores": 1})  # what was refused is still in the document
    planner.put(removals=(name.replace("__", "/"),))
    assert planner.rejected("g2", customer="acme") == ""


def test_a_removed_product_needs_a_restart_once_the_engine_has_it() -> None:
    planner = Planner()
    planner.put(products__added={"effect": "rerunnable", "goal_ms": 300, "patience_ms": 5000})
    with pytest.raises(SettingsError, match="needs a restart: products/added"):
        planner.put(removals=("products/added",))
    assert planner.rejected("g", product="added") == ""


def test_faults_that_an_older_program_let_through_are_all_named() -> None:
    planner = Planner()
    with pytest.raises(SettingsError) as wrong:
        planner.put(
            products__plain={**PLAIN, "goal_ms": -1},
            products__other={"effect": "rerunnable", "goal_ms": 9, "patience_ms": 5},
            fleet={"price": "much"},
        )
    assert "products/plain" in str(wrong.value) and "fleet" in str(wrong.value)
    planner.put(products__plain=PLAIN, fleet=FLEET, removals=("products/other",))
    planner.put(products__other={"effect": "rerunnable", "goal_ms": 4, "patience_ms": 5})
    assert planner.rejected("g", product="other") == ""


def test_an_error_that_nobody_thought_of_refuses_the_revision_and_ends_no_planner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    planner = Planner()

    def fails(estate: object) -> None:
        raise ZeroDivisionError("thought of by nobody")

    monkeypatch.setattr("hazelhold.fleetconfig.settings.check_estate", fails)
    with pytest.raises(SettingsError, match="cannot be used by this program: ZeroDivisionError"):
        planner.put(customers__acme={})
    assert starting_config(planner_config(), planner.document).config == planner_config()
    monkeypatch.undo()
    assert planner.rejected("g1", customer="acme") == "unknown_customer"
    planner.put(teams__a={"quota_cores": 1})
    assert planner.rejected("g2", customer="acme") == ""


def test_items_and_fields_of_a_newer_program_do_not_keep_a_revision_out_of_force() -> None:
    planner = Planner()
    planner.put(moods__today={"x": 1}, products__plain={**PLAIN, "goal_ms": 100, "colour": "red"})
    planner.submit("g")
    assert planner.desk.engine.scheduler.guests["g/0"].start_target_at == 100 * MS


def test_at_its_start_a_planner_takes_all_and_tells_what_it_cannot() -> None:
    document = Document(items(kinds__new={"cores": 1, "memory": 1}, products__plain={**PLAIN, "kind": "new"}))
    started = starting_config(planner_config(), document)
    assert started.refused == "" and [k.name for k in started.config.estate.kinds] == ["box", "new"]
    document.apply([Edit((), ("kinds/new",))])
    again = starting_config(planner_config(), document)
    assert again.config == planner_config() and "no kind of machine is called 'new'" in again.refused


def test_a_started_planners_engine_takes_the_document_that_it_started_from() -> None:
    document = Document(items(kinds__new={"cores": 1, "memory": 1}, customers__acme={}))
    file = planner_config()
    started = starting_config(file, document).config
    desk = Desk("a")
    settings = RunningSettings(file, started, desk.engine)
    settings.put_in_force(document, None)
    document.apply([Edit(items(kinds__new={"cores": 2, "memory": 1}))])
    with pytest.raises(SettingsError, match="needs a restart: kinds"):
        settings.put_in_force(document, {"kinds/new"})
