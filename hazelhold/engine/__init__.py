"""The planner engine: turns events into actions around one scheduler, without I/O or a clock of its own."""
