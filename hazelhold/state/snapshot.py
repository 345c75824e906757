"""A whole Brain as plain values, and back: the copy decides as the one that never stopped.

Times in it are on the engine's clock; `shift` moves them to another. Tables that are drawn anew as the clock
moves on (shapes without room, orders of machines) are left out. Fields are named one by one: a field that the
module gains must be given its place here, and a test sees to that.
"""

from collections import Counter, deque
from random import Random
from typing import Any

from hazelhold.interface import Deployment, EarlierDispatch, ListedMachine, MachineMode, Scope, Submission
from hazelhold.scheduler import Guest, Machine, Scheduler, ServiceUsage

LONG_AGO = -(10**15)  # of moments that never were; not shifted
MACHINE_TIMES = (
    "listed_at",
    "listed_since",
    "cold_at",
    "reported_at",
    "heard_at",
    "probed_at",
    "drawn_at",
    "avoid_until",
)
MACHINE_PLAIN = (
    "slow",
    "ready",
    "used",
    "others",
    "left",
    "asked",
    "sums",
    "means",
    "most",
    "strikes",
    "mute",
    "refuses",
)
GUEST_TIMES = (
    "goal_at",
    "patience_at",
    "answer_by",
    "sent_at",
    "window_ends",
    "look_at",
    "looked_at",
    "rests_until",
)
GUEST_PLAIN = (
    "placed",
    "runs",
    "warm",
    "may_run",
    "over",
    "probed_for",
    "unwanted",
    "tried",
    "dispatches",
    "ahead",
    "cores_noted",
    "use",
    "rounds",
)
BRAIN_TIMES = (
    "began",
    "no_cold_until",
    "typical_until",
    "answer_at",
    "looked_at",
    "ask_list_at",
    "sweep_at",
    "probe_at",
    "list_heard_at",
)
BRAIN_PLAIN = ("seen", "typical", "list_version", "kept_well", "list_current")


def dump(scheduler: Scheduler) -> dict[str, Any]:
    """Plain values that msgpack can carry."""
    version, state, gauss = scheduler.random.getstate()
    return {
        "random": [version, list(state), gauss],
        "services": [
            [name, [list(s) for s in service.samples], service.seen]
            for name, service in scheduler.services.items()
        ],
        "machines": [_machine(m) for m in scheduler.machines.values()],
        "guests": [_guest(g) for g in scheduler.guests.values()],
        "waiting": list(scheduler.waiting),
        "starts": [[*key, list(times)] for key, times in scheduler.starts.items()],
        "answers": [[key, list(times)] for key, times in scheduler.answers.items()],
        "to_probe": [m.listed.machine for m in scheduler.to_probe],
        "to_call_off": [list(pair) for pair in scheduler.to_call_off],
        **{name: getattr(scheduler, name) for name in (*BRAIN_TIMES, *BRAIN_PLAIN)},
    }


def _machine(machine: Machine) -> dict[str, Any]:
    listed = machine.listed._replace(mode=machine.listed.mode.name)
    return {
        "listed": list(listed),
        "kept": list(machine.kept),
        "guests": list(machine.guests),
        "full": [list(f) for f in machine.full],
        "answers": list(machine.answers),
        "offers": list(machine.offers),
        "size": list(machine.size),
        **{name: getattr(machine, name) for name in (*MACHINE_TIMES, *MACHINE_PLAIN)},
    }


def _guest(guest: Guest) -> dict[str, Any]:
    bound = [guest.bound[0].name, guest.bound[1]] if guest.bound else None
    return {
        "ask": list(guest.ask),
        "service": guest.ask.service,
        "bound": bound,
        "machine": guest.machine.listed.machine if guest.machine else "",
        **{name: getattr(guest, name) for name in (*GUEST_TIMES, *GUEST_PLAIN)},
    }


