"""``ringledge members``: who is there, as one member sees it."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click
import orjson


@click.command()
@click.option("--at", "address", default="", metavar="IP:PORT",
              help="Who is asked; else peer_listen of RELAY_CONFIG or listen of members.toml.")  # fmt: skip
@click.option("--wait", "wait_s", default=2.0, show_default=True, help="Seconds to wait for an answer.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a member.")
def members(address: str, wait_s: float, as_json: bool) -> None:
    """Ask a running member, with the cluster's key, who is there. Exits 1 without an answer."""
    from ringledge.lifecycle import settings_files
    from ringledge.lifecycle.config import DEPLOY
    from ringledge.members.settings import MembersConfig, with_platform_config
    from ringledge.members.snapshot_query import query_members

    try:
        path = Path(os.environ.get("RINGLEDGE_DEPLOY", DEPLOY)) / "members.toml"
        settings = settings_files.read_settings(MembersConfig, path)
        if settings is None:
            raise ValueError(f"{path}: absent or not enabled")
        if not address:
            told = os.environ.get("RELAY_CONFIG")
            address = with_platform_config(
                settings, orjson.loads(Path(told).read_bytes()) if told else {}
            ).listen
        rows = query_members(settings.cluster, settings.key(), address, wait_s)
    except (OSError, ValueError, settings_files.SettingsError) as error:
        click.echo(f"members: {error}", err=True)
        sys.exit(2)
    if not rows:
        click.echo(f"members: no answer from {address} in {wait_s:g} s", err=True)
        sys.exit(1)
    for row in sorted(rows, key=lambda each: each.name):
        if as_json:
            told_of = {
                "name": row.name,
                "status": row.status.name.lower(),
                "start": row.start,
                "incarnation": row.incarnation,
                "address": row.address,
                "site": row.site,
            }
            click.echo(orjson.dumps(told_of).decode())
        else:
            words = (f"{row.name:24}", f"{row.status.name.lower():8}", str(row.start), row.address, row.site)
            click.echo(" ".join(words).rstrip())
