"""Durable queue of a site: stores requests in an SQLite file until they are replayed."""
