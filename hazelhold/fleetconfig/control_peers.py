"""A control machine's connections to the others that it dials: the exchange of coverage, what it has stored
and committed, and what it asks for. Thin: decisions are those of `CoverageExchange` and `ControlCore`.
"""

from collections.abc import Callable, Sequence
from random import Random

import trio

from hazelhold.config.fleetconfig import ControlFile
from hazelhold.fleetconfig import messages as m
from hazelhold.fleetconfig.control import ControlCore
from hazelhold.fleetconfig.control_actions import StoredState
from hazelhold.fleetconfig.coverage import Subtree
from hazelhold.fleetconfig.dialer import Dialer
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.exchange import CoverageExchange
from hazelhold.fleetconfig.revision import Position, RevisionError, SealedRevision
from hazelhold.fleetconfig.roster import ControlMachine
from hazelhold.fleetconfig.snapshot import Assembly
from hazelhold.fleetconfig.spread_actions import Close, Dial, Send, Times
from hazelhold.protocol.frames import FrameError
from hazelhold.service.net import Net


class ControlPeers:
    """The dialed side. `settle` is called after each event."""

    def __init__(
        self,
        file: ControlFile,
        net: Net,
        core: ControlCore,
        subtree: Subtree,
        random: Random,
        settle: Callable[[], None],
    ) -> None:
        self.file, self.net, self.core, self.random, self.settle = file, net, core, random, settle
        machines = [ControlMachine(s.name, s.address, s.region) for s in file.control if s.name != file.name]
        self.exchange = CoverageExchange(subtree, machines, Times(), random.getrandbits(62), net.now())
        self.dialer: Dialer | None = None  # since `begin`
        self.assemblies: dict[int, Assembly] = {}  # snapshots on their way; emptied as connections end
        self.snapshot: tuple[Position, Document] | None = None  # the last whole one that was heard
        self.stored = 0  # the number that the others are told

    def begin(self, nursery: trio.Nursery) -> None:
        """Dials from now on."""
        greeting = m.Greeting(name=self.file.name, deployment=self.file.deployment, purpose="follow")
        self.dialer = Dialer(self.net, greeting, self.file.reach, nursery, self)

    def carry_out(self) -> bool:
        """Does what the exchange wants; whether it wanted anything."""
        self.exchange.tick(self.net.now())
        actions = self.exchange.take_actions()
        for action in actions:
            if isinstance(action, Dial):
                self.dialer.dial(action)
            elif isinstance(action, Send):
                self.dialer.send(action)
            elif isinstance(action, Close):
                self.assemblies.pop(action.connection, None)
                self.dialer.close(action)
        return bool(actions)

    def tell_stored(self, number: int) -> None:
        """All revisions up to this one are durable here."""
        self.stored = max(self.stored, number)
        self._tell(m.Stored(number=self.stored))

    def publish(self, revisions: Sequence[SealedRevision]) -> None:
        """Tells the others what was committed here."""
        for message in revision_messages(revisions):
            self._tell(message)

    def fetch(self, after: Position) -> None:
        """Asks one of the others, drawn anew each time."""
        if opened := list(self.dialer.opened().values()):
            self.random.choice(opened).tell(m.Follow(number=after.number, chain=after.chain))

    def _tell(self, message: m.ConfigMessage) -> None:
        for wire in self.dialer.opened().values():
            wire.tell(message)

    # From the dialer.

    def connected(self, connection: int) -> None:
        self.dialer.send(Send(connection, m.Stored(number=self.stored)))
        self.exchange.connected(self.net.now(), connection)
        self.settle()

    def disconnected(self, connection: int, reason: str) -> None:
        self.assemblies.pop(connection, None)
        self.exchange.disconnected(self.net.now(), connection, reason)
        self.settle()

    def heard(self, connection: int, message: m.ConfigMessage) -> None:
        """Answers to what was fetched."""
        if isinstance(message, m.Revisions):
            self.core.revisions_heard(self.net.now(), message.bodies)
        elif isinstance(message, m.SnapshotPage):
            self._page(connection, message)
        elif not isinstance(message, m.Heartbeat):
            raise FrameError("unexpected", f"a {type(message).__name__} from a control machine")
        self.settle()

    def _page(self, connection: int, page: m.SnapshotPage) -> None:
        assembly = self.assemblies.setdefault(connection, Assembly())
        try:
            if assembly.take(page) != "complete":
                return
            position, document = Position(page.number, page.chain), assembly.document()
        except RevisionError as wrong:
            raise FrameError(wrong.code, wrong.text) from None
        self.snapshot = position, document.copy()  # the core takes its document over and goes on from it
        self.core.snapshot_heard(self.net.now(), StoredState(position, document))


def revision_messages(revisions: Sequence[SealedRevision]) -> list[m.Revisions]:
    """Revisions in messages of about a page each."""
    pages: list[list[SealedRevision]] = [[]]
    size = 0
    for sealed in revisions:
        if pages[-1] and size + len(sealed.body) > m.PAGE_BYTES:
            pages.append([])
            size = 0
        pages[-1].append(sealed)
        size += len(sealed.body)
    return [
        m.Revisions(bodies=tuple(sealed.body for sealed in page), chain=page[-1].chain)
        for page in pages
        if page
    ]
