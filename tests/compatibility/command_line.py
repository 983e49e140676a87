"""What the command line takes: each command with its arguments and options."""

from __future__ import annotations

from typing import Any

import click
import orjson

from ringledge.cli import main


def _parameter(each: click.Parameter) -> dict[str, Any]:
    told: dict[str, Any] = {"kind": each.param_type_name, "names": [*each.opts, *each.secondary_opts]}
    told["type"] = [each.type.name, *map(str, getattr(each.type, "choices", ()))]
    told |= {"required": each.required, "nargs": each.nargs, "envvar": each.envvar}
    if isinstance(each, click.Option):
        default = None if callable(each.default) else each.default
        told |= {"flag": each.is_flag, "multiple": each.multiple, "default": repr(default)}
    return told


def _command(command: click.Command) -> dict[str, Any]:
    told: dict[str, Any] = {"parameters": [_parameter(each) for each in command.params]}
    if isinstance(command, click.Group):
        context = click.Context(command)
        found = {name: command.get_command(context, name) for name in command.list_commands(context)}
        told["commands"] = {name: _command(each) for name, each in found.items() if each is not None}
    return told


def command_line_text() -> str:
    """The whole tree as JSON."""
    return orjson.dumps(_command(main), option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS).decode() + "\n"


def write_command_line() -> dict[str, bytes]:
    """The golden file by name."""
    return {"command-line.json": command_line_text().encode()}
