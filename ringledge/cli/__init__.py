"""The command line, one module a group."""

from ringledge.cli.serve import main

__all__ = ["main"]
