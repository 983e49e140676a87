"""Durable state."""
