"""The `hazelhold` command line: one module for each command or group of commands."""
