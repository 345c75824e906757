"""Values that must be the same for all planners (quorum registers). They are agreed by majorities of
configured replica sets, whatever the membership view is."""
