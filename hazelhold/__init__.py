"""hazelhold: places long-lived guests on a cluster's machines."""
