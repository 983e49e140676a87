"""The main command group: serve, check the configuration, print the version."""

from __future__ import annotations

import asyncio
import sys
from typing import NoReturn

import anyio
import click

from ringledge import __version__
from ringledge.cli.lazy import LazyGroup
from ringledge.lifecycle import config as configuration
from ringledge.lifecycle import serve as program
from ringledge.lifecycle import signals
from ringledge.observe.logging import LEVELS, log
from ringledge.structures.transient_errors import is_transient, retry_while_transient


@click.group(cls=LazyGroup, invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """Route clients' requests to the prefill and decode servers of a language model."""
    if context.invoked_subcommand is None:
        context.invoke(serve)


@main.command()
@click.option("--log-level", type=click.Choice(LEVELS), default="info", envvar="RINGLEDGE_LOG_LEVEL")
def serve(log_level: str = "info") -> None:
    """Serve (the default), as configured by RELAY_CONFIG and the files under deploy/."""
    signals.block_reload_signals()  # until the program installs its handlers
    config = _load_config()
    log.configure(log_level, config.name)
    anyio.run(program.serve, config, backend_options={"loop_factory": _make_loop})


@main.command()
def check_config() -> None:
    """Validate the configuration, disabled files included, and print a summary."""
    config = _load_config()
    try:
        configuration.load_deploy_settings(check_disabled=True)
    except configuration.ConfigError as error:
        _exit_unusable(error)
    known = len(config.known_endpoints.endpoints)
    click.echo(f"{config.name}: listens at {config.listen}, discovery at {config.discovery}")
    click.echo(f"operators' front: {config.operator or 'none'}")
    click.echo(f"classes {', '.join(config.names.classes)}; {known} servers known")
    click.echo(f"enabled settings files: {', '.join(config.deploy_settings) or 'nothing'}")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"ringledge {__version__}")


def _make_loop() -> asyncio.AbstractEventLoop:
    """Create the event loop, with retries in case descriptors have run out briefly."""
    return retry_while_transient(asyncio.new_event_loop)


def _load_config() -> configuration.Config:
    """Read the configuration, with retries after transient errors; exits if it is unusable."""
    try:
        return retry_while_transient(_load_once)
    except (configuration.ConfigError, OSError) as error:
        _exit_unusable(error)


def _load_once() -> configuration.Config:
    """Read the configuration once; raises OSError if a retry may succeed."""
    try:
        return configuration.load()
    except configuration.ConfigError as error:
        if isinstance(error.__cause__, OSError) and is_transient(error.__cause__):
            raise error.__cause__ from error
        raise


def _exit_unusable(error: Exception) -> NoReturn:
    """Print the reason why the configuration is unusable, and exit with status 2."""
    click.echo(f"configuration: {error}", err=True)
    sys.exit(2)
