"""Deterministic decision logic beside the routing policy: events and the time in, actions out.

Nothing here does I/O, reads a clock or uses global randomness.
"""
