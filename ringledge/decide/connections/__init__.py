"""Admission and eviction of client connections."""
