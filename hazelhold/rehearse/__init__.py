"""Plays a day: planners, stand-ins and troubles on one host, then the audit."""
