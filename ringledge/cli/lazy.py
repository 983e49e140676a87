"""Commands that are imported when they are called: a process that serves never needs them."""

from __future__ import annotations

from importlib import import_module

import click

LAZY_COMMANDS = ("lab", "members", "queue")  # each defined in the module of its name in this package


class LazyGroup(click.Group):
    """A group of its own commands and LAZY_COMMANDS."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of that name; None where there is none."""
        if cmd_name in LAZY_COMMANDS:
            command: click.Command = getattr(import_module(f"ringledge.cli.{cmd_name}"), cmd_name)
            return command
        return super().get_command(ctx, cmd_name)
