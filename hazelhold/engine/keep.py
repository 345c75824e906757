"""What of an engine outlives it: marks of what has changed, images of it, and the way back.

The engine marks whatever it changes; `flush` makes each marked thing's image as it is now, or a drop. What
the engine then wants sent may leave only when these images are safe. `recover` rebuilds the engine's tables
from images and tells the Brain by its inputs. No I/O; the wall clock comes in as `epoch`, its time at the
zero of the engine's clock.
"""

import msgspec
from msgspec.structs import replace

from hazelhold.config.planner import micros
from hazelhold.engine.cases import Case, Loose
from hazelhold.engine.tables import Tables
from hazelhold.interface import EarlierDispatch, LearnedState, MachineMode, RepeatSemantics
from hazelhold.protocol import messages as m
from hazelhold.state.images import (
    AnswerImage,
    Change,
    ColdImage,
    EndImage,
    GuestImage,
    LearnedImage,
    ListImage,
    LooseImage,
    drop,
    put,
)
from hazelhold.state.ledger import Ledger

ANSWERS = msgspec.msgpack.Decoder(m.Placed | m.TurnedBack | m.BrokenOff)


class Keeping:
    """The marks of one engine."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.marks: dict[tuple[str, str], None] = {}  # emptied by every flush
        self.entries: dict[str, m.Entry] = {}  # the list as it was told; emptied with it
        self.list_image: object = None

    def wall(self, at: int) -> int:
        return at + self.epoch if at else 0

    def told(self, listing: m.Listing) -> None:
        if listing.whole:
            self.entries.clear()
        for entry in listing.entries:
            if entry.mode == "gone":
                self.entries.pop(entry.machine, None)
            else:
                self.entries[entry.machine] = entry
        self.marks["list", ""] = None

    def flush(self, engine: Tables, now: int) -> list[Change]:
        """The images of all that has changed since the last flush."""
        marks, self.marks = self.marks, {}
        changes = []
        for kind, key in marks:
            change = getattr(self, "_" + kind)(engine, now, key)
            if change is not None:
                changes.append(change)
        return changes

    def _guest(self, engine: Tables, now: int, name: str) -> Change:
        case = engine.cases.get(name)
        return put("guest", name, self.image(engine, case)) if case else drop("guest", name)

    def image(self, engine: Tables, case: Case) -> GuestImage:
        s, known = case.submit, engine.scheduler.guests.get(case.name)
        unsure = known.window_ends - known.guest_class.dedup_window if known and known.may_have_run else 0
        sent = case.machine if case.sent else ""  # an offer that waits for its link has not left
        return GuestImage(
            case.name,
            case.guest,
            case.ask,
            case.owner,
            s.product,
            s.service,
            s.cores,
            s.memory,
            self.wall(known.deadline) if known and not case.placed else 0,
            tuple(case.asks),
            s.customer,
            getattr(s, "life", 0),
            case.attempt,
            known.dispatches if known else 0,
            sent,
            case.incarnation,
            self.wall(case.sent_at) if sent else 0,
            self.wall(case.due_at) if sent else 0,
            case.placed,
            case.cancelled,
            self.wall(unsure),
            case.unsure if unsure else "",
            case.sent_claim,
        )

    def _loose(self, engine: Tables, now: int, key: str) -> Change:
        guest, _, machine = key.partition("\0")
        loose = engine.loose.get(guest, {}).get(machine)
        if loose is None:
            return drop("loose", key)
        image = replace(self.image(engine, loose.case), placed=False)
        return put(
            "loose", key, LooseImage(image, machine, loose.attempt, self.wall(loose.sent_at), loose.stands)
        )

    def _answer(self, engine: Tables, now: int, key: str) -> Change | None:
        guest, _, ask = key.partition("\0")
        kept = engine.answers.get((guest, int(ask)))
        if kept is None:
            return drop("answer", key)
        return put("answer", key, AnswerImage(guest, int(ask), m.ENCODER.encode(kept[0])), self.wall(kept[1]))

    def _end(self, engine: Tables, now: int, guest: str) -> Change:
        kept = engine.ends.get(guest)
        return put("end", guest, EndImage(guest, kept[0]), self.wall(kept[1])) if kept else drop("end", guest)

    def _cold(self, engine: Tables, now: int, machine: str) -> Change | None:
        host, window = engine.scheduler.machines.get(machine), 2 * engine.facts.cold_budget_window
        if host is None:
            return None
        times = tuple(self.wall(at) for at in host.offers if at > now - window)
        return put("cold", machine, ColdImage(machine, times), self.wall(now + window))

    def _list(self, engine: Tables, now: int, key: str) -> Change | None:
        """Rooms change all the time: they alone are worth no image."""
        alike = tuple((e.machine, e.address, e.mode, e.incarnation) for e in self.entries.values())
        if alike == self.list_image:
            return None
        self.list_image = alike
        entries = []
        for entry in self.entries.values():
            fellow = engine.roster.fellows.get(entry.machine)
            up = max(0, now - fellow.started) if fellow and fellow.started else None
            entries.append(replace(entry, up_for=up))
        return put("list", "", ListImage(engine.list_version, self.wall(now), entries))

    def learned(self, engine: Tables) -> Change:
        return put("learned", "", LearnedImage(self.epoch, engine.scheduler.learned_state()))


def recover(engine: Tables, now: int, ledger: Ledger, complete: bool) -> dict[str, int]:
    """Brings a new engine to where the images left off; returns counts of what was found.

    Patience goes on while nobody is there. What had left for a machine is out until that machine speaks. If
    something may be missing, every held guest whose second run could do harm counts as one that may run.
    """
    keeping, counts = engine.keeping, ledger.sizes()
    epoch = keeping.epoch
    engine.sure = complete
    for image in ledger.images("list"):
        heard = min(now, image.heard_at - epoch)
        listing = m.Listing(version=0, whole=True, entries=image.entries)
        keeping.told(listing)
        # What the list said last may never have become safe: nothing goes anywhere before it speaks again.
        listed = [
            each._replace(mode=MachineMode.CORDONED) for each in engine.roster.learn(heard, listing).listed
        ]
        engine.scheduler.machines_listed(heard, listed, True)
        engine.unheard = {f.name for f in engine.roster.fellows.values()}
    past = LearnedState({}, (), (), (1.0, 1.0, 1.0, 1.0), {})
    for image in ledger.images("learned"):
        past = moved(image.data, image.epoch - epoch)
    if any(counts.values()):
        engine.scheduler.restore_learned(now, past, complete)
    for image in ledger.images("cold"):
        engine.scheduler.restore_offers(now, image.machine, tuple(at - epoch for at in image.times))
    cases = [image for image in ledger.images("guest") if image.product in engine.products]
    counts["of_unknown_products"] = ledger.sizes()["guest"] - len(cases)
    for image in sorted(cases, key=lambda i: (i.placed, i.ask, i.name)):
        _recover_case(engine, now, image, epoch, complete)
    for image in ledger.images("loose"):
        if image.case.product in engine.products:
            # Whoever is no longer in hand has its answer; the image may be older than that.
            case = engine.cases.get(image.case.name) or case_of(engine, replace(image.case, asks=()))
            loose = Loose(
                case, image.attempt, image.machine, image.sent_at - epoch, image.stands, roll_at=now
            )
            engine.loose.setdefault(case.guest, {})[image.machine] = loose
    for image in ledger.images("answer"):
        until = ledger.tables["answer"][f"{image.guest}\0{image.ask}"].until - epoch
        engine.answers[image.guest, image.ask] = ANSWERS.decode(image.body), until
    for image in ledger.images("end"):
        engine.ends[image.guest] = image.how, ledger.tables["end"][image.guest].until - epoch
    for table in (engine.answers, engine.ends):
        for key in sorted(table, key=lambda k, t=table: t[k][1]):
            table.move_to_end(key)
    for fellow in list(engine.roster.fellows.values()):
        engine._dial(now, fellow)
    return counts


def moved(past: LearnedState, shift: int) -> LearnedState:
    """What was learned, with its moments on this life's clock."""

    def at(when: int) -> int:
        return when + shift if when > 0 else when

    return past._replace(
        services={name: (at(seen), samples) for name, (seen, samples) in past.services.items()},
        machines={
            name: h._replace(started=at(h.started), cold_at=at(h.cold_at), avoid_until=at(h.avoid_until))
            for name, h in past.machines.items()
        },
    )


