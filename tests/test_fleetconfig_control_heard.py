"""The control machine's core: revisions and snapshots of others, and what it stores and asks at rest."""

import pytest
from fleetconfig_bench import Bench, chain_of, head_of, item, other_chain
from fleetconfig_machines import LIMITS

from hazelhold.fleetconfig import control_actions as a
from hazelhold.fleetconfig.control import ControlCore
from hazelhold.fleetconfig.document import Document
from hazelhold.fleetconfig.head import Settle, decode_head
from hazelhold.fleetconfig.messages import NEVER
from hazelhold.fleetconfig.revision import (
    MAX_REVISION,
    Position,
    Revision,
    RevisionError,
    SealedRevision,
    seal,
    unseal,
)
from hazelhold.replica.proposer import Read


def test_gaps_are_fetched_and_closed_by_pages_and_by_the_tail() -> None:
    chain = chain_of(10)
    bench = Bench(a.StoredState(Position(), Document(), tuple(chain[:1])), value=head_of(chain, tail=2))
    assert bench.others == [a.Fetch(chain[0].position)]
    bench.core.revisions_heard(bench.now, tuple(sealed.body for sealed in chain[1:4]))
    bench.drain()
    assert bench.others[-1] == a.Fetch(chain[3].position)
    assert bench.core.confirmed_age(bench.now) == NEVER
    bench.core.revisions_heard(bench.now, tuple(sealed.body for sealed in chain[2:8]))
    bench.drain()
    assert bench.core.position == chain[-1].position, "the register's tail has the rest"
    assert [sealed.body for sealed in bench.stored] == [sealed.body for sealed in chain[1:]]
    assert bench.core.confirmed_age(bench.now + 5) == 5
    asked = len(bench.others)
    bench.pass_time(500_000)
    assert len(bench.others) == asked


@pytest.mark.parametrize(
    ("bodies", "code"),
    [
        ((b"x" * (MAX_REVISION + 1),), "too_long"),
        ((b"",), "unreadable"),
        ((b"\xc1",), "unreadable"),
        ((chain_of(2)[1].body[:-1],), "unreadable"),
        ((decode_head(other_chain()).tail[0],), "other_chain"),
        ((chain_of(3)[2].body,), "gap"),
    ],
)
def test_what_is_no_next_revision_is_counted_and_changes_nothing(
    bodies: tuple[bytes, ...], code: str
) -> None:
    chain = chain_of(1)
    bench = Bench(a.StoredState(Position(), Document(), tuple(chain)), value=head_of(chain))
    bench.core.revisions_heard(bench.now, bodies)
    bench.drain()
    assert bench.core.counts[f"heard_{code}"] == 1
    assert bench.core.position == chain[0].position and not bench.core.broken


def test_a_revision_that_leaves_another_document_than_it_says_is_not_taken() -> None:
    wrong = seal(Revision(number=1, parent=bytes(16), content=bytes(16), changes=(item("z", "x/z", 0),)))
    bench = Bench()
    bench.core.revisions_heard(bench.now, (wrong.body,))
    assert bench.core.counts["heard_wrong_content"] == 1 and not bench.core.document.items


def snapshot(chain: list[SealedRevision], kept: int) -> a.StoredState:
    document = Document()
    for sealed in chain:
        document.apply(sealed.revision.edits)
    return a.StoredState(chain[-1].position, document, tuple(chain[len(chain) - kept :]))


def test_a_snapshot_is_taken_by_who_is_too_far_behind() -> None:
    chain = chain_of(9)
    bench = Bench(value=head_of(chain))
    bench.propose("w", item("c8", "x/8", 7))
    bench.core.snapshot_heard(bench.now, snapshot(chain[:8], kept=3))
    bench.drain()
    assert a.StoreSnapshot(chain[7].position) in bench.others
    assert bench.stored[-1].body == chain[8].body and bench.core.position == chain[8].position
    assert bench.answers["w"].number == 8, "it was carried out by another machine"
    assert bench.core.history.floor == 5
    bench.core.snapshot_heard(bench.now, snapshot(chain[:8], kept=0))
    assert bench.core.counts["heard_old"] == 1


def test_a_change_that_was_open_when_a_snapshot_came_is_unknown() -> None:
    chain = chain_of(9)
    bench = Bench()
    bench.holding = True
    bench.propose("w", item("w", "y/1", 0), span=10**7)
    bench.end("open")
    bench.value = head_of(chain)
    bench.core.snapshot_heard(bench.now, snapshot(chain[:8], kept=3))
    bench.drain()
    assert bench.answers["w"].outcome == "unknown"


