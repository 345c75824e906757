"""Judges records of frames by the five rules. Imports nothing of the planner or of the decisions."""
