"""Checks recorded frames against the five rules. Imports nothing of the planner or its scheduling code."""
