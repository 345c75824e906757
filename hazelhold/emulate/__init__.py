"""Virtual time without sockets: the very cores, doors and engines, at sizes that sockets do not bear."""
