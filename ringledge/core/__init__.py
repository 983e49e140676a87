"""Requests, attempts and outcomes; no wire is known here."""
