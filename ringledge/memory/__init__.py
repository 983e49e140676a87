"""State of the running process that is kept in memory."""