def restore(data: dict[str, Any], deployment: Deployment, shift: int = 0) -> Scheduler:
    """A Brain from plain values."""

    def moved(at: int) -> int:
        return at + shift if at and at != LONG_AGO else at

    scheduler = Scheduler(0, deployment)
    version, state, gauss = data["random"]
    scheduler.random = Random()
    scheduler.random.setstate((version, tuple(state), gauss))
    for name in BRAIN_TIMES:
        setattr(scheduler, name, moved(data.get(name, 0)))  # older snapshots have no `began`
    scheduler.seen, scheduler.list_version = list(data["seen"]), data["list_version"]
    scheduler.list_current = data.get("list_current", True)
    scheduler.kept_well, scheduler.typical = data["kept_well"], data["typical"]
    for name, samples, seen in data["services"]:
        service = scheduler.services[name] = ServiceUsage()
        service.samples.extend(tuple(s) for s in samples)
        service.seen = moved(seen)
    for plain in data["machines"]:
        _restore_machine(scheduler, plain, moved)
    for plain in data["guests"]:
        _restore_guest(scheduler, plain, moved)
    for plain in data["machines"]:  # in the order in which their guests came
        machine = scheduler.machines[plain["listed"][0]]
        machine.guests = {name: scheduler.guests[name] for name in plain["guests"]}
        guests = machine.guests.values()
        machine.bears = min((g.product.full_service_load for g in guests), default=1.0)
        machine.starting = sum(not g.runs for g in guests)
        machine.services = dict(Counter(g.ask.service for g in guests))
    scheduler.waiting = {name: scheduler.guests[name] for name in data["waiting"]}
    for product, warm, times in data["starts"]:
        scheduler.starts[product, warm].extend(times)
    for product, times in data["answers"]:
        scheduler.answers[product].extend(times)
    scheduler.to_probe = [scheduler.machines[name] for name in data["to_probe"]]
    scheduler.to_call_off = deque((guest, machine) for guest, machine in data["to_call_off"])
    return scheduler


def _restore_machine(scheduler: Scheduler, plain: dict[str, Any], moved: Any) -> None:  # noqa: ANN401 - a function
    fields = list(plain["listed"])
    fields[1], fields[2] = MachineMode[fields[1]], moved(fields[2])
    listed = ListedMachine(*fields)
    kind = scheduler.deployment.kinds[listed.kind]
    machine = scheduler.machines[listed.machine] = Machine(listed, kind._make(plain["size"]), 0)
    for name in MACHINE_TIMES:
        setattr(machine, name, moved(plain.get(name, LONG_AGO)))  # older ones have no `listed_since`
    for name in MACHINE_PLAIN:
        value = plain.get(name, False)  # older snapshots have no `refuses`
        setattr(machine, name, tuple(value) if isinstance(value, list) and name != "sums" else value)
    if machine.sums is not None:
        machine.sums = tuple(list(axis) for axis in machine.sums)
    machine.kept = dict.fromkeys(plain["kept"])
    machine.full = [(moved(until), much) for until, much in plain["full"]]
    machine.answers.extend(plain["answers"])
    machine.offers = deque(moved(at) for at in plain["offers"])


def _restore_guest(scheduler: Scheduler, plain: dict[str, Any], moved: Any) -> None:  # noqa: ANN401 - a function
    fields = list(plain["ask"])
    if fields[7] is not None:
        fields[7] = EarlierDispatch(fields[7][0], moved(fields[7][1]))
    ask = Submission(*fields)
    service = scheduler.services.setdefault(ask.service, ServiceUsage())
    service.guests += 1
    guest = Guest(ask, scheduler.deployment.products[ask.product], service, 0)
    for name in GUEST_TIMES:
        setattr(guest, name, moved(plain[name]))
    for name in GUEST_PLAIN:
        setattr(guest, name, plain[name])
    guest.use = tuple(guest.use) if guest.use else None
    guest.rounds = [tuple(pair) for pair in guest.rounds] if guest.rounds else None
    guest.bound = (Scope[plain["bound"][0]], plain["bound"][1]) if plain["bound"] else None
    scheduler.guests[ask.guest] = guest
    if plain["machine"]:
        if not guest.placed:
            scheduler.out[ask.guest] = guest
        guest.machine = machine = scheduler.machines[plain["machine"]]
        guest.spread_key = key = scheduler._spread_key(guest, machine)
        scheduler.spread[key] = scheduler.spread.get(key, 0) + 1
        scheduler.seated[guest.product.priority] += 1
