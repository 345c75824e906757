"""Durable planner state: images of guests and answers, stored in snapshots and logs, and their recovery."""
