"""Emulators in virtual time, without sockets: the production cores and engines at sizes beyond sockets."""
