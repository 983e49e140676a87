"""Compatibility tests: stored formats and decisions are compared with golden files.

The files in `golden/` were written by revision e65138a, with `python -m tests.compatibility.write` as of the
commit that added this package. They are never regenerated: a difference from them is a change of a stored
format or of a decision.
"""
