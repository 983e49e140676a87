"""The state that the program holds in memory while it runs."""
