"""The command line, one module a group."""

from ringledge.cli.lab import lab
from ringledge.cli.members import members
from ringledge.cli.serve import main

main.add_command(lab)
main.add_command(members)

__all__ = ["main"]
