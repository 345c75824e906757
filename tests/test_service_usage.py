"""The table of services: owners name them freely, so its size must not follow the names that are seen."""

from hazelhold.interface import DispatchOutcome, OutcomeReason
from hazelhold.service_usage import MAX_IDLE_SERVICES, MAX_ORDERED_MACHINES
from tests.helpers import MS, decisions, entry, scheduler, submission


def test_services_of_submissions_that_are_taken_back_are_not_kept() -> None:
    """Guards against memory that grows with each service that a submission names: a client that took its
    submissions back had the planner killed for memory within a minute."""
    made = scheduler("ab")
    for n in range(500):
        made.guest_submitted(n, submission(f"g{n}")._replace(service=f"service-{n}"))
        decisions(made, n)
        made.guest_abandoned(n, f"g{n}")
        made.dispatch_ended(n, f"g{n}", DispatchOutcome.WITHDRAWN, True, OutcomeReason.NONE)
    assert not made.guests
    assert not made.services


def test_services_with_samples_are_kept_in_a_limited_number() -> None:
    """Guards against memory that grows with each service whose guest has run shortly."""
    made = scheduler("ab")
    for n in range(MAX_IDLE_SERVICES + 10):
        made.guest_submitted(n, submission(f"g{n}")._replace(service=f"service-{n}", cores=0.01, memory=0.01))
        decisions(made, n)
        made.dispatch_accepted(n, f"g{n}", MS)
        made.cores_used(n, f"g{n}", 0.01)
        made.memory_used(n, f"g{n}", 0.01)
        made.dispatch_ended(n, f"g{n}", DispatchOutcome.COMPLETED, True, OutcomeReason.NONE)
    assert len(made.services) == MAX_IDLE_SERVICES
    assert "service-0" not in made.services and f"service-{MAX_IDLE_SERVICES + 9}" in made.services


def test_orders_of_machines_are_cached_for_a_limited_number_of_services() -> None:
    """Guards against memory that grows with the product of services and machines."""
    made = scheduler("")
    machines = 1000
    made.machines_listed(0, [entry(f"m{n}") for n in range(machines)], True)
    for n in range(2 * MAX_ORDERED_MACHINES // machines):
        made.guest_submitted(n, submission(f"g{n}")._replace(service=f"service-{n}", cores=1000.0))
        made._service_order(made.guests[f"g{n}"])
    assert sum(len(each.order) for each in made.services.values()) <= MAX_ORDERED_MACHINES
    assert made.services[f"service-{n}"].order
