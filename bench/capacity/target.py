"""The target size, as the operators told it, and what had to be assumed besides.

An assumption is marked as one wherever it enters a demand. docs/CAPACITY.md lists them as questions.
"""

WORKERS = 7300
ACCELERATORS = 11_000
REGIONS = 8
ZONES = 24
JOBS_A_DAY = 79_000
STARTS_A_SECOND = 1200  # at the peak
TASKS_RUNNING = 23_000
GANG_MOST = 256
TEAMS = 110
CONFIGURATION_CHANGES_A_DAY = 16_000
CONFIGURATION_IN_FORCE_S = 3
URGENT_START_S = 9.4
FAILURES_A_DAY = 64
RESTARTS_A_DAY = 1400
DAY_S = 86_400

CONTROL_MACHINES = 6
BUDGET_PROCESSOR = 0.019  # of a core, a planner
BUDGET_MEMORY = 64_000_000  # bytes, a planner; assumption: a MB is a million bytes
BUDGET_TRAFFIC = 4096  # bytes a second, a planner, in and out; assumption: 4 KB are 4096 bytes

RACK_WORKERS = 40  # assumption
CONFIGURATION_BURST = 60  # times the mean, for a minute; assumption
CONFIGURATION_CHANGE_BYTES = 300  # one change as a delta; assumption
LIST_PERIOD_S = 0.5  # how often the list tells its changes; assumption: as in a rehearsed day
PLANNER_AWAY_S = 300  # a planner that returns after minutes; assumption
GANG_MEAN = 4  # tasks a job; assumption
EXCLUSIVE_SHARE = 1  # of tasks that are claimed among planners; assumption: all, the worst case
CLIENTS_A_TEAM = 2  # assumption; each connected to every planner
SERVICES_A_TEAM = 4  # assumption

START_SHARE = 0.5  # of a core, for all starts of a planner at the peak; assumption
PLANNERS = 64
"""Chosen by the slopes, since the operators told no number: see `demands.py`."""

BUDGET_DESCRIPTORS = 1024  # of a process; the usual soft limit
BUDGET_PLANNER_DESCRIPTORS = 524_288  # it raises its soft limit to the hard one: systemd's default
