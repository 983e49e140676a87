"""The durable queue of a site: requests that wait on disk, in SQLite, until they are replayed."""
