"""The command line: one module for each group of commands."""

from ringledge.cli.serve import main

__all__ = ["main"]
