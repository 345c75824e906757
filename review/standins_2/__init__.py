"""Stand-ins of the second review: machines, the bulletin, owners and the start of planner processes."""
