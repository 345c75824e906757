"""The operators' platform: its protocol as one more entrance and exit of the planner."""