BAD_STATES = [
    ("gap", lambda chain: a.StoredState(Position(), Document(), (chain[0], chain[2]))),
    ("gap", lambda chain: a.StoredState(chain[3].position, Document(), tuple(chain[:2]))),
    ("gap", lambda chain: snapshot(chain[:4], 4)._replace(revisions=(chain[0], chain[2], chain[3]))),
    ("other_chain", lambda chain: a.StoredState(Position(3, b"z" * 16), Document(), tuple(chain[:3]))),
    ("wrong_content", lambda chain: a.StoredState(chain[2].position, Document(), tuple(chain[:3]))),
    ("wrong_content", lambda chain: a.StoredState(chain[1].position, Document(), tuple(chain[2:]))),
]


@pytest.mark.parametrize(("code", "state"), BAD_STATES)
def test_a_stored_state_that_is_no_chain_is_refused(code: str, state: object) -> None:
    with pytest.raises(RevisionError) as wrong:
        Bench(state(chain_of(4)))
    assert wrong.value.code == code
    bench = Bench()
    bench.core.snapshot_heard(bench.now, state(chain_of(4)))
    assert bench.core.counts[f"heard_{code}"] == 1 and bench.core.position == Position()


def claimed(core: type[ControlCore], stored: list[SealedRevision], register: list[SealedRevision]) -> int:
    """What a machine with these revisions in its folder counts and tells as stored."""
    state = a.StoredState(Position(), Document(), tuple(stored))
    made = core("a", ("a", "b", "c"), state, 1, LIMITS)
    made.start(1)
    value = head_of(register)
    for now in range(2, 6):
        for action in made.take_actions():
            if isinstance(action, a.ClaimStored):
                assert made.facts.by_machine["a"] == action.number
            elif isinstance(action, a.AskRegister):
                made.register_answered(now, action.asking, "agreed", action.change(value))
        made.tick(now * 10**7)
    return made.facts.by_machine["a"]


def folders(core: type[ControlCore]) -> None:
    chain, other = chain_of(8), chain_of(8, items="y")
    assert claimed(core, chain[:5], chain[:5]) == 5
    assert claimed(core, chain[:5], chain[:6]) == 5  # the tail leads on
    for register in (other[:3], other[:5], other[:8]):
        assert claimed(core, chain[:5], register) == 0


def test_a_folder_of_another_order_counts_for_nothing() -> None:
    """Of another deployment, or of this one before it was founded anew: others would drop revisions from the
    register because they are stored there."""
    folders(ControlCore)


class ClaimsAtOnce(ControlCore):
    """Counts what it was started from as stored, whatever it is."""

    def start(self, now: int) -> None:
        self.stored(now, self.name, self.position.number)


def test_a_folder_that_counts_at_once_is_caught() -> None:
    with pytest.raises(AssertionError):
        folders(ClaimsAtOnce)


def test_at_rest_it_asks_once_a_period_and_says_how_old_that_is() -> None:
    bench = Bench()
    bench.propose("w", item("w", "x/1", 0))
    before = len(bench.asked)
    bench.pass_time(10 * LIMITS.confirm_every)
    assert [type(asked.change) for asked in bench.asked[before:]] == [Read] * 10
    assert bench.core.confirmed_age(bench.now) <= LIMITS.confirm_every
    bench.holding = True
    bench.pass_time(10 * LIMITS.confirm_every)
    assert bench.core.confirmed_age(bench.now) >= 9 * LIMITS.confirm_every


def test_a_long_tail_that_is_stored_does_not_stay_in_the_register() -> None:
    bench = Bench()
    bench.propose("w", item("w", "x/1", 0, "y" * 60_000))
    assert len(bench.value) > 60_000
    bench.pass_time(100 * LIMITS.confirm_every)
    assert len(bench.value) < 200 and bench.core.position == decode_head(bench.value).position
    assert sum(isinstance(asked.change, Settle) for asked in bench.asked) == 2, "at the start, and once after"
    assert bench.propose("z", item("z", "x/1", 1)).outcome == "committed"


def test_unknown_machines_and_lower_numbers_tell_nothing() -> None:
    bench = Bench()
    bench.core.stored(bench.now, "z", 9)
    bench.core.stored(bench.now, "b", 5)
    bench.core.stored(bench.now, "b", 3)
    assert bench.core.facts.by_machine == {"a": 0, "b": 5, "c": 0} and bench.core.facts.by_majority == 0


def test_bodies_are_kept_to_the_byte() -> None:
    """A revision of a newer program, with fields that are not known here, is passed on as it is."""
    import msgspec

    sealed = chain_of(1)[0]
    fields = msgspec.msgpack.decode(sealed.body) | {"later": [1, {"x": 2}]}
    newer = unseal(msgspec.msgpack.encode(fields))
    bench = Bench(value=head_of([newer]))
    assert bench.stored[0].body == newer.body and bench.core.position == newer.position
    bench.storing = False
    bench.propose("w", item("w", "x/9", 1))
    assert newer.body not in decode_head(bench.value).tail, "two of three have it"
