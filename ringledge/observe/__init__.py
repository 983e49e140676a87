"""Logging and metrics, which every floor uses."""
