"""The command line, one module a group."""

from ringledge.cli.lab import lab
from ringledge.cli.queue import queue
from ringledge.cli.serve import main

main.add_command(lab)
main.add_command(queue)

__all__ = ["main"]
