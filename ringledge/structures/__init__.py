"""Data structures that know nothing of ringledge."""
