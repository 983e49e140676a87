"""Decisions about servers: reachability, KV cache releases, health checks and connection timeouts."""
