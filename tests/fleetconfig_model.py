"""A world of control machines in virtual time: cores over real proposers and acceptors, with messages lost,
doubled and late, machines that crash, disks of revisions that are lost, and writers that ask again.

`World.check` holds what was answered against the chain that was committed, by a plain model of its own."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

from fleetconfig_machines import KEY, LIMITS, TIMES, Faults, Machine, Store, Writer
from fleetconfig_replay import Asking, Replay

from hazelhold.fleetconfig import control_actions as a
from hazelhold.fleetconfig.control import ControlCore
from hazelhold.fleetconfig.document import Document, Put, canonical
from hazelhold.fleetconfig.messages import ProposeAnswer
from hazelhold.fleetconfig.revision import Change, Position, SealedRevision
from hazelhold.replica.messages import Message
from hazelhold.replica.proposer import Proposer, Send


class World:
    def __init__(
        self,
        seed: int,
        faults: Faults = Faults(),  # noqa: B008
        machines: int = 3,
        writers: int = 3,
        changes: int = 8,
        core: type[ControlCore] = ControlCore,
        limits: a.ControlLimits = LIMITS,
        kept: int = 6,
    ) -> None:
        self.random, self.faults, self.make_core, self.limits = Random(seed), faults, core, limits
        self.now = self.number = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.committed: dict[int, SealedRevision] = {}  # ground truth: the first that was told
        self.askings: list[Asking] = []
        self.opened: dict[str, int] = {}  # askings that came to a core, by id
        self.closed: dict[str, int] = {}  # those that were answered
        self.cut: set[tuple[str, str]] = set()
        self.probes: dict[str, str] = {}
        self.snapshots = 0
        self.machines = {name: Machine(name, kept) for name in "abcde"[:machines]}
        for machine in self.machines.values():
            self.start(machine)
        for at in range(writers):
            self.later(self.random.randint(0, 100_000), Writer(self, f"w{at}", changes).next)
        for _ in range(faults.crashes):
            self.later(self.random.randint(0, faults.until), self.crash)
        for at in range(faults.disks):  # one at a time, so that fewer than a majority is lost
            span = faults.until // faults.disks
            self.later(at * span + self.random.randint(0, span // 2), self.lose_disk)
        for _ in range(faults.cuts):
            self.later(self.random.randint(0, faults.until), self.cut_one)

    # Time and messages.

    def later(self, after: int, do: Callable[[], None]) -> None:
        self.number += 1
        heappush(self.events, (self.now + after, self.number, do))

    def send_peer(self, sender: str, to: str, do: Callable[[], None]) -> None:
        """Between control machines, beside the register's messages."""
        if self.now >= self.faults.until or self.random.random() >= self.faults.peers_lost:
            self.send(sender, to, do)

    def send(self, sender: str, to: str, do: Callable[[], None]) -> None:
        """Comes once, late, twice or never."""
        faulty = self.now < self.faults.until
        if faulty and ((sender, to) in self.cut or self.random.random() < self.faults.lost):
            return
        copies = 2 if faulty and self.random.random() < self.faults.doubled else 1
        for _ in range(copies):
            self.later(self.random.randint(100, self.faults.late if faulty else 2000), do)

    def to_life(self, machine: Machine, do: Callable[[], None]) -> Callable[[], None]:
        """Only if the machine still lives the same life then, and is up."""
        life = machine.life

        def if_alive() -> None:
            if machine.core is not None and machine.life == life:
                do()
                self.carry(machine)

        return if_alive

    def to_machine(self, machine: Machine, do: Callable[[], None]) -> Callable[[], None]:
        def if_up() -> None:
            if machine.core is not None:
                do()
                self.carry(machine)

        return if_up

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, do = heappop(self.events)
            do()
        self.now = until

    # Machines.

    def start(self, machine: Machine) -> None:
        machine.life, machine.wakes_at = machine.life + 1, 0
        seed = self.random.getrandbits(32)
        machine.proposer = Proposer(f"{machine.name}/{machine.life}", 1, seed, TIMES)
        machine.asked = {}
        machine.core = self.make_core(
            machine.name, tuple(self.machines), machine.store.state(), seed, self.limits
        )
        machine.core.start(self.now)
        self.carry(machine)

    def stop(self, machine: Machine) -> None:
        machine.core = machine.proposer = None

    def crash(self) -> None:
        machine = self.random.choice(list(self.machines.values()))
        if machine.core is not None and sum(m.core is None for m in self.machines.values()) == 0:
            self.stop(machine)
            self.later(self.random.randint(1000, 250_000), lambda: self.start(machine))

    def lose_disk(self) -> None:
        """A machine crashes and comes back without its revisions, if no other lacks its own."""
        machine = self.random.choice(list(self.machines.values()))
        whole = all(m.store.number >= m.refilled_at and m.core is not None for m in self.machines.values())
        if whole:
            machine.refilled_at = machine.store.number
            machine.store = Store(machine.store.kept)
            self.stop(machine)
            self.later(self.random.randint(1000, 150_000), lambda: self.start(machine))

    def cut_one(self) -> None:
        one, other = self.random.sample(list(self.machines), 2)
        self.cut.add((one, other))
        self.later(self.random.randint(50_000, 500_000), lambda: self.cut.discard((one, other)))

    def carry(self, machine: Machine) -> None:
        """Carries out all that core and proposer want now."""
        core, proposer = machine.core, machine.proposer
        while True:
            assert not core.broken, f"a machine found another chain: {core.broken}"
            for action in core.take_actions():
                self.act(machine, action)
            if not proposer.actions:
                break
            wanted, proposer.actions = proposer.actions, []
            for each in wanted:
                if isinstance(each, Send):
                    self.to_acceptor(machine, each)
                else:
                    asking = machine.asked.pop(each.number)
                    core.register_answered(self.now, asking, each.outcome, each.value, each.reason)
        times = [at for at in (core.next_at(), proposer.next_at()) if at is not None]
        if times and not self.now < machine.wakes_at <= max(self.now, min(times)):
            machine.wakes_at = max(self.now, min(times))
            self.later(machine.wakes_at - self.now, self.to_life(machine, lambda: self.wake(machine)))

    def wake(self, machine: Machine) -> None:
        machine.wakes_at = 0
        machine.proposer.wake(self.now)
        due = machine.core.next_at()
        if due is not None and due <= self.now:
            machine.core.tick(self.now)

    def to_acceptor(self, machine: Machine, send: Send) -> None:
        acceptor = self.machines[send.to]

        def hear() -> None:
            answer, _ = acceptor.acceptor.receive(send.message)
            back = self.to_life(machine, lambda: self.from_acceptor(machine, send.to, answer))
            self.send(send.to, machine.name, back)

        self.send(machine.name, send.to, self.to_machine(acceptor, hear))

    def from_acceptor(self, machine: Machine, name: str, answer: Message) -> None:
        machine.proposer.receive(self.now, name, answer)

    def act(self, machine: Machine, action: a.Action) -> None:
        name = machine.name
        if isinstance(action, a.AskRegister):
            asked = machine.proposer.propose(
                self.now, KEY, action.change, tuple(self.machines), action.deadline
            )
            machine.asked[asked] = action.asking
        elif isinstance(action, a.Answer):
            self.answered(machine, action)
        elif isinstance(action, a.Store):
            self.see_committed(action.revisions)
            self.later(
                self.random.randint(100, 5000),
                self.to_life(machine, lambda: self.is_stored(machine, action.revisions)),
            )
        elif isinstance(action, a.StoreSnapshot):
            self.snapshots += 1
            position, items = machine.core.position, machine.core.document.puts()
            self.later(4999, self.to_life(machine, lambda: self.is_snapshot(machine, position, items)))
        elif isinstance(action, a.ClaimStored):
            self.tell_stored(machine)
        elif isinstance(action, a.Fetch):
            other = self.random.choice([m for m in self.machines.values() if m is not machine])
            fetch = self.to_machine(other, lambda: self.fetched(other, machine, action.after))
            self.send_peer(name, other.name, fetch)
        elif isinstance(action, a.Publish):
            bodies = tuple(sealed.body for sealed in action.revisions)
            for other in self.machines.values():
                if other is not machine:
                    self.send_peer(name, other.name, self.to_machine(other, self.heard(other, bodies)))

    def heard(self, machine: Machine, bodies: tuple[bytes, ...]) -> Callable[[], None]:
        return lambda: machine.core.revisions_heard(self.now, bodies)

    def heard_snapshot(self, machine: Machine, state: a.StoredState) -> Callable[[], None]:
        """With a document of its own each time that the message comes."""
        items = state.document.puts()
        return lambda: machine.core.snapshot_heard(self.now, state._replace(document=Document(items)))

    def fetched(self, source: Machine, asker: Machine, after: Position) -> None:
        """From the source's store, three revisions at a time, or a snapshot."""
        state = source.store.state()
        first = state.revisions[0].revision.number if state.revisions else 0
        if source.store.number <= after.number:
            return
        if state.revisions and first <= after.number + 1:
            page = [s.body for s in state.revisions if s.revision.number > after.number][:3]
            self.send_peer(source.name, asker.name, self.to_machine(asker, self.heard(asker, tuple(page))))
        else:
            self.send_peer(source.name, asker.name, self.to_machine(asker, self.heard_snapshot(asker, state)))

    def is_stored(self, machine: Machine, revisions: tuple[SealedRevision, ...]) -> None:
        """Disks write in order: a snapshot that came meanwhile holds these already."""
        new = tuple(s for s in revisions if s.revision.number > machine.store.number)
        if new and new[0].revision.number != machine.store.number + 1:
            self.later(5000, self.to_life(machine, lambda: self.is_stored(machine, revisions)))
            return
        machine.store.append(new)
        self.tell_stored(machine)

    def is_snapshot(self, machine: Machine, position: Position, items: list[Put]) -> None:
        if position.number > machine.store.number:
            machine.store.position, machine.store.items = position, items
            machine.store.revisions = []
            self.tell_stored(machine)

    def tell_stored(self, machine: Machine) -> None:
        name, number = machine.name, machine.store.number
        machine.core.stored(self.now, name, number)
        for other in self.machines.values():
            if other is not machine:
                tell = self.to_machine(other, lambda o=other: o.core.stored(self.now, name, number))
                self.send_peer(name, other.name, tell)

    # Writers.

    def draw_change(self, id_: str, base: int) -> Change:
        """Teams under one of 10 cores, with quotas that fit or not; and an item that is no known one."""
        random = self.random
        team = random.choice("xyz")
        quota = random.choice([1, 2, 3, 4, 11])
        parent = random.choice(["top", "top", "top", "none"])
        puts = [Put(f"teams/{team}", canonical({"quota_cores": quota, "parent": parent}))]
        removals: tuple[str, ...] = ()
        choice = random.random()
        if choice < 0.2:
            puts = [Put("teams/top", canonical({"quota_cores": random.choice([5, 10, 12])}))]
        elif choice < 0.5:
            puts = [Put(f"later/{random.choice('pqr')}", canonical({"n": id_}))]
        elif choice < 0.6:
            puts, removals = [], (f"teams/{random.choice(['x', 'y', 'top'])}",)
        return Change(id=id_, base=base, author="w", puts=tuple(puts), removals=removals)

    def propose(self, machine: Machine, writer: "Writer | None", change: Change) -> None:
        if machine.core is None:
            return
        self.opened[change.id] = self.opened.get(change.id, 0) + 1
        deadline = self.now + (self.random.randint(50_000, 600_000) if writer else 2_000_000)
        machine.core.propose(self.now, (writer, change), change, deadline)
        self.carry(machine)

    def answered(self, machine: Machine, action: a.Answer) -> None:
        writer, change = action.asker
        self.closed[change.id] = self.closed.get(change.id, 0) + 1
        self.askings.append(Asking(change, action.answer, max(self.committed, default=0)))
        if writer is not None:
            self.send(machine.name, writer.name, lambda: writer.answered(action.answer))
        else:
            self.probed(machine, action.answer)

    # What has to hold.

    def see_committed(self, revisions: tuple[SealedRevision, ...]) -> None:
        for sealed in revisions:
            before = self.committed.setdefault(sealed.revision.number, sealed)
            assert before.body == sealed.body, f"two revisions {sealed.revision.number}"

    def play(self) -> "World":
        """Faults, then none; then each machine commits another change, and everything is checked."""
        self.run(self.faults.until + 1)
        self.cut.clear()
        self.run(self.now + 1_500_000)
        for machine in self.machines.values():
            if machine.core is None:
                self.start(machine)
        for machine in self.machines.values():
            self.probe(machine, 3)
        self.run(self.now + 2_500_000)
        self.check()
        return self

    def probe(self, machine: Machine, tries: int) -> None:
        """Another change at this machine, to be committed in so many tries with the base of then: who takes a
        snapshot meanwhile, as others are faster, cannot tell what became of its own."""
        position, name = machine.core.position, f"probe/{machine.name}"
        change = Change(id=f"{name}/{tries}", base=position.number, puts=(Put(name, canonical(tries)),))
        self.propose(machine, None, change)

    def probed(self, machine: Machine, answer: ProposeAnswer) -> None:
        tries = int(answer.id.rpartition("/")[2])
        self.probes[machine.name] = answer.outcome
        if answer.outcome != "committed" and tries > 1:
            self.later(0, lambda: self.probe(machine, tries - 1))

    def check(self) -> None:
        Replay(self.committed).check(self.askings, self.opened, self.closed)
        here = max(machine.core.position.number for machine in self.machines.values())
        assert here == max(self.committed), "committed revisions are lost"
        assert self.probes == dict.fromkeys(self.machines, "committed"), "no commit after the faults"
        last = max(self.committed)
        for machine in self.machines.values():
            assert machine.core.position == self.committed[last].position, (
                "a machine lags or has another chain"
            )
            assert machine.store.number == last, "committed, and not stored"


def drawn_world(seed: int, core: type[ControlCore] = ControlCore) -> World:
    """A world with all that differs between deployments and days drawn from the seed."""
    random = Random(f"world/{seed}")
    choose = random.choice
    faults = Faults(
        until=choose([500_000, 1_500_000]),
        lost=choose([0.0, 0.05, 0.2, 0.35]),
        doubled=choose([0.0, 0.1, 0.5]),
        late=choose([3000, 20_000, 80_000]),
        crashes=choose([0, 2, 8]),
        disks=choose([0, 1, 2]),
        cuts=choose([0, 2, 5]),
    )
    limits = LIMITS._replace(
        history=choose([8, 4096]),
        history_entries=choose([24, 400_000]),
        tail_bytes=choose([2000, 5000, 384 << 10]),
    )
    return World(
        seed,
        faults,
        choose([3, 3, 5]),
        writers=choose([2, 6, 12]),
        changes=choose([3, 8]),
        core=core,
        limits=limits,
        kept=choose([2, 6]),
    )
