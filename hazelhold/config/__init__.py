"""Configuration and day files: JSON5, checked whole at load."""
