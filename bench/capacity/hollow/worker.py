"""One hollow worker without I/O: messages of planners in, answers out, nothing runs inside.

It keeps what the protocol obliges a machine to keep: which tasks it has accepted and of whom, which of its
lives this is, and how tasks ended. A second offer of a task that it has is answered for what it has.
"""

from typing import NamedTuple

from hazelhold.protocol import messages as m

REMEMBERED = 200  # ended tasks that a roll call still tells of, per worker
Key = tuple[str, str, int]  # planner, guest, ask


class Answer(NamedTuple):
    """A message for one planner."""

    planner: str
    message: m.Message


class Due(NamedTuple):
    """Something that the worker must be called for at a moment, in microseconds."""

    at: int
    incarnation: int
    key: Key
    what: str  # end or use


class Worker:
    """A worker over all its lives. Times are whole microseconds on the caller's clock."""

    def __init__(self, name: str, zone: int, now: int, task_life: int, use_period: int) -> None:
        self.name, self.zone = name, zone
        self.task_life, self.use_period = task_life, use_period
        self.incarnation = 0
        self.restart(now)

    def restart(self, now: int) -> None:
        """A new life, with nothing of the last."""
        self.incarnation += 1
        self.up_at = now
        self.running: dict[Key, m.Offer] = {}
        self.ended: dict[Key, tuple[m.Offer, str]] = {}
        self.answers: list[Answer] = []
        self.dues: list[Due] = []

    def welcome(self, now: int) -> m.Welcome:
        return m.Welcome(name=self.name, incarnation=self.incarnation, up_for=max(0, now - self.up_at))

    def hear(self, now: int, planner: str, message: m.Message) -> None:
        """A planner's message; what follows stands in `answers` and `dues`, which the caller empties."""
        if isinstance(message, m.Offer):
            self._offered(now, planner, message)
        elif isinstance(message, m.Probe):
            self._say(planner, m.Report(number=message.number, load=self._load()))
        elif isinstance(message, m.InventoryRequest):
            self._say(planner, m.Inventory(guests=self._stands(planner)))
        elif isinstance(message, m.Stop):
            self._stopped(planner, message)
        elif isinstance(message, m.Withdraw):
            self._withdrawn(planner, message)

    def act(self, now: int, due: Due) -> None:
        """The moment of a due has come."""
        offer = self.running.get(due.key)
        if offer is None or due.incarnation != self.incarnation:
            return
        if due.what == "end":
            self._end(due.key, offer, "done")
            return
        self._say(due.key[0], self._use(offer))
        self._later(now + self.use_period, due.key, "use")

    def _offered(self, now: int, planner: str, offer: m.Offer) -> None:
        key = (planner, offer.guest, offer.ask)
        known = key in self.running
        self.running[key] = offer
        self._say(planner, m.OfferAccepted(**named(offer), load=self._load()))
        if known:
            return
        self._say(planner, m.Started(**named(offer)))
        self._say(planner, self._use(offer))
        self._later(now + (offer.life or self.task_life), key, "end")
        self._later(now + self.use_period, key, "use")

    def _stopped(self, planner: str, message: m.Stop) -> None:
        key = (planner, message.guest, message.ask)
        if offer := self.running.get(key):
            self._end(key, offer, "stopped")

    def _withdrawn(self, planner: str, message: m.Withdraw) -> None:
        key = (planner, message.guest, message.ask)
        if key in self.running:  # accepted already: it stands
            self._say(planner, m.OfferAccepted(**named(message), load=self._load()))
            return
        how = self.ended[key][1] if key in self.ended else "withdrawn"
        self._say(planner, m.Ended(**named(message), how=how))

    def _end(self, key: Key, offer: m.Offer, how: str) -> None:
        del self.running[key]
        self.ended[key] = offer, how
        if len(self.ended) > REMEMBERED:
            del self.ended[next(iter(self.ended))]
        self._say(key[0], m.Ended(**named(offer), how=how, load=self._load()))

    def _stands(self, planner: str) -> list[m.InventoryItem]:
        stands = [stand(offer, "runs") for key, offer in self.running.items() if key[0] == planner]
        stands += [
            stand(offer, "ended", how) for key, (offer, how) in self.ended.items() if key[0] == planner
        ]
        return stands

    def _load(self) -> m.Load:
        cores = sum(offer.cores for offer in self.running.values())
        memory = sum(offer.memory for offer in self.running.values())
        return m.Load(cores_free=24.0 - cores, memory_free=41.0 - memory, busy=min(1.0, cores / 24.0))

    def _use(self, offer: m.Offer) -> m.ResourceUse:
        return m.ResourceUse(**named(offer), cores=offer.cores, memory=offer.memory)

    def _say(self, planner: str, message: m.Message) -> None:
        self.answers.append(Answer(planner, message))

    def _later(self, at: int, key: Key, what: str) -> None:
        self.dues.append(Due(at, self.incarnation, key, what))


def named(about: m.DispatchMessage) -> dict[str, str | int]:
    """The fields by which a message names one dispatch."""
    return {"guest": about.guest, "ask": about.ask, "attempt": about.attempt}


def stand(offer: m.Offer, state: str, how: str = "") -> m.InventoryItem:
    return m.InventoryItem(
        guest=offer.guest,
        ask=offer.ask,
        attempt=offer.attempt,
        state=state,
        product=offer.product,
        service=offer.service,
        cores=offer.cores,
        memory=offer.memory,
        customer=offer.customer,
        owner=offer.owner,
        how=how,
    )
