"""Models of a planner's peers: machines, the list service and owners. They do no I/O and read no clock;
the stand-ins wrap them, and all they know of planners are the protocol's messages."""
