"""Describes the command line: each command with its arguments and options."""

from __future__ import annotations

from typing import Any

import click
import orjson

from ringledge.cli import main


def _parameter(each: click.Parameter) -> dict[str, Any]:
    described: dict[str, Any] = {"kind": each.param_type_name, "names": [*each.opts, *each.secondary_opts]}
    described["type"] = [each.type.name, *map(str, getattr(each.type, "choices", ()))]
    described |= {"required": each.required, "nargs": each.nargs, "envvar": each.envvar}
    if isinstance(each, click.Option):
        default = None if callable(each.default) else each.default
        described |= {"flag": each.is_flag, "multiple": each.multiple, "default": repr(default)}
    return described


def _command(command: click.Command) -> dict[str, Any]:
    described: dict[str, Any] = {"parameters": [_parameter(each) for each in command.params]}
    if isinstance(command, click.Group):
        context = click.Context(command)
        found = {name: command.get_command(context, name) for name in command.list_commands(context)}
        described["commands"] = {name: _command(each) for name, each in found.items() if each is not None}
    return described


def command_line_text() -> str:
    """The tree of commands as JSON."""
    return orjson.dumps(_command(main), option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS).decode() + "\n"


def write_command_line() -> dict[str, bytes]:
    """The golden file, by name."""
    return {"command-line.json": command_line_text().encode()}
