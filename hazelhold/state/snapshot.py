"""Converts a whole Scheduler to plain values and back; the restored copy makes the same decisions.

Captures contain these values. Times are on the engine's clock; `shift` moves them to another clock. Tables
that are rebuilt as time passes (shapes that found no machine, service orders) are left out. The key of each
attribute is part of the capture format and stays when the attribute is renamed: the tables below map keys to
attributes. An attribute that a class gains needs an entry here, which a test checks.
"""

from collections import Counter, deque
from random import Random
from typing import Any

from hazelhold.interface import Deployment, EarlierDispatch, ListedMachine, MachineMode, Scope, Submission
from hazelhold.scheduler import Guest, Machine, Scheduler

LONG_AGO = -(10**15)  # stands for a time that never was; not shifted
# Key in the capture -> attribute. Times are shifted, plain values are not.
MACHINE_TIMES = {
    "listed_at": "listed_at",
    "listed_since": "listed_since",
    "cold_at": "cold_at",
    "reported_at": "reported_at",
    "heard_at": "heard_at",
    "probed_at": "probed_at",
    "drawn_at": "drawn_at",
    "avoid_until": "backoff_until",
}
MACHINE_PLAIN = {
    "slow": "slowness_cache",
    "ready": "ready",
    "used": "used",
    "others": "used_by_others",
    "left": "free",
    "asked": "requested_by_others",
    "sums": "draw_totals",
    "means": "draw_means",
    "most": "draw_maxima",
    "strikes": "failures",
    "mute": "unresponsive",
    "refuses": "refuses",
}
GUEST_TIMES = {
    "goal_at": "start_target_at",
    "patience_at": "deadline",
    "answer_by": "answer_due",
    "sent_at": "sent_at",
    "window_ends": "window_ends",
    "look_at": "reconsider_at",
    "looked_at": "considered_at",
    "rests_until": "retry_at",
}
GUEST_PLAIN = {
    "placed": "placed",
    "runs": "runs",
    "warm": "warm",
    "may_run": "may_have_run",
    "over": "answered",
    "probed_for": "load_probed",
    "unwanted": "cancelled",
    "tried": "excluded_machines",
    "dispatches": "dispatches",
    "ahead": "starts_ahead",
    "cores_noted": "cores_noted",
    "use": "use",
    "rounds": "draws",
}
SCHEDULER_TIMES = {
    "began": "started_at",
    "no_cold_until": "no_cold_until",
    "typical_until": "typical_until",
    "answer_at": "answer_at",
    "looked_at": "considered_at",
    "ask_list_at": "poll_list_at",
    "sweep_at": "sweep_at",
    "probe_at": "probe_at",
    "list_heard_at": "list_heard_at",
}
SCHEDULER_PLAIN = {
    "seen": "usage_totals",
    "typical": "typical_slowness",
    "list_version": "list_version",
    "kept_well": "persistence_healthy",
    "list_current": "list_current",
}


def dump(scheduler: Scheduler) -> dict[str, Any]:
    """The scheduler's state as values that msgpack can encode."""
    version, state, gauss = scheduler.random.getstate()
    return {
        "random": [version, list(state), gauss],
        "services": [
            [name, [list(s) for s in service.samples], service.last_seen_at]
            for name, service in scheduler.services.items()
        ],
        "machines": [_machine(m) for m in scheduler.machines.values()],
        "guests": [_guest(g) for g in scheduler.guests.values()],
        "waiting": list(scheduler.held),
        "starts": [[*key, list(times)] for key, times in scheduler.starts.items()],
        "answers": [[key, list(times)] for key, times in scheduler.answers.items()],
        "to_probe": [m.listed.machine for m in scheduler.to_probe],
        "to_call_off": [list(pair) for pair in scheduler.to_withdraw],
        **{key: getattr(scheduler, name) for key, name in (SCHEDULER_TIMES | SCHEDULER_PLAIN).items()},
    }


def _machine(machine: Machine) -> dict[str, Any]:
    listed = machine.listed._replace(mode=machine.listed.mode.name)
    return {
        "listed": list(listed),
        "kept": list(machine.cached_services),
        "guests": list(machine.guests),
        "full": [list(f) for f in machine.refused_until],
        "answers": list(machine.answers),
        "offers": list(machine.offers),
        "size": list(machine.size),
        **{key: getattr(machine, name) for key, name in (MACHINE_TIMES | MACHINE_PLAIN).items()},
    }


def _guest(guest: Guest) -> dict[str, Any]:
    dedup_group = [guest.dedup_group[0].name, guest.dedup_group[1]] if guest.dedup_group else None
    return {
        "ask": list(guest.submission),
        "service": guest.submission.service,
        "bound": dedup_group,
        "machine": guest.machine.listed.machine if guest.machine else "",
        **{key: getattr(guest, name) for key, name in (GUEST_TIMES | GUEST_PLAIN).items()},
    }


