"""Groups of commands that are imported when they are called: a process that serves never needs them."""

from __future__ import annotations

from importlib import import_module

import click

GROUPS = ("lab", "members", "queue")  # each a module here, with a command of its name


class Lazy(click.Group):
    """The commands of its own and those of GROUPS."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All their names."""
        return sorted([*super().list_commands(ctx), *GROUPS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """One of them; None where there is none of that name."""
        if cmd_name in GROUPS:
            command: click.Command = getattr(import_module(f"ringledge.cli.{cmd_name}"), cmd_name)
            return command
        return super().get_command(ctx, cmd_name)
