"""The hazelhold command."""
