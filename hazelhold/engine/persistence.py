"""Persistence of an engine's state: tracking of changes, images of what changed, and recovery.

The engine marks whatever it changes; `flush` turns each marked key into an image of its present state, or a
drop. Actions of the engine may be carried out only when these images are stored. `recover` rebuilds the
engine's tables from images and informs the scheduler through its inputs. No I/O; the wall clock is passed in
as `epoch`, its time in microseconds at the zero of the engine's clock.
"""

import msgspec
from msgspec.structs import replace

from hazelhold.config.planner import to_microseconds
from hazelhold.engine.records import AbandonedDispatch, GuestRecord
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
from hazelhold.state.state_table import StateTable

ANSWERS = msgspec.msgpack.Decoder(m.Placed | m.GuestRefused | m.GuestFailed)


class StatePersistence:
    """Tracks what has changed in one engine and makes images of it."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.changed_keys: dict[tuple[str, str], None] = {}  # emptied by every flush
        self.entries: dict[str, m.Entry] = {}  # the list as it was received; emptied with it
        self.list_image: object = None

    def wall(self, at: int) -> int:
        """The wall-clock time, in microseconds, of a time on the engine's clock; 0 stays 0."""
        return at + self.epoch if at else 0

    def listing_received(self, listing: m.Listing) -> None:
        """Applies a listing to the copy of the list from which its image is made."""
        if listing.whole:
            self.entries.clear()
        for entry in listing.entries:
            if entry.mode == "gone":
                self.entries.pop(entry.machine, None)
            else:
                self.entries[entry.machine] = entry
        self.changed_keys["list", ""] = None

    def flush(self, engine: Tables, now: int) -> list[Change]:
        """The images of everything that changed since the last flush."""
        changed_keys, self.changed_keys = self.changed_keys, {}
        changes = []
        for kind, key in changed_keys:
            change = getattr(self, "_" + kind)(engine, now, key)
            if change is not None:
                changes.append(change)
        return changes

    def _guest(self, engine: Tables, now: int, name: str) -> Change:
        record = engine.records.get(name)
        return put("guest", name, self.image(engine, record)) if record else drop("guest", name)

    def image(self, engine: Tables, record: GuestRecord) -> GuestImage:
        """The image of one guest, with its times on the wall clock."""
        s, known = record.submit, engine.scheduler.guests.get(record.name)
        unsettled_at = (
            known.window_ends - known.guest_class.dedup_window if known and known.may_have_run else 0
        )
        sent = record.machine if record.sent else ""  # an offer that waits for its link was not sent
        return GuestImage(
            record.name,
            record.guest,
            record.submission_number,
            record.owner,
            s.product,
            s.service,
            s.cores,
            s.memory,
            self.wall(known.deadline) if known and not record.placed else 0,
            tuple(record.unanswered_submissions),
            s.customer,
            getattr(s, "life", 0),
            record.dispatch_number,
            known.dispatches if known else 0,
            sent,
            record.incarnation,
            self.wall(record.sent_at) if sent else 0,
            self.wall(record.due_at) if sent else 0,
            record.placed,
            record.cancelled,
            self.wall(unsettled_at),
            record.unsettled_machine if unsettled_at else "",
            record.sent_claim,
        )

    def _loose(self, engine: Tables, now: int, key: str) -> Change:
        guest, _, machine = key.partition("\0")
        abandoned = engine.abandoned.get(guest, {}).get(machine)
        if abandoned is None:
            return drop("loose", key)
        image = replace(self.image(engine, abandoned.record), placed=False)
        return put(
            "loose",
            key,
            LooseImage(
                image, machine, abandoned.dispatch_number, self.wall(abandoned.sent_at), abandoned.accepted
            ),
        )

    def _answer(self, engine: Tables, now: int, key: str) -> Change | None:
        guest, _, ask = key.partition("\0")
        stored = engine.answers.get((guest, int(ask)))
        if stored is None:
            return drop("answer", key)
        return put(
            "answer", key, AnswerImage(guest, int(ask), m.ENCODER.encode(stored[0])), self.wall(stored[1])
        )

    def _end(self, engine: Tables, now: int, guest: str) -> Change:
        stored = engine.ends.get(guest)
        return (
            put("end", guest, EndImage(guest, stored[0]), self.wall(stored[1]))
            if stored
            else drop("end", guest)
        )

    def _cold(self, engine: Tables, now: int, machine: str) -> Change | None:
        host, window = engine.scheduler.machines.get(machine), 2 * engine.deployment.cold_budget_window
        if host is None:
            return None
        times = tuple(self.wall(at) for at in host.offers if at > now - window)
        return put("cold", machine, ColdImage(machine, times), self.wall(now + window))

    def _list(self, engine: Tables, now: int, key: str) -> Change | None:
        """Free capacity changes all the time: a change of that alone makes no new image."""
        alike = tuple((e.machine, e.address, e.mode, e.incarnation) for e in self.entries.values())
        if alike == self.list_image:
            return None
        self.list_image = alike
        entries = []
        for entry in self.entries.values():
            listed = engine.roster.machines.get(entry.machine)
            up = max(0, now - listed.started) if listed and listed.started else None
            entries.append(replace(entry, up_for=up))
        return put("list", "", ListImage(engine.list_version, self.wall(now), entries))

    def learned(self, engine: Tables) -> Change:
        """The image of what the scheduler has learned."""
        return put("learned", "", LearnedImage(self.epoch, engine.scheduler.learned_state()))


