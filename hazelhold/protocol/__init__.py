"""Messages between owners, planners, machines and the list service, their framing, and traffic records."""
