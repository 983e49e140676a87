"""Decisions about servers: reachability, cache releases, health checks and connection timeouts."""
