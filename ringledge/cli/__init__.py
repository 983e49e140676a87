"""The command line, with one module per group of commands."""

from ringledge.cli.serve import main

__all__ = ["main"]
