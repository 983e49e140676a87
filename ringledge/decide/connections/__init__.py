"""Decisions on client connections: admission, and eviction when the limit is reached."""
