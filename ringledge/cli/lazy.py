"""A command group whose optional commands are imported when called; a serving process does not need them."""

from __future__ import annotations

from importlib import import_module

import click

LAZY_COMMANDS = ("lab", "members", "queue")  # each is defined in this package's module of the same name


class LazyGroup(click.Group):
    """A group that has LAZY_COMMANDS in addition to its own commands."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """List the names of all commands."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of that name, or None."""
        if cmd_name in LAZY_COMMANDS:
            command: click.Command = getattr(import_module(f"ringledge.cli.{cmd_name}"), cmd_name)
            return command
        return super().get_command(ctx, cmd_name)
