"""Capacity: what each role costs by size, fitted, against the demand of the target."""
