"""Plays a day from its first guest to its audit."""

import socket
import time
from pathlib import Path
from typing import Any

import msgspec
import trio
from msgspec.structs import replace

from hazelhold.audit.claims import ClaimAudit
from hazelhold.audit.rules import Audit, AuditRules
from hazelhold.audit.score import score
from hazelhold.audit.views import ViewLimits, Views
from hazelhold.config.day import Day
from hazelhold.config.planner import (
    LimitsConfig,
    ListConfig,
    MembershipConfig,
    PlannerConfig,
    ReplicaPlannerConfig,
    ReplicationConfig,
    StateConfig,
    to_microseconds,
)
from hazelhold.protocol.record import Recorder
from hazelhold.rehearse.crashes import CrashingRunner, DiskFault
from hazelhold.rehearse.environment import Environment
from hazelhold.rehearse.fault_plan import FaultStep, plan
from hazelhold.rehearse.fault_proxy import FaultProxies
from hazelhold.rehearse.ports import free_ports
from hazelhold.rehearse.runners import InProcessRunner, PlannerRunner, ProcessRunner, Programs
from hazelhold.service.net import MemoryNet, Net, TcpNet
from hazelhold.standin.disk import Points


def planner_configs(day: Day, seed: int, list_address: str, doors: list[str]) -> list[PlannerConfig]:
    """Returns a configuration for each planner of the day; they share only the fleet's settings."""
    return [
        PlannerConfig(
            name=f"planner-{number}",
            listen=door,
            estate=day.estate,
            slot=number,
            planners=day.planners,
            seed=seed * 1000 + 100 * number,
            list=ListConfig(address=list_address, asked=day.list_asked, has_room=day.list_has_room),
            limits=LimitsConfig(connect_ms=500.0, probe_ms=500.0),
        )
        for number, door in enumerate(doors)
    ]


async def with_membership(
    configs: list[PlannerConfig], day: Day, wires: FaultProxies, ports: list[str]
) -> list[PlannerConfig]:
    """Returns the configurations with membership on; each planner reaches each other by its own proxy."""
    names = [s.name for s in configs]
    members = day.membership
    found = []
    for a, config in enumerate(configs):
        reach = {
            names[b]: await wires.datagrams(names[a], names[b], ports[b]) for b in range(len(names)) if b != a
        }
        found.append(
            replace(
                config,
                membership=MembershipConfig(
                    listen=ports[a],
                    seeds=[reach[n] for n in names[:3] if n in reach],
                    reach=reach,
                    deployment=day.name,
                    zone=f"zone-{a % day.zones}",
                    probe_ms=members.probe_ms,
                    answer_ms=members.answer_ms,
                    suspect_ms=members.suspect_ms,
                    suspect_most_ms=members.suspect_most_ms,
                ),
            )
        )
    return found


async def with_replication(
    configs: list[PlannerConfig], day: Day, wires: FaultProxies, ports: list[str], folder: Path
) -> list[PlannerConfig]:
    """Returns the configurations with claims among all planners, which reach each other by proxies."""
    names = [s.name for s in configs]
    planners = [
        ReplicaPlannerConfig(name, ports[at], f"zone-{at % day.zones}") for at, name in enumerate(names)
    ]
    found = []
    for a, config in enumerate(configs):
        reach = {
            names[b]: await wires.streams(names[a], names[b], ports[b]) for b in range(len(names)) if b != a
        }
        found.append(
            replace(
                config,
                copies=ReplicationConfig(
                    listen=ports[a],
                    folder=str(folder / "votes" / config.name),
                    planners=planners,
                    reach=reach,
                    replicas=day.copies.replicas,
                    deployment=day.name,
                    claim_ms=day.copies.claim_ms,
                ),
            )
        )
    return found


