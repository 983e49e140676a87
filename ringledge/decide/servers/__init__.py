"""Reachability of servers, releases, health checks and connection timeouts."""
