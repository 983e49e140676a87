"""Decisions outside the policy: no I/O, no clock, no global randomness; events and a time in, actions out."""