def case_of(engine: Tables, image: GuestImage) -> Case:
    submit = m.Submit(
        guest=image.guest,
        ask=image.ask,
        product=image.product,
        service=image.service,
        cores=image.cores,
        memory=image.memory,
        patience=0,
        customer=image.customer,
        life=image.life,
    )
    return Case(
        image.name,
        image.guest,
        image.ask,
        image.owner,
        engine.products[image.product],
        submit,
        dict.fromkeys(image.asks),
        image.attempt,
        cancelled=image.cancelled,
        incarnation=image.incarnation,
        unsure=image.unsure_machine,
        claim=image.claim,
        sent_claim=image.claim,
    )


def _recover_case(engine: Tables, now: int, image: GuestImage, epoch: int, complete: bool) -> None:
    case = case_of(engine, image)
    engine.cases[case.name] = engine.newest[case.guest] = case
    patience = max(0, image.deadline - epoch - now) if image.deadline else 0
    harmful = engine.facts.guest_classes[case.product].repeat is not RepeatSemantics.IDEMPOTENT
    earlier = None
    if image.unsure_at:
        earlier = EarlierDispatch(image.unsure_machine, image.unsure_at - epoch)
    elif not complete and harmful and not image.placed and not image.machine:
        earlier = EarlierDispatch("", now)
        engine.counts["held_unsure"] += 1
    ask = engine._ask(case, patience, earlier)._replace(dispatches_used=image.spent)
    if not image.machine:
        engine.scheduler.guest_submitted(now, ask)
    else:
        case.machine, case.sent, case.placed = image.machine, True, image.placed
        case.sent_at = image.sent_at - epoch
        engine._hold(case)
        link = engine.links[case.machine]
        link.incarnation, link.lost_at = image.incarnation, now
        engine.restless[case.machine] = None
        if image.placed:
            engine.scheduler.guest_discovered(now, case.machine, ask)
        else:
            engine.scheduler.guest_submitted(now, ask)
            engine.scheduler.restore_dispatch(now, case.machine, case.name, case.sent_at)
            due = max(image.due_at - epoch, now + micros(engine.limits.reconnect_ms))
            engine._overdue(due, case)
    if case.cancelled:
        engine.scheduler.guest_cancelled(now, case.name)
