"""The planner on the operators' platform, which has a protocol and a configuration file of its own."""
