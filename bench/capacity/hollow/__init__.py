"""A scale rig: real planner processes among hollow workers that speak the real protocol on loopback sockets.

A hollow worker accepts every offer, starts nothing and tells the end of each task when its time is over.
Hundreds of them share one process and one event loop, so that a machine can hold the whole target size.
"""
