"""Who else is there, as far as that can be known: a hint for routing and for saying what is wrong, never a
proof."""
