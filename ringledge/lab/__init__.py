"""Stand-in servers and load on loopback; nothing in the program imports it."""
