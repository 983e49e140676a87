"""Benchmark scripts; `python -m benchmarks.NAME --help` lists the options of one."""
