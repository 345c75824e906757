"""What outlives a planner's process: images of guests and answers, a log with snapshots, recovery."""
