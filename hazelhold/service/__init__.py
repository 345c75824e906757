"""The planner process: connections, timers, state persistence and logs, on trio."""