def audit_rules(day: Day) -> AuditRules:
    fleet = day.estate.fleet
    return AuditRules(
        products={
            p.name: {
                "effect": p.effect,
                "group": p.group,
                "window": to_microseconds(p.window_ms),
                "goal": to_microseconds(p.goal_ms),
                "patience": to_microseconds(p.patience_ms),
                "payoff": p.payoff,
                "start_bonus": p.start_bonus_s,
                "late_worth": p.late_worth,
                "spread": p.spread,
                "spread_most": p.spread_most,
            }
            for p in day.estate.products
        },
        max_dispatches=fleet.max_dispatches,
        drain_grace=to_microseconds(fleet.drain_grace_ms),
        confirms_running=fleet.confirms == "running",
        weights=day.weights,
    )


async def play(
    day: Day,
    seed: int,
    folder: Path,
    inside: bool,
    net: Net | None = None,
    capture: Path | None = None,
    points: Points | None = None,
    faults: tuple[DiskFault, ...] = (),
    keep: bool = False,
    programs: Programs | None = None,
) -> dict[str, Any]:
    """Plays the day and returns the report. `inside` keeps the planners in this process; a MemoryNet needs
    it; `programs` names other programs for some of them. With `points` their state is kept on stand-in disks,
    and they die at those points; with `keep` planners' processes keep it in `folder`/state.

    Records go to `folder`/records, one file for each end, and logs of planner processes beside them.
    """
    net = net or TcpNet()
    records = folder / "records"
    records.mkdir(parents=True, exist_ok=True)
    chief = Recorder(records / "rehearsal.jsonl", "rehearsal", "rehearsal")
    host = "127.0.0.1" if isinstance(net, TcpNet) else "memory"
    began = time.monotonic()
    environment = Environment(day, seed, net, records, host)
    async with trio.open_nursery() as nursery:
        list_address = await environment.open(nursery)
        doors = (
            [f"{host}:{port}" for port in free_ports(day.planners)]
            if isinstance(net, TcpNet)
            else [f"door-{number}" for number in range(day.planners)]
        )
        configs = planner_configs(day, seed, list_address, doors)
        wires = None
        if day.membership.on:
            wires = FaultProxies(net, nursery, seed, host)
            ports = (
                [f"{host}:{port}" for port in free_ports(day.planners, socket.SOCK_DGRAM)]
                if isinstance(net, TcpNet)
                else [f"members-{number}" for number in range(day.planners)]
            )
            configs = await with_membership(configs, day, wires, ports)
            if day.copies.on:
                ports = (
                    [f"{host}:{port}" for port in free_ports(day.planners)]
                    if isinstance(net, TcpNet)
                    else [f"copies-{number}" for number in range(day.planners)]
                )
                configs = await with_replication(configs, day, wires, ports, folder)
        if keep:
            configs = [replace(s, state=StateConfig(folder=str(folder / "state" / s.name))) for s in configs]
        if points is not None:
            runner: PlannerRunner = CrashingRunner(
                configs, net, records, nursery, capture, points, chief, faults
            )
        elif inside:
            runner = InProcessRunner(configs, net, records, nursery, capture)
        else:
            runner = ProcessRunner(configs, folder, nursery, capture, programs)
        if day.copies.on:
            for number in range(day.planners):
                runner.found(number)
        for number in range(day.planners):
            await runner.start(number)
            chief.note(net.now(), configs[number].name, "planner_up")
        kept = points is not None or any(s.state.folder for s in configs)
        chief.note(net.now(), "", "rules", replace(audit_rules(day), durable=kept))
        start = net.now()
        environment.bring_owners({s.name: s.listen for s in configs}, nursery)
        await _troubles(day, seed, environment, runner, chief, wires, start)
        await _until(net, start + round(day.length_s * 1e6))
        chief.note(net.now(), "", "day_over")
        longest = max(p.patience_ms for p in day.estate.products) / 1000
        await trio.sleep(longest + 1.0)  # every accepted guest is answered by then
        for number in range(day.planners):
            await runner.stop(number)
        environment.close()
        chief.close()
        nursery.cancel_scope.cancel()
    return report(
        records,
        day.name,
        seed,
        time.monotonic() - began,
        {s.model.name: dict(s.model.counts) for s in environment.senders},
        ViewLimits(**msgspec.structs.asdict(day.views)),
    )


