"""Small stand-ins of the platform, by its protocol page: bulletin, machines, clients, planner processes.

They use the standard library alone, and nothing of the program under review."""
