"""A randomized fault soak: real processes on loopback, overlapping troubles, invariants as the oracle."""
