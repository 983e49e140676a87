"""The command line, one module a group."""

from ringledge.cli.lab import lab
from ringledge.cli.serve import main

main.add_command(lab)

__all__ = ["main"]
