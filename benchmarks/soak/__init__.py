"""A randomized fault soak: real processes on loopback, overlapping faults, and an oracle.

Routers are called conductors in the plan, in the event files and in settings, and faults are called troubles.
"""
