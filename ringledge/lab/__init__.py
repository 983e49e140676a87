"""Stand-in servers and a load generator on loopback; the router itself does not import this package."""
