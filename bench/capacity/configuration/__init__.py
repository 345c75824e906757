"""The scale rig of the fleet's configuration: real control machines and planners among hollow followers."""
