"""A simple model of the five rules runs beside the scheduler on generated days and checks each decision."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hazelhold.interface import (
    DecisionKind,
    DispatchOutcome,
    Load,
    MachineMode,
    OutcomeReason,
    RepeatSemantics,
    Scope,
)
from hazelhold.scheduler import Scheduler
from tests.helpers import DEPLOYMENT, GUEST_CLASSES, MS, entry, submission

NEVER_RAN = (DispatchOutcome.REFUSED, DispatchOutcome.UNREACHABLE, DispatchOutcome.NOT_SENT)
CELLS = {name: at // 2 for at, name in enumerate("abcdef")}


class Model:
    """Keeps the whole history in plain lists and checks each decision against it."""

    def __init__(self, planners: int) -> None:
        self.planners = planners
        self.modes = {}
        self.started = {}
        self.history = {}  # guest: [product, deadline, answered, placed, [[machine, at, outcome]]]
        self.offers = []
        self.cancelled = set()

    def out(self, guest: str) -> bool:
        return any(d[2] is None for d in self.history[guest][4])

    def may_have_run(self, guest: str) -> list:
        return [d for d in self.history[guest][4] if d[2] is not None and d[2] not in NEVER_RAN]

    def dispatch(self, now: int, guest: str, machine: str, timeout: int) -> None:
        product, ends, answered, placed, sent = self.history[guest]
        repeat = GUEST_CLASSES[product].repeat
        assert not answered and not placed and not self.out(guest) and now + timeout <= ends
        assert guest not in self.cancelled
        assert len(sent) < DEPLOYMENT.max_dispatches
        assert self.modes.get(machine) is MachineMode.READY
        ran = self.may_have_run(guest)
        assert not (ran and repeat is RepeatSemantics.AT_MOST_ONCE)
        if ran and repeat is RepeatSemantics.DEDUPLICATED:
            assert now <= min(d[1] for d in ran) + GUEST_CLASSES[product].dedup_window
            assert GUEST_CLASSES[product].dedup_scope is Scope.ALL or CELLS[machine] == CELLS[ran[0][0]]
        if GUEST_CLASSES[product].spread_scope is Scope.MACHINE:
            there = sum(
                d[0] == machine and d[2] is None
                for h in self.history.values()
                for d in h[4]
                if h[0] == product
            )
            assert there < GUEST_CLASSES[product].spread_limit
        self.offers.append((now, machine))
        if now - self.started.get(machine, -(10**12)) < DEPLOYMENT.warmup_time:
            recent = sum(m == machine and at > now - DEPLOYMENT.cold_budget_window for at, m in self.offers)
            assert recent <= -(-DEPLOYMENT.cold_offers // self.planners)  # their sum: see test_decisions
        sent.append([machine, now, None])

    def answer(self, now: int, guest: str, kind: DecisionKind) -> None:
        product, ends, answered, placed, _ = self.history[guest]
        assert not answered and not placed and now <= ends + 8 * MS
        if kind is DecisionKind.REFUSE:
            repeat, ran = GUEST_CLASSES[product].repeat, self.may_have_run(guest) or self.out(guest)
            assert not (
                ran
                and (
                    repeat is RepeatSemantics.AT_MOST_ONCE
                    or repeat is RepeatSemantics.DEDUPLICATED
                    and GUEST_CLASSES[product].dedup_scope is not Scope.ALL
                )
            )
        self.history[guest][2] = True

    def nobody_lost(self, now: int) -> None:
        for _, ends, answered, placed, _ in self.history.values():
            assert answered or placed or now < ends + 8 * MS


events = st.lists(
    st.tuples(
        st.sampled_from(
            ["arrive"] * 3 + ["found", "end", "end", "taken", "list", "report", "leave", "cancel", "late"]
        ),
        st.integers(0, 40),
        st.integers(0, 9),
        st.integers(1, 400),
    ),
    min_size=5,
    max_size=120,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(events, st.sampled_from([1, 2, 3, 40]), st.booleans())
def test_scheduler_and_model_agree(steps: list, planners: int, running: bool) -> None:
    scheduler = Scheduler(3, DEPLOYMENT._replace(planners=planners, confirms_when_running=running))
    model, now = Model(planners), 10**9
    scheduler.machines_listed(now, [entry(n, cell=CELLS[n]) for n in "abcdef"], True)
    model.modes = dict.fromkeys("abcdef", MachineMode.READY)
    for at, (what, pick, kind, wait) in enumerate([*steps, *[("wait", 0, 0, 400)] * 16]):
        name, machine = f"g{at}", "abcdef"[kind % 6]
        open_now = [(g, h) for g, h in model.history.items() if model.out(g)]
        if what == "arrive":
            time_left = (5000 if pick else 10) * MS
            for more in range(15 if wait > 250 else 1):  # sometimes a burst
                model.history[f"{name}.{more}"] = [kind % 5, now + time_left, False, False, []]
                scheduler.guest_submitted(
                    now, submission(f"{name}.{more}", kind % 5, 0.2 + pick / 8, time_left)
                )
        elif what == "found" and GUEST_CLASSES[kind % 5].spread_scope is Scope.NOWHERE:
            model.history[name] = [kind % 5, now, False, True, [[machine, now, None]]]
            scheduler.guest_discovered(now, machine, submission(name, kind % 5))
        elif what == "end" and open_now:
            guest, held = open_now[pick % len(open_now)]
            outcome = list(DispatchOutcome)[kind % 8]
            closed = held[2] or held[3]
            held[4][-1][2] = outcome
            reason = OutcomeReason(pick % 5)
            scheduler.dispatch_ended(now, guest, outcome, closed, reason)
        elif what == "taken" and open_now:
            guest, held = open_now[pick % len(open_now)]
            if not held[2] and not held[3]:
                held[3] = True
                scheduler.dispatch_accepted(now, guest, 5 * MS)
        elif what == "list":
            mode, started = list(MachineMode)[pick % 3], now if pick % 2 else 0
            named = machine if kind < 6 else "abcdef"[: kind - 3]  # one machine, most, or all of them
            for machine in named:
                model.modes[machine] = mode
                model.started[machine] = max(started, model.started.get(machine, -(10**12)))
            scheduler.machines_listed(now, [entry(m, mode, started, CELLS[m], 24.0) for m in named], False)
        elif what == "report":
            scheduler.machine_reported(now, machine, Load(pick / 2, float(pick), None))
        elif what == "cancel" and model.history:
            guest = list(model.history)[pick % len(model.history)]
            if not model.history[guest][2]:
                model.cancelled.add(guest)
                scheduler.guest_cancelled(now, guest)
        elif what == "late" and model.history:
            guest = list(model.history)[pick % len(model.history)]
            product, ends, answered, placed, sent = model.history[guest]
            given_up = [d for d in sent if d[2] is DispatchOutcome.TIMED_OUT]
            if given_up and GUEST_CLASSES[product].spread_scope is Scope.NOWHERE:
                held = not answered and not placed and not model.out(guest)
                unknown = (
                    guest not in scheduler.guests
                    and GUEST_CLASSES[product].repeat is not RepeatSemantics.IDEMPOTENT
                )
                scheduler.late_copy_accepted(now, given_up[0][0], submission(guest, product))
                if held or unknown:  # the guest is placed there now; no final answer may follow
                    assert scheduler.guests[guest].placed
                    model.history[guest][2:4] = [True, True]
                    sent.append([given_up[0][0], now, None])
        elif what == "leave" and model.history:
            guest = list(model.history)[pick % len(model.history)]
            if not model.history[guest][3]:
                model.history[guest][2] = True
                scheduler.guest_abandoned(now, guest)
        last = now + wait * MS
        while True:  # as the host does, decide again at the requested times
            for _ in range(10_000):
                decision = scheduler.decide(now)
                if decision is None:
                    break
                if decision.kind is DecisionKind.DISPATCH:
                    model.dispatch(now, decision.guest, decision.machine, decision.timeout)
                elif decision.kind is DecisionKind.WITHDRAW:
                    copy = any(d[2] is DispatchOutcome.TIMED_OUT for d in model.history[decision.guest][4])
                    assert decision.guest in model.cancelled or copy
                elif decision.kind in (DecisionKind.REFUSE, DecisionKind.FAIL):
                    model.answer(now, decision.guest, decision.kind)
            else:
                raise AssertionError("decide does not come to an end")
            model.nobody_lost(now)
            ask_again = scheduler.next_decision_at(now)
            if ask_again is None or max(ask_again, now + MS) > last:
                break
            now = max(ask_again, now + MS)
        now = last
