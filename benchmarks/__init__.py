"""Measurements, a script each; `python -m benchmarks.NAME --help` says how."""
