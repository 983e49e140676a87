"""``ringledge members``: lists the cluster's members as one member sees them."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import orjson

if TYPE_CHECKING:
    from ringledge.decide.membership.messages import MembershipUpdate


@click.command()
@click.option("--at", "address", default="", metavar="IP:PORT",
              help="Member to query; default: local member of RELAY_CONFIG or members.toml.")  # fmt: skip
@click.option("--wait", "wait_s", default=2.0, show_default=True, help="Seconds to wait for a response.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per member.")
def members(address: str, wait_s: float, as_json: bool) -> None:
    """Query a running member for the member list, with the cluster's key. Exits with 1 without a response."""
    from ringledge.lifecycle import settings_files
    from ringledge.lifecycle.config import DEFAULT_DEPLOY_FOLDER
    from ringledge.members.settings import MembersConfig, with_platform_config
    from ringledge.members.snapshot_query import query_members

    try:
        path = Path(os.environ.get("RINGLEDGE_DEPLOY", DEFAULT_DEPLOY_FOLDER)) / "members.toml"
        settings = settings_files.read_settings(MembersConfig, path)
        if settings is None:
            raise ValueError(f"{path}: absent or not enabled")
        if not address:
            config_path = os.environ.get("RELAY_CONFIG")
            config = orjson.loads(Path(config_path).read_bytes()) if config_path else {}
            address = with_platform_config(settings, config).listen
        rows = query_members(settings.cluster, settings.key(), address, wait_s)
    except (OSError, ValueError, settings_files.SettingsError) as error:
        click.echo(f"members: {error}", err=True)
        sys.exit(2)
    if not rows:
        click.echo(f"members: no answer from {address} in {wait_s:g} s", err=True)
        sys.exit(1)
    for member in sorted(rows, key=lambda each: each.name):
        click.echo(_format_json(member) if as_json else _format_line(member))


def _format_json(member: MembershipUpdate) -> str:
    fields = {
        "name": member.name,
        "status": member.status.name.lower(),
        "start": member.start,
        "incarnation": member.incarnation,
        "address": member.address,
        "site": member.site,
    }
    return orjson.dumps(fields).decode()


def _format_line(member: MembershipUpdate) -> str:
    columns = (
        f"{member.name:24}",
        f"{member.status.name.lower():8}",
        str(member.start),
        member.address,
        member.site,
    )
    return " ".join(columns).rstrip()
