"""Stand-ins for machines, the list service and owners: shells round the models."""
