"""The environment of a day's planners: machines, list service and owners, and the faults injected into
them."""

from pathlib import Path
from random import Random

import trio

from hazelhold.config.day import Day
from hazelhold.config.planner import to_microseconds
from hazelhold.model.listing import ListService
from hazelhold.model.machine import GuestClassBehaviour, Machine, MachineProfile
from hazelhold.model.owners import GuestTemplate, OwnerModel
from hazelhold.protocol.messages import Entry, RegisterMachines
from hazelhold.protocol.record import Recorder
from hazelhold.rehearse.fault_plan import FaultStep, Target
from hazelhold.service.connection import MessageConnection
from hazelhold.service.net import Net
from hazelhold.standin.list_service import ListHost
from hazelhold.standin.machines import MachineHost
from hazelhold.standin.senders import SenderHost

SECOND = 1_000_000


class Environment:
    """The stand-ins around a day's planners. The names and addresses of planners come from the caller that
    starts them."""

    def __init__(self, day: Day, seed: int, net: Net, records: Path | None, host: str) -> None:
        self.day, self.seed, self.net, self.records, self.host = day, seed, net, records, host
        self.random = Random(f"stage/{seed}")
        self.hosts: dict[str, MachineHost] = {}
        self.targets: list[Target] = []
        self.wants = self._wants()
        self.recorders: list[Recorder] = []
        self._make_machines()
        r = day.roster
        self.remote: MessageConnection | None = None  # an external list service, for standalone machines
        self.service = ListService(
            seed,
            net.now(),
            (round(r.notice_s[0] * 1e6), round(r.notice_s[1] * 1e6)),
            to_microseconds(r.period_ms),
            (to_microseconds(r.answer_ms[0]), to_microseconds(r.answer_ms[1])),
        )
        self.list_host = ListHost(net, self.service, self.recorder("list", "list"))
        self.senders: list[SenderHost] = []
        self.zones: dict[str, int] = {}  # of planners

    def recorder(self, by: str, role: str) -> Recorder:
        made = Recorder(self.records / f"{role}-{by}.jsonl" if self.records else None, by, role)
        self.recorders.append(made)
        return made

    def _wants(self) -> list[GuestTemplate]:
        """Draws the day's services: each has one guest class, size, customer and usual lifetime."""
        day, random, found = self.day, self.random, []
        products = {p.name: p for p in day.estate.products}
        total = sum(w.share for w in day.wares)
        for wares in day.wares:
            product = products[wares.product]
            count = max(1, round(day.demand.services * wares.share / total))
            for number in range(count):
                cores, memory = random.choice(wares.shapes)
                found.append(
                    GuestTemplate(
                        product=wares.product,
                        service=f"{wares.product}-{number}",
                        customer=random.choice(day.estate.customers) if day.estate.customers else "",
                        cores=cores,
                        memory=memory,
                        patience=to_microseconds(product.patience_ms),
                        life=round(random.uniform(*wares.life_s) * 1e6),
                        idempotent=product.effect == "rerunnable",
                        weight=wares.share / count * random.uniform(0.5, 1.5),
                    )
                )
        return found

    def _make_machines(self) -> None:
        day, random, fleet = self.day, self.random, self.day.estate.fleet
        products = {p.name: p for p in day.estate.products}
        kinds = {k.name: k for k in day.estate.kinds}
        behaviours = {
            w.product: GuestClassBehaviour(
                priority=products[w.product].priority,
                deduplicated=products[w.product].effect == "ticketed",
                full_service_load=products[w.product].easy_until,
                service_fade=products[w.product].lost_after,
                work=to_microseconds(w.work_ms),
                life=round(sum(w.life_s) / 2 * 1e6),
                cores_use=sum(w.cores_use) / 2,
                memory_use=sum(w.memory_use) / 2,
            )
            for w in day.wares
        }
        number = 0
        shared: dict[
            tuple[str, object], dict[str, str]
        ] = {}  # accepted idempotency keys, by guest class and group
        for stock in day.stock:
            kind = kinds[stock.kind]
            for _ in range(stock.count):
                profile = MachineProfile(
                    kind=kind.name,
                    cores=kind.cores,
                    memory=kind.memory,
                    behaviours=behaviours,
                    cores_multiple=fleet.cores_multiple,
                    memory_multiple=fleet.memory_multiple,
                    preempts=fleet.makes_room,
                    confirms_when_running=fleet.confirms == "running",
                    counts_requested=fleet.reports_count == "asked",
                    admission_time=to_microseconds(random.uniform(*stock.look_ms)),
                    queue_limit=round(random.uniform(*stock.line)),
                    concurrent_starts=round(random.uniform(*stock.starts)),
                    cold_start_factor=random.uniform(*stock.setup),
                    cached_services=round(random.uniform(*stock.kept)),
                    cold_from=fleet.cold_from,
                    warmup_time=to_microseconds(fleet.cold_for_ms),
                    overload_multiple=fleet.tip_multiple,
                    overload_window=to_microseconds(fleet.cold_window_ms),
                    cold_offers=fleet.cold_offers,
                    report_period=to_microseconds(random.uniform(*stock.report_ms)),
                    drains=day.drains,
                )
                name = f"m{number:03d}"
                off = (3600, -3600, 0)[min(number, 2)] * SECOND  # the clocks of two machines are an hour off
                machine = Machine(name, profile, self.seed * 1000 + number, self.net.now() + off)
                target = Target(name, kind.name, number % day.zones, number // day.cell_size)
                for product in machine.idempotency_keys:
                    reach = products[product].group
                    group = {"all": 0, "zone": target.zone, "cell": target.cell}.get(reach, name)
                    machine.idempotency_keys[product] = shared.setdefault((product, group), {})
                self.targets.append(target)
                self.hosts[name] = MachineHost(
                    self.net, machine, self.recorder(name, "machine"), target.zone, target.cell, off
                )
                number += 1

    async def open(self, nursery: trio.Nursery) -> str:
        """Starts the list service and the machines; returns the address of the list."""
        address = await self.list_host.run(f"{self.host}:0", nursery)
        await self.open_machines(nursery)
        self.service.advance(self.net.now())
        return address

    async def open_machines(self, nursery: trio.Nursery) -> None:
        for name in self.hosts:
            await self.hosts[name].run(f"{self.host}:0", nursery)
            self._list(name, "ready", at_once=True)
        self._rooms()
        nursery.start_soon(self._keep_rooms)

    def bring_owners(self, planners: dict[str, str], nursery: trio.Nursery) -> None:
        """Starts the owners, which then submit guests. `planners` has addresses by name."""
        demand, now = self.day.demand, self.net.now()
        self.zones = {name: at % self.day.zones for at, name in enumerate(planners)}
        until = now + round((demand.until_s or self.day.length_s) * 1e6)
        for number in range(demand.owners):
            model = OwnerModel(
                f"owner{number}",
                self.seed,
                list(planners),
                self.wants,
                demand.rate / demand.owners,
                (to_microseconds(demand.again_ms[0]), to_microseconds(demand.again_ms[1])),
                to_microseconds(self.day.estate.fleet.settle_ms),
                demand.cancel_share,
                now,
                until,
                self.day.copies.on,
            )
            sender = SenderHost(self.net, model, planners, self.recorder(model.name, "owner"))
            self.senders.append(sender)
            nursery.start_soon(sender.run)

    async def _keep_rooms(self) -> None:
        while True:
            await trio.sleep(0.5)
            self._rooms()

    def _rooms(self) -> None:
        if not self.day.list_has_room or self.service.down:
            return
        rooms = {}
        for name, host in self.hosts.items():
            machine = host.machine
            if machine.up and not machine.faults.silent:
                cores, memory = machine.requested()
                rooms[name] = (
                    round(machine.profile.cores - cores, 3),
                    round(machine.profile.memory - memory, 3),
                )
        if self.remote is None:
            self.service.rooms(rooms)
        else:
            self.remote.send(
                RegisterMachines(
                    rooms=True,
                    entries=[
                        Entry(
                            machine=name,
                            address="",
                            mode="ready",
                            kind="-",
                            cores_room=cores,
                            memory_room=memory,
                        )
                        for name, (cores, memory) in rooms.items()
                    ],
                )
            )

    def _list(self, name: str, mode: str, at_once: bool = False) -> None:
        host = self.hosts[name]
        machine = host.machine
        entry = Entry(
            machine=name,
            address=host.server.address,
            mode=mode,
            kind=machine.profile.kind,
            incarnation=machine.incarnation,
            zone=host.zone,
            cell=host.cell,
            up_for=max(0, host.now() - machine.up_at),
        )
        if self.remote is not None:
            self.remote.send(RegisterMachines(entries=[entry]))
            return
        self.service.set(self.net.now(), entry, machine.up_at - host.clock_off, at_once)
        self.list_host.ticker.notify()

    # Faults.

    def do(self, step: FaultStep) -> None:
        """Injects one fault step; the caller that runs the planners handles theirs."""
        getattr(self, "_do_" + step.what)(step.machine, step.value)

    def _do_burst(self, name: str, value: float | None) -> None:
        for sender in self.senders:
            sender.model.factor = value or 1.0
        for host in self.hosts.values():
            machine = host.machine
            machine.faults.use_factor = 1.0 if value is None else 1 + (value - 1) / 4
            machine.redraw_use(host.now())
        self._stir()

    def _do_list_down(self, name: str, value: float | None) -> None:
        self.list_host.set_down(value is not None)

    def _do_drain(self, name: str, value: object) -> None:
        self.hosts[name].machine.drain(self.hosts[name].now())
        self.hosts[name].ticker.notify()
        self._list(name, "cordoned")

    def _do_notice(self, name: str, value: object) -> None:
        """Lists a machine as draining at once: its operator announces that it will be removed."""
        self.hosts[name].machine.drain(self.hosts[name].now())
        self.hosts[name].ticker.notify()
        self._list(name, "cordoned", at_once=True)

    def _do_crash(self, name: str, value: object) -> None:
        self.hosts[name].crash()
        self._list(name, "gone")

    def _do_up(self, name: str, value: object) -> None:
        machine = self.hosts[name].machine
        if not machine.up and not machine.overloaded:
            self.hosts[name].come_up()
            self._list(name, "ready")

    def _do_silent(self, name: str, value: object) -> None:
        self.hosts[name].machine.faults.silent = True

    def _do_flush(self, name: str, value: float) -> None:
        self.hosts[name].machine.flush(value)

    def _do_errors(self, name: str, value: float | None) -> None:
        self.hosts[name].machine.faults.error_share = value or 0.0

    def _do_lost(self, name: str, value: float | None) -> None:
        self.hosts[name].machine.faults.lost_answers = value or 0.0

    def _do_slow(self, name: str, value: float | None) -> None:
        self.hosts[name].machine.faults.slow = value or 1.0

    def _do_report_late(self, name: str, value: float | None) -> None:
        self.hosts[name].machine.faults.report_delay = round((value or 0.0) * 1e6)

    def _do_heavy(self, name: str, value: tuple[str, float, float] | None) -> None:
        for host in self.hosts.values():
            machine = host.machine
            machine.faults.heavy = {value[0]: value[1:]} if value else {}
            machine.redraw_use(host.now())
        self._stir()

    def _do_hot(self, name: str, value: list[str] | None) -> None:
        for host in self.hosts.values():
            machine = host.machine
            machine.faults.hot = set(value or ())
            machine.redraw_use(host.now())
        self._stir()

    def _do_cut(self, name: str, value: int) -> None:
        """Partitions this zone: its machines from the planners of other zones, and its planners from other
        machines."""
        zone = value % self.day.zones
        for host in self.hosts.values():
            host.partitioned_from = {p for p, z in self.zones.items() if (z == zone) != (host.zone == zone)}

    def _do_heal(self, name: str, value: int) -> None:
        for host in self.hosts.values():
            for planner in host.partitioned_from:
                if wire := host.server.connections.pop(planner, None):
                    wire.cut()
            host.partitioned_from = set()

    def _do_rejoin(self, name: str, value: tuple[float, int]) -> None:
        for sender in self.senders:
            sender.model.rejoin(self.net.now(), *value)
            sender.ticker.notify()

    def _stir(self) -> None:
        for each in [*self.hosts.values(), *self.senders]:
            each.ticker.notify()

    def close(self) -> None:
        for host in self.hosts.values():
            host.tally()
        for recorder in self.recorders:
            recorder.close()
