"""Gossip membership among planners (SWIM). A member's view is a hint for routing and diagnosis, never a
proof."""