def restore(data: dict[str, Any], deployment: Deployment, shift: int = 0) -> Scheduler:
    """Builds a scheduler from what `dump` returned, with all times moved by `shift` microseconds."""

    def moved(at: int) -> int:
        return at + shift if at and at != LONG_AGO else at

    scheduler = Scheduler(0, deployment)
    version, state, gauss = data["random"]
    scheduler.random = Random()
    scheduler.random.setstate((version, tuple(state), gauss))
    for key, name in SCHEDULER_TIMES.items():
        setattr(scheduler, name, moved(data.get(key, 0)))  # older snapshots have no `began`
    scheduler.usage_totals, scheduler.list_version = list(data["seen"]), data["list_version"]
    scheduler.list_current = data.get("list_current", True)
    scheduler.persistence_healthy, scheduler.typical_slowness = data["kept_well"], data["typical"]
    for name, samples, seen_at in data["services"]:
        scheduler.services.restore(name, moved(seen_at), [tuple(s) for s in samples])
    for plain in data["machines"]:
        _restore_machine(scheduler, plain, moved)
    for plain in data["guests"]:
        _restore_guest(scheduler, plain, moved)
    for plain in data["machines"]:  # with their guests in the order in which these arrived
        machine = scheduler.machines[plain["listed"][0]]
        machine.guests = {name: scheduler.guests[name] for name in plain["guests"]}
        guests = machine.guests.values()
        machine.full_service_load = min((g.guest_class.full_service_load for g in guests), default=1.0)
        machine.starting = sum(not g.runs for g in guests)
        machine.services = dict(Counter(g.submission.service for g in guests))
    scheduler.held = {name: scheduler.guests[name] for name in data["waiting"]}
    for guest_class, warm, times in data["starts"]:
        scheduler.starts[guest_class, warm].extend(times)
    for guest_class, times in data["answers"]:
        scheduler.answers[guest_class].extend(times)
    scheduler.to_probe = [scheduler.machines[name] for name in data["to_probe"]]
    scheduler.to_withdraw = deque((guest, machine) for guest, machine in data["to_call_off"])
    return scheduler


def _restore_machine(scheduler: Scheduler, plain: dict[str, Any], moved: Any) -> None:  # noqa: ANN401 - a function
    fields = list(plain["listed"])
    fields[1], fields[2] = MachineMode[fields[1]], moved(fields[2])
    listed = ListedMachine(*fields)
    kind = scheduler.deployment.machine_kinds[listed.machine_kind]
    machine = scheduler.machines[listed.machine] = Machine(listed, kind._make(plain["size"]), 0)
    for key, name in MACHINE_TIMES.items():
        setattr(machine, name, moved(plain.get(key, LONG_AGO)))  # older ones have no `listed_since`
    for key, name in MACHINE_PLAIN.items():
        value = plain.get(key, False)  # older snapshots have no `refuses`
        setattr(machine, name, tuple(value) if isinstance(value, list) and key != "sums" else value)
    if machine.draw_totals is not None:
        machine.draw_totals = tuple(list(axis) for axis in machine.draw_totals)
    machine.cached_services = dict.fromkeys(plain["kept"])
    machine.refused_until = [(moved(until), amount) for until, amount in plain["full"]]
    machine.answers.extend(plain["answers"])
    machine.offers = deque(moved(at) for at in plain["offers"])


def _restore_guest(scheduler: Scheduler, plain: dict[str, Any], moved: Any) -> None:  # noqa: ANN401 - a function
    fields = list(plain["ask"])
    if fields[7] is not None:
        fields[7] = EarlierDispatch(fields[7][0], moved(fields[7][1]))
    submission = Submission(*fields)
    service = scheduler.services.restore_guest(submission.service)
    guest = Guest(submission, scheduler.deployment.guest_classes[submission.product], service, 0)
    for key, name in GUEST_TIMES.items():
        setattr(guest, name, moved(plain[key]))
    for key, name in GUEST_PLAIN.items():
        setattr(guest, name, plain[key])
    guest.use = tuple(guest.use) if guest.use else None
    guest.draws = [tuple(pair) for pair in guest.draws] if guest.draws else None
    guest.dedup_group = (Scope[plain["bound"][0]], plain["bound"][1]) if plain["bound"] else None
    scheduler.guests[submission.guest] = guest
    if plain["machine"]:
        if not guest.placed:
            scheduler.outstanding[submission.guest] = guest
        guest.machine = machine = scheduler.machines[plain["machine"]]
        guest.spread_key = key = scheduler._spread_key(guest, machine)
        scheduler.spread[key] = scheduler.spread.get(key, 0) + 1
        scheduler.placed_by_priority[guest.guest_class.priority] += 1