class Cut(msgspec.Struct):
    """Recorded when directions between planners are blocked, degraded or opened again."""

    pairs: list[tuple[str, str]]


async def _troubles(
    day: Day,
    seed: int,
    environment: Environment,
    runner: PlannerRunner,
    chief: Recorder,
    wires: FaultProxies | None,
    start: int,
) -> None:
    services = [w.service for w in environment.wants]
    for step in plan(day, seed, environment.targets, services):
        await _until(environment.net, start + step.at)
        if step.what in ("planner_cut", "planner_heal", "planner_loss"):
            _between(step, wires, chief, environment.net.now())
        elif step.what.startswith("planner_"):
            await _planner(step, runner, chief, environment.net)
        else:
            environment.do(step)


async def _planner(step: FaultStep, runner: PlannerRunner, chief: Recorder, net: Net) -> None:
    """Injects a fault into a planner's process and records it: an end before it happens (a crash is recorded
    by its runner), a start once the planner is up."""
    name, what = f"planner-{step.value}", step.what.removeprefix("planner_")
    if what in ("copy", "no_disk", "old_disk"):
        chief.note(net.now(), name, step.what)
        await getattr(runner, what)(step.value)
        return
    if what not in ("start", "resume") and not (isinstance(runner, CrashingRunner) and what == "kill"):
        chief.note(net.now(), name, step.what)
    await getattr(runner, what)(step.value)
    if what in ("start", "resume"):
        chief.note(net.now(), name, step.what)


def _between(step: FaultStep, wires: FaultProxies, chief: Recorder, now: int) -> None:
    """Injects a fault into the network between planners."""
    whom, others, way, part, size = step.value
    ones, rest = [f"planner-{n}" for n in whom], [f"planner-{n}" for n in others]
    pairs = wires.between(ones, rest, way)
    if step.what == "planner_loss":
        wires.degrade(ones, rest, way, loss=part, double=part / 3, delay=(0.0, size * 1000))
    elif step.what == "planner_cut":
        wires.cut(ones, rest, way)
    else:
        wires.heal(ones, rest, way)
    chief.note(now, "", step.what, Cut(pairs))


async def _until(net: Net, at: int) -> None:
    await trio.sleep(max(0.0, (at - net.now()) / 1e6))


def sound(said: dict[str, Any]) -> bool:
    """Whether a report shows no broken rule, no unaccounted guest and no exceeded limit on views."""
    return not (said["rules_broken"] or said["unaccounted"] or said.get("views", {}).get("bounds_passed"))


def report(
    records: Path, name: str, seed: int, seconds: float, owners: dict, bounds: ViewLimits | None = None
) -> dict[str, Any]:
    """Audits and scores a folder of records; returns plain values."""
    audit = Audit.of_folder(records)
    breaches = audit.violations()
    claims = ClaimAudit(audit.crossings, audit.rules)
    breaches += claims.violations()
    views = Views(audit.crossings, bounds or ViewLimits())
    more = {} if views.off else {"views": views.evaluate()}
    if not claims.off:
        more["claims"] = claims.counts()
    return {
        "day": name,
        "seed": seed,
        "seconds": round(seconds, 1),
        "counts": audit.counts(),
        "service": score(audit.crossings, audit.rules),
        "owners": owners,
        "rules_broken": [msgspec.to_builtins(b) for b in breaches],
        "unaccounted": audit.unaccounted(),
        **more,
    }


def play_virtual(
    day: Day,
    seed: int,
    folder: Path,
    capture: Path | None = None,
    net: MemoryNet | None = None,
    interleaving: int | None = None,
) -> dict[str, Any]:
    """Plays the whole day in memory and virtual time, without sockets. The order of simultaneous events comes
    from the seed, or from `interleaving`."""
    from trio._core import _run  # the same knobs as trio's own plug-ins for tests use
    from trio.testing import MockClock

    _run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _run._r.seed(seed if interleaving is None else interleaving)
    return trio.run(
        play, day, seed, folder, True, net or MemoryNet(), capture, clock=MockClock(autojump_threshold=0)
    )
