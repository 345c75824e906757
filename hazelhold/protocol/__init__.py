"""The messages between owners, planners, machines and the list service, and their frames."""