def recover(engine: Tables, now: int, state_table: StateTable, complete: bool) -> dict[str, int]:
    """Restores a new engine from images; returns counts of what was found.

    Deadlines go on while no planner runs. What was sent to a machine is outstanding until that machine
    reports. If something may be missing, every held guest whose second run could do harm counts as one that
    may run.
    """
    persistence, counts = engine.persistence, state_table.sizes()
    epoch = persistence.epoch
    engine.recovery_complete = complete
    for image in state_table.images("list"):
        received_at = min(now, image.heard_at - epoch)
        listing = m.Listing(version=0, whole=True, entries=image.entries)
        persistence.listing_received(listing)
        # The last state of the list may never have been stored: nothing is sent before the list reports
        # again.
        listed = [
            each._replace(mode=MachineMode.CORDONED)
            for each in engine.roster.update(received_at, listing).listed
        ]
        engine.scheduler.machines_listed(received_at, listed, True)
        engine.unreported_machines = {f.name for f in engine.roster.machines.values()}
    past = LearnedState({}, (), (), (1.0, 1.0, 1.0, 1.0), {})
    for image in state_table.images("learned"):
        past = moved(image.data, image.epoch - epoch)
    if any(counts.values()):
        engine.scheduler.restore_learned(now, past, complete)
    for image in state_table.images("cold"):
        engine.scheduler.restore_offers(now, image.machine, tuple(at - epoch for at in image.times))
    guest_images = [image for image in state_table.images("guest") if image.product in engine.products]
    counts["of_unknown_products"] = state_table.sizes()["guest"] - len(guest_images)
    for image in sorted(guest_images, key=lambda i: (i.placed, i.ask, i.name)):
        _recover_record(engine, now, image, epoch, complete)
    for image in state_table.images("loose"):
        if image.case.product in engine.products:
            # A guest that is no longer held has its answer; the image may be older than that.
            record = engine.records.get(image.case.name) or record_of(engine, replace(image.case, asks=()))
            abandoned = AbandonedDispatch(
                record, image.attempt, image.machine, image.sent_at - epoch, image.stands, recheck_at=now
            )
            engine.abandoned.setdefault(record.guest, {})[image.machine] = abandoned
    for image in state_table.images("answer"):
        until = state_table.tables["answer"][f"{image.guest}\0{image.ask}"].until - epoch
        engine.answers[image.guest, image.ask] = ANSWERS.decode(image.body), until
    for image in state_table.images("end"):
        engine.ends[image.guest] = image.how, state_table.tables["end"][image.guest].until - epoch
    for table in (engine.answers, engine.ends):
        for key in sorted(table, key=lambda k, t=table: t[k][1]):
            table.move_to_end(key)
    for listed in list(engine.roster.machines.values()):
        engine._dial(now, listed)
    return counts


def moved(past: LearnedState, shift: int) -> LearnedState:
    """The learned state, with its times moved to the clock of this run."""

    def at(when: int) -> int:
        return when + shift if when > 0 else when

    return past._replace(
        services={name: (at(seen), samples) for name, (seen, samples) in past.services.items()},
        machines={
            name: h._replace(started=at(h.started), cold_at=at(h.cold_at), avoid_until=at(h.avoid_until))
            for name, h in past.machines.items()
        },
    )


def record_of(engine: Tables, image: GuestImage) -> GuestRecord:
    """The record of a guest from its image, without its placement."""
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
    return GuestRecord(
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
        unsettled_machine=image.unsure_machine,
        claim=image.claim,
        sent_claim=image.claim,
    )


def _recover_record(engine: Tables, now: int, image: GuestImage, epoch: int, complete: bool) -> None:
    record = record_of(engine, image)
    engine.records[record.name] = engine.newest_records[record.guest] = record
    patience = max(0, image.deadline - epoch - now) if image.deadline else 0
    harmful = engine.deployment.guest_classes[record.product].repeat is not RepeatSemantics.IDEMPOTENT
    earlier = None
    if image.unsure_at:
        earlier = EarlierDispatch(image.unsure_machine, image.unsure_at - epoch)
    elif not complete and harmful and not image.placed and not image.machine:
        earlier = EarlierDispatch("", now)
        engine.counts["held_unsure"] += 1
    ask = engine._submission(record, patience, earlier)._replace(dispatches_used=image.spent)
    if not image.machine:
        engine.scheduler.guest_submitted(now, ask)
    else:
        record.machine, record.sent, record.placed = image.machine, True, image.placed
        record.sent_at = image.sent_at - epoch
        engine._attach(record)
        link = engine.links[record.machine]
        link.incarnation, link.lost_at = image.incarnation, now
        engine.active_links[record.machine] = None
        if image.placed:
            engine.scheduler.guest_discovered(now, record.machine, ask)
        else:
            engine.scheduler.guest_submitted(now, ask)
            engine.scheduler.restore_dispatch(now, record.machine, record.name, record.sent_at)
            due = max(image.due_at - epoch, now + to_microseconds(engine.limits.reconnect_ms))
            engine._set_dispatch_timeout(due, record)
    if record.cancelled:
        engine.scheduler.guest_cancelled(now, record.name)
