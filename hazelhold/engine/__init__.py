"""The planner engine: events in, actions out, one Brain inside; no input, output or clock."""
