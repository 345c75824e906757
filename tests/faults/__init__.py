"""Fault tests: planner processes on loopback among stand-ins with faults, judged by what these saw."""
