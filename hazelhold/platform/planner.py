"""The planner on the operators' platform: owners' door, machine links, bulletin follower, one engine.

A thin shell: bytes become messages, messages go to the engine, its actions are carried out. Bounds here are
the protocol's own: bytes, descriptors, the time to a first message. What to do with a guest is the module's.
"""

import time
from collections import Counter, OrderedDict, deque
from pathlib import Path

import structlog
import trio

from hazelhold.config.load import ConfigError
from hazelhold.engine.cases import Action, AskList, Dial, HangUp, Lost, Send
from hazelhold.engine.engine import Engine
from hazelhold.platform import words
from hazelhold.platform.codec import END, HEARD, SET_UP, TEST, BinaryMessage, CodecError, Line
from hazelhold.platform.configuration import Start, read_start
from hazelhold.platform.discovery import DiscoveryError, Follower
from hazelhold.platform.eviction import eviction_order, is_stuck
from hazelhold.platform.peer import MachinePeer, OwnerPeer
from hazelhold.platform.releases import PATIENCE, Claim, HeldRelease, claim_needed, claim_of
from hazelhold.protocol import messages as m
from hazelhold.service.net import Net
from hazelhold.service.ticker import Ticker

FIRST = 2.0  # seconds to a first message that can be used, and to the rest of one that has begun
HOLD = 8.0  # seconds that a release waits for a connection of owners
EARLY, EARLY_MOST = 2.0, 4096  # seconds for which an end waits for its set-up, and how many do
AGAIN = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6)  # seconds between looks at a file that was of no use at its signal
LOOKS = 16  # idle connections that are asked for unread bytes before a new one is refused
TURN = 0.02  # seconds of decisions before peers are read again: gone owners must be heard within 0.1 s
COMING = 0.7  # seconds after SIGTERM in which set-ups may still come
LONGEST = 3.0  # a longest patience past this counts as this for the moment of SIGKILL
# Seconds before it (of the longest patience, where that is under a second): what is held is answered, what is
# out, the connections end, the process ends.
HELD, OUT, GONE, LAST = 0.8, 0.6, 0.4, 0.1


