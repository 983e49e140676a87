"""Reload of the configuration: discovery's address changes at once, all else needs a restart."""

from __future__ import annotations

from dataclasses import fields

import anyio
import anyio.abc

from ringledge.lifecycle import config as configuration
from ringledge.lifecycle.config import Config, ConfigError
from ringledge.observe.logging import log
from ringledge.wire.discovery.watcher import DiscoveryClient

RETRY_INTERVAL_S = 0.05  # between two attempts to read an unusable file
RETRY_TIMEOUT_S = 3.0  # for all attempts: discovery's new list must be in use 4 s after SIGHUP
# Fields that need no restart: discovery's address applies at once, the others matter only at a start.
RELOADABLE_FIELDS = ("discovery", "configured_discovery", "seed", "known_endpoints")


class ConfigReloader:
    """Reads the configuration again, and applies the fields that may change while the program runs."""

    def __init__(self, config: Config, discovery: DiscoveryClient, tasks: anyio.abc.TaskGroup) -> None:
        self._running_config = config
        self._latest_config = config
        self._discovery = discovery
        self._tasks = tasks
        self._retrying = anyio.CancelScope()

    def reload(self) -> None:
        """Reload now; if the file is unusable, log that and retry for RETRY_TIMEOUT_S."""
        self._retrying.cancel()
        try:
            config = configuration.load()
        except ConfigError as error:  # serve on with the previous configuration
            log.error("reload_failed", error=str(error))
            self._tasks.start_soon(self._retry)
        else:
            self._apply(config)

    async def _retry(self) -> None:
        """Retry the load: the file may have been half written, or descriptors may have run out briefly."""
        with anyio.move_on_after(RETRY_TIMEOUT_S) as self._retrying:
            while True:
                await anyio.sleep(RETRY_INTERVAL_S)
                try:
                    config = configuration.load()
                except ConfigError:
                    continue
                self._apply(config)
                return

    def _apply(self, config: Config) -> None:
        """Apply a changed address of discovery, and log the names of changes that need a restart."""
        restart_required = fields_requiring_restart(self._running_config, config)
        # An address that has changed in the file overrides the older one of RELAY_DISCOVERY.
        if config.configured_discovery != self._latest_config.configured_discovery:
            self._discovery.change_address(config.configured_discovery)
        self._latest_config = config
        log.info("reloaded", discovery=self._discovery.address, waits_for_restart=restart_required)


def fields_requiring_restart(old: Config, new: Config) -> list[str]:
    """Names of the changed fields and settings files that take effect only after a restart."""
    names = [each.name for each in fields(Config) if each.name not in (*RELOADABLE_FIELDS, "deploy_settings")]
    changed_fields = [name for name in names if getattr(new, name) != getattr(old, name)]
    changed_files = [
        name
        for name in configuration.SETTINGS_FILES
        if new.deploy_settings.get(name) != old.deploy_settings.get(name)
    ]
    return changed_fields + changed_files
