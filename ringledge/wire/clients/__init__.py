"""Serving clients: accepting connections, reading their requests, and the fronts."""
