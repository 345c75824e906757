"""hazelhold: places long-lived guests on a cluster's machines."""

__version__ = "0.3.0"
