"""The planner as a process: trio, connections, timers, logs."""
