"""Runs the decision module of an earlier revision with the present program.

Until dbb747d the module was brain.py, with other names for much of it and of its interface. These are
translated token by token; decisions do not depend on names.
"""

import importlib.util
import io
import subprocess
import sys
import tempfile
import tokenize
from pathlib import Path
from types import ModuleType

ROOT = Path(__file__).parent.parent
PACKAGE = "hazelhold"
# Earlier and present names of classes, enumeration members, fields, and what else other modules use.
# One text, so that a tool that renames identifiers leaves it as it is.
NAMES = dict(
    line.split()
    for line in """
    Ask Submission
    Brain Scheduler
    Earlier EarlierDispatch
    Effect RepeatSemantics
    Ending DispatchOutcome
    Health MachineHealth
    Kind MachineKind
    Learned LearnedState
    Listed ListedMachine
    Mode MachineMode
    Place Scope
    Product GuestClass
    Remark OutcomeReason
    Service ServiceUsage
    Step DecisionKind
    BREAK_OFF FAIL
    CALLED_OFF WITHDRAWN
    CALL_OFF WITHDRAW
    CUT_OFF INTERRUPTED
    DONE COMPLETED
    EXCLUSIVE AT_MOST_ONCE
    FOLLOW_LIST WATCH_LIST
    LINE_FULL QUEUE_FULL
    NOT_HERE NOT_ACCEPTED
    NO_CONNECTION UNREACHABLE
    OVERDUE TIMED_OUT
    PUSHED_OUT PREEMPTED
    RERUNNABLE IDEMPOTENT
    SENT_AWAY DRAINED
    TICKETED DEDUPLICATED
    TURNED_BACK REFUSED
    TURN_BACK REFUSE
    ask_within list_poll_limit
    cold_for warmup_time
    cold_window cold_budget_window
    confirms_running confirms_when_running
    cores_room free_cores
    dispatches_named dispatches_identified
    earlier earlier_dispatch
    easy_until full_service_load
    effect repeat
    goal_time start_target
    group dedup_scope
    kind machine_kind
    kinds machine_kinds
    list_has_room list_shows_free
    list_is_asked list_is_polled
    lost_after service_fade
    makes_room preempts
    memory_room free_memory
    patience time_left
    payoff value
    products guest_classes
    reports_count_asked reports_count_requested
    spent dispatches_used
    spread spread_scope
    spread_most spread_limit
    start_bonus start_value
    window dedup_window
    ask submission
    avoid_until backoff_until
    copy_stands late_copy_accepted
    dispatch_held_back dispatch_not_sent
    dispatch_stands restore_dispatch
    dispatch_taken dispatch_accepted
    goal_at start_target_at
    guest_arrived guest_submitted
    guest_found guest_discovered
    guest_left guest_abandoned
    guest_runs guest_started
    guest_served service_level_reported
    kept_well persistence_healthy
    learned learned_state
    list_heard list_unchanged
    list_taken list_currency_changed
    may_run may_have_run
    memory_pressed memory_pressure_reported
    mute unresponsive
    next_look next_decision_at
    offers_kept restore_offers
    out outstanding
    patience_at deadline
    place scope_key
    product guest_class
    remembered restore_learned
    room free_capacity
    state_kept persistence_changed
    strikes failures
    waiting held
    """.strip().split("\n")
)
# Fields of these objects keep their names: (object, field).
KEPT = {("ask", "product"), ("health", "avoid_until"), ("health", "mute"), ("health", "strikes")}


def translate(text: str) -> str:
    """The text of a module that still defines Brain, in present names; any other text as it is."""
    if "class Brain" not in text:
        return text
    lines = text.splitlines(keepends=True)
    names = [t for t in tokenize.generate_tokens(io.StringIO(text).readline) if t.string.strip()]
    for at in range(len(names) - 1, -1, -1):
        token = names[at]
        owner = names[at - 2].string if at > 1 and names[at - 1].string == "." else ""
        if token.type == tokenize.NAME and token.string in NAMES and (owner, token.string) not in KEPT:
            row, column = token.start
            line = lines[row - 1]
            lines[row - 1] = line[:column] + NAMES[token.string] + line[token.end[1] :]
    return "".join(lines)


def scheduler_text(package: Path) -> str:
    """The text for hazelhold/scheduler.py that does what the decision module of this package does."""
    present, earlier = package / "scheduler.py", package / "brain.py"
    return translate((present if present.exists() else earlier).read_text())


def load_module(text: str) -> ModuleType:
    """Imports the text of a decision module under a name of its own."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "earlier_scheduler.py"
        path.write_text(translate(text))
        spec = importlib.util.spec_from_file_location("earlier_scheduler", path)
        module = importlib.util.module_from_spec(spec)
        sys.modules["earlier_scheduler"] = module
        spec.loader.exec_module(module)
    return module


def earlier(revision: str) -> ModuleType:
    """That revision's decision module."""
    found = subprocess.run(
        ["git", "ls-tree", "--name-only", revision, f"{PACKAGE}/scheduler.py", f"{PACKAGE}/brain.py"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()
    text = subprocess.run(
        ["git", "show", f"{revision}:{found[-1]}"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    return load_module(text)
