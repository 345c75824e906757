"""Configuration files and rehearsal day files: JSON5, validated completely when they are loaded."""