class PlatformPlanner:
    """One planner from its start to the end that was asked for."""

    def __init__(self, start: Start, net: Net, config: Path | None = None) -> None:
        self.start, self.net, self.config = start, net, config
        self.log = structlog.get_logger().bind(planner=start.name)
        self.engine = Engine(start.terms, start.seed, net.now())
        self.limits = start.terms.limits
        self.bounds = words.Bounds(
            start.most,
            dict(zip(start.terms.products, start.patience, strict=True)),
            frozenset(start.terms.customers),
        )
        self.ticker = Ticker(net.now, self.engine.next_at, self._work, self.limits.batch_ms / 1000)
        self.owners: dict[str, OwnerPeer] = {}  # emptied as connections end
        self.numbers = 0  # of owners' connections
        self.machines: dict[str, tuple[trio.CancelScope, MachinePeer | None]] = {}  # emptied as links end
        self.held: deque[HeldRelease] = deque()  # ends without a connection; emptied by age
        self.early: OrderedDict[str, float] = OrderedDict()  # ends without a guest; emptied by age
        self.reloads = 0  # signals to read the file again
        # Where an offer of the guest may still be out; emptied as its taking back or its connection leaves.
        self.fences: dict[str, MachinePeer] = {}
        self.counts: Counter[str] = Counter()
        self.zones = dict(start.zones)  # numbers by name; grows with zones that the list names
        self.follower = Follower(
            net, start.bulletin, start.known, self._event, self._hear_discovery, self._discovery_failed
        )
        self.stop_asked, self.ended = trio.Event(), trio.Event()
        self.address = ""

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for item in self.start.known.items:
                try:
                    self._hear_discovery([self._event(item)])
                except DiscoveryError as wrong:
                    self.log.warning("event_unreadable", no=item.get("no"), reason=str(wrong))
                    if wrong.part is not None:
                        self._hear_discovery([wrong.part])
            # Half of what owners and machines leave over, less some eight that the process has anyway.
            spare = self.start.bounds.sockets - self.limits.connections - self.limits.links
            self.address = await self.net.listen(
                self.start.listen, self._door, nursery, max(4, (spare - 8) // 2)
            )
            nursery.start_soon(self.ticker.run)
            if not self.engine.facts.list_is_asked:
                self.follower.wish()  # the list comes by itself: the module does not ask for it
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._tend)
            self.log.info(
                "up",
                address=self.address,
                machines=len(self.engine.roster.fellows),
                sockets=self.start.bounds.sockets,
                memory_mb=self.start.bounds.memory_mb,
                cores=self.start.bounds.cores,
            )
            task_status.started(self.address)
            await self.stop_asked.wait()
            await self._stop()
            nursery.cancel_scope.cancel()
        self.ended.set()

    def stop(self) -> None:
        """Asks for an end: everything that comes meanwhile is still served."""
        self.stop_asked.set()

    def reload(self) -> None:
        """Reads the configuration file again; a bad one leaves all as it is. It may be half written: it is
        looked at again for some seconds, or until the next signal."""
        if self.config is None:
            return
        self.reloads += 1
        if wrong := self._read_again():
            self.counts["reloads_refused"] += 1
            self.log.warning("configuration_refused", reason=wrong)
            self.nursery.start_soon(self._look_again, self.reloads)

    async def _look_again(self, signal: int) -> None:
        for pause in AGAIN:
            await trio.sleep(pause)
            if self.reloads != signal or not self._read_again():
                return

    def _read_again(self) -> str:
        """Takes the file if it can be used; returns what is wrong with it, or nothing."""
        try:
            fresh = read_start(self.config)
        except ConfigError as wrong:
            return str(wrong)
        self.counts["reloads"] += 1
        told = fresh.terms.facts  # how many share the fleet's budgets; all else holds for a planner's life
        self.engine.share(told.planners, told.slot)
        self.log.info(
            "configuration_read",
            bulletin=fresh.bulletin,
            settings_same=fresh.terms.facts == self.start.terms.facts,
        )
        try:
            items = self.follower.fresh(fresh.known.items)
        except DiscoveryError:
            items = []  # what is missing comes from the bulletin itself
        if items:  # the file alone does not show that the list is still heard
            self._hear_discovery(items)
        self.follower.move(fresh.bulletin)
        return ""

    async def _stop(self) -> None:
        """Serves on while set-ups come and answers all that was taken. Then it stays until just before
        SIGKILL may come: ends of what stands are told as long as somebody is there to tell them."""
        longest = min(LONGEST, max(self.start.patience) / 1e6)
        kill, part = trio.current_time() + COMING + longest, min(1.0, longest)
        self.log.info("stopping", unanswered=self.engine.unanswered(), until=round(kill, 2))
        self.leaving = True
        await trio.sleep_until(kill - HELD * part)
        self.engine.stop(self.net.now())
        self._carry_out()
        self.ticker.stir()
        await trio.sleep_until(kill - OUT * part)
        self.engine.stop_now(self.net.now())
        self._carry_out()
        await trio.sleep_until(kill - GONE * part)
        self.left = True
        for name in list(self.machines):  # first, so that no end is heard that could not be told any more
            self._hang_up(name)
        self._release_to_any(at_once=True)
        for peer in self.owners.values():
            peer.end()
        with trio.move_on_at(kill - LAST * part):  # an answer of which a part has left is still owed the rest
            while any(peer.unsent() for peer in self.owners.values()):
                await trio.sleep(0.01)
        await trio.sleep(0.02)
        self.log.info("stopped", unanswered=self.engine.unanswered(), **self.counts, **self.engine.counts)

    leaving = left = False  # left: machines are not dialled any more

    def _work(self, now: int) -> None:
        """One pump, of as many decisions as fit into a turn by what the last ones took."""
        self.engine.pump(now)
        self._carry_out()
        took, most = self.net.now() - now, self.limits.decisions_at_once
        self.engine.at_once = (
            max(1, self.engine.at_once // 2) if took > TURN * 1e6 else min(most, self.engine.at_once + 1)
        )

    def _carry_out(self) -> None:
        while self.engine.actions:
            actions, self.engine.actions = self.engine.actions, []
            for action in actions:
                self._do(action)

    def _do(self, action: Action) -> None:
        if isinstance(action, Send):
            if action.role == "owner":
                self._tell_owner(action.peer, action.message)
            else:
                self._tell_machine(action.peer, action.message)
        elif isinstance(action, Dial) and not self.left:
            self._hang_up(action.machine)
            scope = trio.CancelScope()
            self.machines[action.machine] = scope, None
            self.nursery.start_soon(self._link, action, scope)
        elif isinstance(action, HangUp | Lost):
            self._hang_up(action.machine if isinstance(action, HangUp) else action.peer)
        elif isinstance(action, AskList):
            self.follower.wish()

    def _tell_machine(self, machine: str, message: m.Message) -> None:
        peer = self.machines.get(machine, (None, None))[1]
        taking_back = peer is not None and isinstance(message, m.Withdraw)
        if taking_back and (offer := peer.taken_out(message)):
            self.engine.offer_held_back(self.net.now(), offer)
            return
        sent = peer is not None and peer.send(message)
        if taking_back and (sent or message.guest in peer.open):  # not sent: its end takes back what is open
            self.fences[message.guest] = peer
        if not sent:
            self.counts["unsent"] += 1
        elif self.log_frames:
            self.log.debug("to_machine", machine=machine, message=repr(message))

    log_frames = False

    def _hang_up(self, machine: str) -> None:
        scope, peer = self.machines.pop(machine, (None, None))
        if peer is not None:
            self.fences.update(dict.fromkeys(peer.open, peer))  # open there until it is closed
            peer.cut()
        if scope is not None:
            scope.cancel()

    def _over(self, peer: MachinePeer, guests: list[str]) -> None:
        """What was open on a connection is surely over: what waited for that leaves."""
        for guest in guests:
            if self.fences.get(guest) is peer:
                del self.fences[guest]
                case = self.engine.newest.get(guest)
                if case and (other := self.machines.get(case.machine, (None, None))[1]):
                    other.resume(guest)

    # Owners.

    def _tell_owner(self, name: str, message: m.Message) -> None:
        binary = words.to_owner(message)
        if binary is None:
            return
        if self.log_frames:
            self.log.debug("to_owner", owner=name, message=repr(message))
        peer = self.owners.get(name)
        if isinstance(message, m.GuestEnded):
            if message.how != "stopped":
                self._release(peer, binary)
            return
        if peer is None:
            self.counts["answers_without_owner"] += 1
            return
        if isinstance(message, m.Rejected) and message.code == "open_already":
            self._second_under_id(peer, binary)
            return
        peer.open.pop(binary.id, None)
        peer.proven = peer.proven or isinstance(message, m.Placed)
        if not peer.send(binary):
            self.counts["answers_unsent"] += 1
        self._set_deadline(peer)
        self._release_held(peer)

    def _release(self, peer: OwnerPeer | None, binary: BinaryMessage) -> None:
        """Tells the end of what stood: on its own connection, else on another that has shown itself an
        owner's. Without one it waits for the next; past PATIENCE any that sent something of use is told."""
        if peer is not None and peer.release(binary):
            return
        for other in self._by_claim():
            if claim_of(other) >= Claim.SERVED and other.release(binary):
                self.counts["releases_elsewhere"] += 1
                return
        self.counts["releases_held"] += 1
        self.held.append(HeldRelease(trio.current_time(), binary))
        self.nursery.start_soon(self._release_late)

    def _by_claim(self) -> list[OwnerPeer]:
        """Connections of owners, those with the best claim on ends first; of one claim the last used."""
        return sorted(self.owners.values(), key=lambda peer: (claim_of(peer), peer.used_at), reverse=True)

    async def _release_late(self) -> None:
        """Tells what has waited long enough; where nobody is there, the next that says something is told."""
        await trio.sleep(PATIENCE)
        self._release_to_any()

    def _release_to_any(self, at_once: bool = False) -> None:
        for peer in self._by_claim():
            if not self.held:
                return
            self._release_held(peer, at_once)

    def _release_held(self, peer: OwnerPeer, at_once: bool = False) -> None:
        """Tells `peer` of the ends that are held what its claim allows; `at_once`: as if all were late."""
        now, claim = trio.current_time(), claim_of(peer)
        while self.held:
            needed = Claim.TESTED if at_once else claim_needed(self.held[0], now)
            if claim < needed or not peer.release(self.held[0].message):
                return
            self.counts["releases_to_unproven"] += claim < Claim.SERVED
            self.held.popleft()

    async def _door(self, stream: trio.abc.Stream) -> None:
        """One owner's connection, from its start to its end. Whatever is wrong with it ends it alone."""
        if len(self.owners) >= self.limits.connections and not self._make_room():
            self.counts["connections_refused"] += 1
            await trio.aclose_forcefully(stream)
            return
        self.numbers += 1
        self.counts["connections"] += 1
        peer = OwnerPeer(f"c{self.numbers}", stream, self.limits.send_bytes, trio.current_time())
        self.owners[peer.name] = peer
        self._set_deadline(peer)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(peer.write)
                try:
                    with peer.scope:
                        await self._hear_owner(peer)
                    if peer.scope.cancelled_caught and not peer.closing:
                        self.counts["connections_timed_out"] += 1
                finally:
                    peer.end()
                    self._owner_gone(peer)  # at once: what is still to be written may take a second
        finally:
            self.owners.pop(peer.name, None)
            while peer.releases:  # they did not leave: told elsewhere
                self.counts["releases_again"] += 1
                self._release(None, peer.releases.popleft()[1])

    async def _hear_owner(self, peer: OwnerPeer) -> None:
        try:
            async for batch in peer.batches():
                if batch:
                    peer.half_at = None  # what is held now is part of another message
                for binary in batch:
                    if peer.scope.cancel_called:
                        break
                    if not peer.closing or binary.type == END:  # to one that cannot be told, nothing is begun
                        self._owner_said(peer, binary)
                self._set_deadline(peer)
        except CodecError as wrong:
            self._fault(peer, wrong)

    def _owner_gone(self, peer: OwnerPeer) -> None:
        """Nothing more is heard on this connection: nobody waits for what is open on it."""
        now = self.net.now()
        for guest in list(peer.open):
            self.engine.owner_left(now, guest)
        peer.open.clear()
        self._carry_out()
        self.ticker.stir()

    def _make_room(self) -> bool:
        """Closes an idle connection for a new one; False if there is none. One whose bytes wait to be read
        is not idle, they may be a request: it goes only if it has said nothing of use and others are no
        better."""
        now = trio.current_time()
        order = eviction_order(self.owners.values(), now)
        victim = next((p for p in order[:LOOKS] if is_stuck(p, now) or not p.unread()), None)
        if victim is None and order and not order[0].good:
            victim = order[0]
        if victim is None:
            return False
        self.counts["connections_closed_for_others"] += 1
        del self.owners[victim.name]
        if is_stuck(victim, now):  # not waited for; any other is told all
            victim.cut()
        elif not victim.unsent():
            victim.drop()  # its descriptor is free before the next is taken
        victim.end()
        victim.scope.cancel()
        return True

    def _set_deadline(self, peer: OwnerPeer) -> None:
        """When a connection ends if nothing comes: one that has sent nothing of use and was told nothing,
        and one that has sent only part of a message and awaits no answer."""
        now = trio.current_time()
        if not peer.reader.half:
            peer.half_at = None
        elif peer.half_at is None:
            peer.half_at = now
        due = float("inf")
        if peer.half_at is not None and not peer.open:  # the answers to what is open are owed first
            due = peer.half_at + FIRST
        if not peer.open and not peer.told and not peer.proven:
            due = min(due, max(peer.came_at + FIRST, now + 0.2))
        peer.scope.deadline = due

    def _fault(self, peer: OwnerPeer, wrong: CodecError) -> None:
        """A peer whose bytes cannot be used: its connection ends, and what is open on it with it."""
        self.counts["owner_" + wrong.code] += 1
        self.log.debug("owner_closed", owner=peer.name, code=wrong.code, reason=wrong.text[:200])
        peer.end()
        peer.scope.cancel()

    def _owner_said(self, peer: OwnerPeer, binary: BinaryMessage) -> None:
        now = self.net.now()
        peer.used_at = trio.current_time()
        if self.log_frames:
            self.log.debug("owner_said", owner=peer.name, binary=repr(binary))
        if binary.type == SET_UP:
            self._set_up(now, peer, binary)
        elif binary.type == END:
            self._taken_back(now, peer, binary.id)
        elif binary.type == TEST:
            peer.good = True
            peer.send(words.tested(binary.id, self.engine.ready() and not self.leaving))
        elif binary.type != HEARD:
            self.counts["owner_passed_over"] += 1
        self._release_held(peer)
        self._carry_out()
        self.ticker.stir()

    def _taken_back(self, now: int, peer: OwnerPeer, guest: str) -> None:
        """An owner gives up what is open, or ends what stands. What is open belongs to the connection that it
        came on, but its owner may have lost that one: named on another, nothing more is begun for it, and its
        own connection is answered. An end that comes before its set-up is kept for a while."""
        if self.engine.out(guest) and guest not in peer.open:
            self.counts["ends_of_others"] += 1
            self.engine.give_up(now, guest)
            return
        peer.open.pop(guest, None)
        if self.engine.owner_left(now, guest):
            peer.good = peer.asked = True
            return
        at = trio.current_time()
        while self.early and (len(self.early) >= EARLY_MOST or next(iter(self.early.values())) <= at):
            self.early.popitem(last=False)
        self.early[guest] = at + EARLY

    def _second_under_id(self, peer: OwnerPeer, refusal: BinaryMessage) -> None:
        """A set-up came under the id of a request in hand. It ends its connection, but for answers owed
        there: two connections may cross, and the one that is read second may be the request's owner's."""
        if not self._came_on(peer, refusal.id):
            peer.send(refusal)
            if peer.open:
                return
        self._fault(peer, CodecError("open_already", "a second set-up under an open id"))

    def _came_on(self, peer: OwnerPeer, guest: str) -> bool:
        """Whether a request in hand came on this connection: a refusal of a second one under its id would be
        read there as its own answer or end. On any other connection the refusal is the second's alone."""
        case = self.engine.newest.get(guest)
        return guest in peer.open or (case is not None and case.owner == peer.name)

    def _set_up(self, now: int, peer: OwnerPeer, binary: BinaryMessage) -> None:
        ended = self.early.pop(binary.id, 0.0) > trio.current_time()
        try:
            submit, at = words.wanted(binary, self.bounds)
        except (words.BadAskError, CodecError) as wrong:
            self.counts["ask_" + wrong.code] += 1
            self.log.debug("ask_refused", owner=peer.name, reason=str(wrong)[:200])
            if not self._came_on(peer, binary.id):
                peer.send(words.released(binary.id, words.ERROR))
            else:
                self._fault(peer, CodecError("open_already", "a second set-up under an open id"))
            return
        if ended:
            self.counts["ended_before"] += 1
        if ended and not at:
            peer.send(words.released(binary.id, words.FULL))
            return
        if not at:
            if binary.id not in self.engine.newest:
                peer.open[binary.id] = None
            peer.good = peer.asked = True
            self.engine.owner_said(now, peer.name, submit)
            return
        if wrong := self.engine.guest_stands(now, peer.name, at, submit):
            self.counts["found_" + wrong] += 1
            peer.send(words.released(binary.id, words.RESET))
        else:
            peer.good = peer.told = peer.handed_over = True
            if ended:  # its machine must not keep it
                self.engine.owner_left(now, binary.id)

    # Machines.

    async def _link(self, dial: Dial, scope: trio.CancelScope) -> None:
        """One connection to a machine: dials within its span, then listens until either side ends."""
        name, up, refused = dial.machine, False, False
        with scope:
            try:
                with trio.fail_after(dial.span / 1e6):
                    stream = await self.net.dial(dial.address)
                if self.machines.get(name, (None,))[0] is not scope:  # hung up just as it came up
                    await trio.aclose_forcefully(stream)
                    return
                peer = MachinePeer(stream, self.limits.send_bytes, self._time_left, self._over)
                try:
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(peer.write)
                        with peer.scope:
                            up = True
                            self.machines[name] = scope, peer
                            self.engine.link_up(self.net.now(), name)
                            self._carry_out()
                            self.ticker.stir()
                            await self._hear_machine(name, peer)
                        peer.end()
                        peer.writing.cancel()
                finally:
                    self._over(peer, [guest for guest, at in self.fences.items() if at is peer])
            except (OSError, ValueError, trio.TooSlowError) as wrong:  # ValueError: an address that is none
                refused = is_refused(wrong)
                self.counts["dials_refused" if refused else "dials_failed"] += 1
                self.log.debug("dial_failed", machine=name, address=dial.address, reason=repr(wrong)[:200])
        if scope.cancelled_caught or self.machines.get(name, (None,))[0] is not scope:
            return
        del self.machines[name]
        now = self.net.now()
        if up:
            for offer in peer.offers_kept():
                self.engine.offer_held_back(now, offer)
            self.engine.link_down(now, name)
        else:
            self.engine.link_failed(now, name, refused)
        self._carry_out()
        self.ticker.stir()

    def _time_left(self, offer: m.Offer) -> int:
        now = self.net.now()
        left = self.engine.time_left(now, offer)
        if left and offer.guest in self.fences:
            self.counts["offers_behind"] += 1
            return -1
        if not left:
            self.counts["offers_held_back"] += 1
            self.engine.offer_held_back(now, offer)
            self.ticker.stir()
        return left

    async def _hear_machine(self, name: str, peer: MachinePeer) -> None:
        try:
            async for batch in peer.batches():
                for line in batch:
                    if line.op in ("accept", "end"):
                        peer.heard_of(line.call)
                    self._machine_said(name, line)
        except CodecError as wrong:
            self.counts["machine_" + wrong.code] += 1
            self.log.info("machine_unreadable", machine=name, code=wrong.code, reason=wrong.text[:200])

    def _machine_said(self, name: str, line: Line) -> None:
        if self.log_frames:
            self.log.debug("machine_said", machine=name, line=repr(line))
        message = words.from_machine(line, not self.engine.out(line.call))
        if message is None:
            return
        self.engine.machine_said(self.net.now(), name, message)
        self._carry_out()
        self.ticker.stir()

    # The bulletin.

    def _event(self, item: dict) -> m.Listing:
        """What an event tells of the list; no entries if it is no roster. DiscoveryError if unreadable."""
        if "roster" not in item:
            return m.Listing(version=self.engine.list_version, whole=False, entries=[])
        try:
            listing, faults = words.listing(item["roster"], self.zones, self.net.wall())
        except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as wrong:
            self.counts["discovery_unreadable"] += 1
            raise DiscoveryError(f"an event that cannot be read: {wrong!r:.200}") from None
        if faults:
            self.counts["discovery_entries_unreadable"] += len(faults)
            raise DiscoveryError(
                f"{len(faults)} entries that cannot be read: {faults[0]}",
                listing if listing.entries else None,
            )
        return listing

    def _hear_discovery(self, listings: list[m.Listing]) -> None:
        now = self.net.now()
        nothing = m.Listing(version=self.engine.list_version, whole=False, entries=[])
        for listing in listings or [nothing]:  # an answer without news tells that the list is as it was
            self.engine.list_said(now, listing)
        self._carry_out()
        self.ticker.stir()

    def _discovery_failed(self) -> None:
        self.counts["discovery_failures"] += 1
        self.engine.list_failed(self.net.now())
        self.ticker.stir()

    # Each second.

    async def _tend(self) -> None:
        while True:
            await trio.sleep(1.0)
            while self.held and self.held[0].since + HOLD <= trio.current_time():
                self.held.popleft()
                self.counts["releases_lost"] += 1
            if self.log.is_enabled_for(10):
                self._beliefs()

    def _beliefs(self) -> None:
        """What this planner believes, beside what it has sent and heard."""
        engine, brain, now = self.engine, self.engine.brain, self.net.now()
        fleet = {}
        for name, fellow in engine.roster.fellows.items():
            known, link = brain.machines.get(name), engine.links.get(name)
            if known is None:
                continue
            cores, memory = known.room(engine.facts)
            fleet[name] = (
                f"{fellow.mode.name} room={cores:.1f}/{memory:.1f} used={known.used} "
                f"guests={len(known.guests)} strikes={known.strikes} mute={known.mute} "
                f"rests={max(0, known.avoid_until - now) // 1000} "
                f"link={link.state if link else '-'} "
                f"heard={(now - link.heard_at) // 1000 if link else '-'}"
            )
        self.log.debug(
            "beliefs",
            waiting=len(brain.waiting),
            out=len(brain.out),
            cases=len(engine.cases),
            owners=len(self.owners),
            links=len(self.machines),
            held=len(self.held),
            fleet=fleet,
            cpu=round(time.process_time(), 2),
            counts=dict(self.counts),
            engine=dict(engine.counts),
        )


def is_refused(wrong: BaseException | None) -> bool:
    """Whether a dial failed because nobody listens there."""
    while wrong is not None:
        if isinstance(wrong, ConnectionRefusedError):
            return True
        if isinstance(wrong, BaseExceptionGroup):
            return all(is_refused(each) for each in wrong.exceptions)
        wrong = wrong.__cause__
    return False
