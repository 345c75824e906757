"""Models of what a planner meets: machines, the list service, owners. No input, output or clock in them; the
stand-ins are shells round them, and they know nothing of planners beyond the protocol's messages."""
