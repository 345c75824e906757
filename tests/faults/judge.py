"""The rules, held against what the stand-ins saw. `ACCEPTED` figures are the operators' terms."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import Enum
from math import sqrt

from tests.faults.record import Attempt, Closed, Life, Record, Request

DRAIN_GRACE = 0.25
SLACK = 0.05  # every limit in time is so much longer
AFTER_CLOSE = 0.1  # an attempt may begin so long after its client closed or cancelled
DEADLINE_SLACK = 0.15
LAG_COUNTS = 0.02  # seconds by which the stand-ins have to be late
ANSWER_SLACK = 0.5  # up to here past its time an answer earns nothing; later it is lost
RELEASE_WITHIN = 1.0
RELEASE_AT_LATEST = 8.0
LATE_ARRIVAL = 0.7  # what came later than this after SIGTERM is not owed
READY_WITHIN = 10.0
MOST_ATTEMPTS = 4


class Rule(Enum):
    """What may be broken."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    SLOW_START = "slow start"
    DEADLINE = "deadline passed on"
    CRASH = "crash"
    READY = "ready"


@dataclass(frozen=True)
class Violation:
    """One broken rule, with when and what."""

    rule: Rule
    at: float
    what: str


class Judge:
    """Judges one run. `cold_calls` and `cold_window` as in the settings."""

    def __init__(self, record: Record, cold_calls: float, cold_window: float, cold_for: float) -> None:
        self.record = record
        self.cold_calls, self.cold_window, self.cold_for = cold_calls, cold_window, cold_for
        self.found: list[Violation] = []
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(record.attempts, key=lambda each: each.at):
            self.attempts[attempt.request].append(attempt)

    def judge(self) -> list[Violation]:
        for request in self.record.requests.values():
            self._replies(request)
            self._attempts(request)
            self._release(request)
        for attempt in self.record.attempts:
            self._drained(attempt)
        self._slow_starts()
        self._lives()
        return sorted(self.found, key=lambda each: each.at)

    def summary(self) -> dict[str, int]:
        return dict(Counter(each.rule.value for each in self.found))

    def _break(self, rule: Rule, at: float, what: str) -> None:
        self.found.append(Violation(rule, at - self.record.began, what))

    def _lag(self, start: float, end: float) -> float:
        """How late the stand-ins themselves were at worst: they may have seen something so much later."""
        return max(
            (lag for at, lag in self.record.lags if start - 0.05 <= at <= end + lag + 0.05), default=0.0
        )

    def _read_late(self, attempt: Attempt) -> float:
        """How late the stand-ins were to see an attempt, at worst."""
        late = attempt.unread_for if attempt.unread_for > LAG_COUNTS else 0.0
        return max(late, self._lag(attempt.at - 0.3, attempt.at))

    def _life_at(self, planner: str, at: float) -> Life | None:
        lives = [each for each in self.record.lives if each.planner == planner and each.started_at <= at]
        return lives[-1] if lives else None

    def _runs_from(self, planner: str, at: float) -> float:
        """This moment, or the end of the stop of the planner's process in which it falls. Only limits on what
        a planner has to do are counted so: what it may do no longer is measured from the event itself."""
        life = self._life_at(planner, at)
        for stop in life.stops if life is not None else ():
            if stop.began_at <= at < stop.ended_at:
                return stop.ended_at
        return at

    # A request's answer.

    def _replies(self, request: Request) -> None:
        finals = [each for each in request.replies if each.kind == "answer"]
        ends = [each for each in request.replies if each.kind in ("end", "move")]
        text = f"request {request.id} ({request.product}) of {request.planner}"
        if len(finals) > 1 or len(ends) > 1 or (finals and ends and ends[0].at < finals[0].at):
            self._break(Rule.LOST, request.replies[-1].at, f"{text}: told twice, {request.replies}")
        if any(each.kind == "move" for each in ends) and not finals:
            self._break(Rule.LOST, ends[0].at, f"{text}: moved, and was not placed")
        for reply in finals:
            made = {each.description for each in self.attempts[request.id] if each.outcome == "accepted"}
            if reply.description.decode() not in made:
                self._break(Rule.LOST, reply.at, f"{text}: an answer that no server made")
        if request.closed is not None or request.connection in self.record.broken_connections:
            return  # nobody waits, or the fault broke its connection, which its client can tell
        taken = max(request.sent_at, self.record.accepted_at.get(request.connection, 0.0))
        due = self._runs_from(request.planner, taken + request.patience) + ANSWER_SLACK
        answered = request.answered_at
        if answered is None and (due > self.record.ended or self._excused(request)):
            return
        if answered is None:
            how = "closed with no answer" if request.connection_ended_at else "never answered"
            self._break(Rule.LOST, request.connection_ended_at or due, f"{text}: {how}")
        elif answered > due + self._lag(due, answered):
            self._break(Rule.LOST, answered, f"{text}: answered {answered - due + ANSWER_SLACK:.3f} s late")

    def _excused(self, request: Request) -> bool:
        """It came too late before a kill that was announced."""
        life = self._life_at(request.planner, request.sent_at)
        if life is None or life.told_to_stop_at is None:
            return False
        late = request.sent_at > life.told_to_stop_at + LATE_ARRIVAL
        return late and life.ended_at is not None

    # Its attempts.

    def _attempts(self, request: Request) -> None:
        attempts = self.attempts[request.id]
        text = f"request {request.id} ({request.product}) of {request.planner}"
        if len(attempts) > MOST_ATTEMPTS:
            self._break(Rule.DUPLICATE, attempts[-1].at, f"{text}: {len(attempts)} attempts")
        for before, after in zip(attempts, attempts[1:], strict=False):
            ended = before.ended_at
            if ended is None or ended > after.at + SLACK + self._lag(after.at, ended or after.at):
                self._break(Rule.DUPLICATE, after.at, f"{text}: out at {before.server} and {after.server}")
            if request.product == "once" and any(
                each.may_have_run for each in attempts if each.at < after.at
            ):
                self._break(Rule.DUPLICATE, after.at, f"{text}: again at {after.server} after {before}")
        for attempt in attempts:
            lag = self._read_late(attempt)
            if request.closed_at is not None and request.closed is not Closed.KILLED:
                late = attempt.at - request.closed_at - AFTER_CLOSE
                if late > lag:
                    self._break(
                        Rule.LOST, attempt.at, f"{text}: attempt {late:.3f} s too late after its close"
                    )
            left = request.sent_at + request.patience - attempt.at
            if attempt.left > left + DEADLINE_SLACK + lag:
                self._break(
                    Rule.DEADLINE, attempt.at, f"{text}: {attempt.left:.3f} s passed on, {left:.3f} s left"
                )
            answered = request.answered_at
            if answered is not None and attempt.at > answered + AFTER_CLOSE + lag:
                self._break(Rule.LOST, attempt.at, f"{text}: an attempt after its answer")
        refused = next((r for r in request.replies if r.kind == "end" and r.cause == 34), None)
        ran = [each for each in attempts if each.may_have_run and refused and each.at < refused.at]
        if request.product == "once" and refused and ran and request.closed is None:
            self._break(Rule.DUPLICATE, refused.at, f"{text}: refused, and may have run: {ran[0]}")

    def _drained(self, attempt: Attempt) -> None:
        """What is in the list counts as told at once, also where discovery does not get it across."""
        told = self.record.servers[attempt.server].drain_told.get(attempt.planner)
        if told is None:
            return
        late = attempt.at - told - DRAIN_GRACE - SLACK
        if late > self._read_late(attempt):
            self._break(
                Rule.DRAIN,
                attempt.at,
                f"{attempt.request}: {attempt.planner} to {attempt.server} {late:.3f} s past the grace",
            )

    # Ends of what stood.

    def _release(self, request: Request) -> None:
        answer = next((r for r in request.replies if r.kind == "answer"), None)
        description = answer.description.decode() if answer else None
        stood = next((a for a in self.attempts[request.id] if a.description == description), None)
        if stood is None or answer is None or request.closed is not None or request.ended_by_client_at:
            return
        text = f"request {request.id} of {request.planner}"
        end = next((r for r in request.replies if r.kind in ("end", "move")), None)
        if (
            end is not None
            and end.kind == "end"
            and (stood.over_at is None or end.at < (stood.lost_at or stood.over_at) - SLACK)
        ):
            self._break(Rule.LOST, end.at, f"{text}: released while it stood at {stood.server}")
        if stood.over_at is None or end is not None and end.at <= stood.over_at + RELEASE_WITHIN:
            return
        due = self._runs_from(request.planner, stood.over_at + RELEASE_AT_LATEST)
        told_at = self._told_at(stood)
        if told_at is not None:
            read = self._runs_from(request.planner, told_at)
            if not self._was_away(request.planner, read):
                due = self._runs_from(request.planner, read + RELEASE_WITHIN) + SLACK
        if end is None and due > self.record.ended:
            return
        if end is None or end.at > due + self._lag(due, end.at):
            when = "never" if end is None else f"{end.at - stood.over_at:.3f} s later"
            self._break(Rule.LOST, due, f"{text}: over at {stood.server}, released {when}")

    def _told_at(self, stood: Attempt) -> float | None:
        """When the planner could read the end: what was written to a connection that a fault of its system
        broke before it was due is lost, and told again on the next one."""
        if not stood.end_writes:
            return stood.over_told_at
        for write in stood.end_writes:
            broke_at = self.record.broken_links.get(write.link)
            if broke_at is None or abs(broke_at - write.at) > RELEASE_WITHIN:
                return write.at
        return None

    def _was_away(self, planner: str, at: float) -> bool:
        """Whether no life of the planner was up around this time, or its hand-over was still on."""
        for life in self.record.lives:
            if life.planner != planner:
                continue
            ready = life.ready_at if life.ready_at is not None else float("inf")
            stop = life.told_to_stop_at or life.killed_at or life.ended_at or float("inf")
            if ready + 1.0 <= at <= stop - RELEASE_WITHIN:
                return False
        return True

    # Servers in slow start, and processes.

    def budget(self) -> float:
        """The most calls that a server in slow start may get within the window."""
        calls = self.cold_calls
        return calls + 3 * sqrt(calls) + 3 if calls < 30 else calls + 2 * sqrt(calls) + 2

    def _slow_starts(self) -> None:
        by_server: dict[str, list[float]] = defaultdict(list)
        for attempt in self.record.attempts:
            by_server[attempt.server].append(attempt.at)
        for server in self.record.servers.values():
            times = sorted(by_server[server.name])
            if server.started_at is not None:
                self._slow_start(server.name, [t for t in times if t < server.started_at + self.cold_for])
            if server.told_restart is not None:  # one that nobody was told of is nobody's to spare
                until = server.restarted_at + self.cold_for
                self._slow_start(server.name, [t for t in times if server.told_restart <= t < until])

    def _slow_start(self, server: str, times: list[float]) -> None:
        """The calls that a server in slow start was sent."""
        first = 0
        for at, time in enumerate(times):
            while times[first] < time - self.cold_window:
                first += 1
            calls = at - first + 1
            if calls > self.budget():
                self._break(Rule.SLOW_START, time, f"{server}: {calls} calls, {self.budget():.1f} allowed")
                return

    def _lives(self) -> None:
        slow, restarts = 0, 0
        for life in self.record.lives:
            if life.ended_at is not None and not life.expected_end:
                self._break(Rule.CRASH, life.ended_at, f"{life.planner} ended with {life.exit_code}")
            if (
                life.told_to_stop_at is not None
                and life.killed_at is None
                and life.exit_code not in (0, None)
            ):
                self._break(Rule.CRASH, life.ended_at, f"{life.planner} stopped with {life.exit_code}")
            cut = life.ended_at is not None and life.ready_at is None and life.expected_end
            if not cut:
                restarts += 1
                slow += life.ready_at is None or life.ready_at - life.started_at > READY_WITHIN
        if restarts and slow * 10 > restarts:
            self._break(Rule.READY, self.record.began, f"{slow} of {restarts} starts took over 10 s")
