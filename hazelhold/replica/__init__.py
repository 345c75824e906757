"""Values that must be one for all planners, agreed by majorities of configured sets, never by who is
thought alive."""
