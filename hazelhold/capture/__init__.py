"""Capture files of a planner's traffic: writing, reading, extracting and replaying them.

The planner writes the packets itself; no network interface is sniffed.
"""
