"""Stand-ins for machines, the list service and owners: the models of `hazelhold.model` behind connections."""
