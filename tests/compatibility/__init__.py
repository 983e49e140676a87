"""What may not change in silence: formats that other versions read, and the decisions themselves.

The files in `golden/` were written by revision e65138a, with `python -m tests.compatibility.write` as it
stood in the commit that added this package. They are never written anew: a test that differs from them has
found a change of a stored format or of a decision.
"""
