"""What a conductor is told at its start: RELAY_CONFIG, the RELAY_* variables, and files under deploy/."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import orjson

from ringledge.lifecycle import settings_files as strict
from ringledge.lifecycle.fingerprint import fingerprint
from ringledge.memory.endpoint_list import ListError, Listing, convert
from ringledge.memory.names import Names as Names
from ringledge.routing import simulator_decoder
from ringledge.routing.interface import (
    RouterSettings,
)
from ringledge.wire.clients.chat_settings import ChatConfig as ChatConfig

DEPLOY = "deploy"  # the folder of our own files; RINGLEDGE_DEPLOY names another


class ConfigError(Exception):
    """The configuration can't be used; the message says why."""


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Nested JSON as the paths of the simulator's wire, so that the adapter's reader serves for both."""
    if isinstance(value, dict):
        for key, each in value.items():
            yield from flatten(each, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and any(isinstance(each, dict) for each in value):
        yield f"{path}.count", str(len(value))
        for index, each in enumerate(value):
            yield from flatten(each, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(map(_plain, value))
    elif value is not None:
        yield path, _plain(value)


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


# Our own files under deploy/, each off unless it says `enabled = true`, with the module and the name of what
# it may say: a subsystem adds its line here, and its part's in lifecycle/parts. What is off is not imported.
FILES = {
    "chat": "ringledge.wire.clients.chat_settings:ChatConfig",
    "xds": "ringledge.wire.exporters.xds_settings:XdsConfig",
    "prometheus": "ringledge.wire.exporters.prometheus_settings:PrometheusConfig",
    "overload": "ringledge.decide.overload.settings:OverloadConfig",
    "doors": "ringledge.decide.connections.settings:DoorsConfig",
    "members": "ringledge.members.settings:MembersConfig",
    "duties": "ringledge.members.duty_settings:DutiesConfig",
    "ratio": "ringledge.decide.ratio.settings:RatioConfig",
    "queue": "ringledge.store.settings:QueueConfig",
}
PEERS = ("peer_listen", "peers", "peers_all")  # what RELAY_CONFIG tells of other conductors

S = TypeVar("S", bound=msgspec.Struct)


@dataclass(slots=True, frozen=True)
class Config:
    """Everything a conductor is told."""

    name: str
    listen: str
    operator: str  # the operators' address; empty: none
    discovery: str
    discovery_in_file: str  # what the file itself says, whatever RELAY_DISCOVERY overrides
    seed: int
    sockets: int
    memory_mb: float
    cores: float
    folder: Path  # $TMPDIR, which a conductor that takes over finds as it was left
    known: Listing  # the list as it was last known
    settings: RouterSettings
    names: Names
    extras: dict[str, msgspec.Struct]  # by file, without its ending: what is enabled
    peers: dict[str, Any]  # of other conductors, as PEERS names it

    @property
    def fingerprint(self) -> str:
        """Whose settings these are, for what is handed over and kept."""
        return fingerprint(self.settings, self.names)

    @property
    def memory(self) -> float:
        """Bytes that the process may use."""
        return self.memory_mb * 1024 * 1024

    def extra(self, kind: type[S]) -> S:
        """The settings of a file that is enabled; LookupError where it is not."""
        for each in self.extras.values():
            if isinstance(each, kind):
                return each
        raise LookupError(kind.__name__)


def _address(text: str) -> str:
    """A host and port; ValueError where it is none, for it would only fail when it is used."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"no address: {text!r}")
    return text


def _known(told: Any) -> Listing:
    try:
        return convert(told)
    except ListError as error:
        raise ValueError(f"known: {error}") from error


def extras(environ: Mapping[str, str] = os.environ, check_all: bool = False) -> dict[str, msgspec.Struct]:
    """Our own files that are enabled; `check_all`: those that are off are checked, too."""
    folder, found = Path(environ.get("RINGLEDGE_DEPLOY", DEPLOY)), dict[str, msgspec.Struct]()
    try:
        for name, place in FILES.items():
            path = folder / f"{name}.toml"
            if check_all or strict.enabled(path):
                told = strict.read(_kind(place), path)
                if told is not None:
                    found[name] = told
    except strict.SettingsError as error:
        raise ConfigError(str(error)) from error
    return found


def _kind(place: str) -> type[msgspec.Struct]:
    module, _, name = place.partition(":")
    kind: type[msgspec.Struct] = getattr(import_module(module), name)
    return kind


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG names no file")
    try:
        told = orjson.loads(Path(path).read_bytes())
        fields = dict(flatten(told["settings"]))
        listed = told["settings"]
        caps = listed.get("caps", {})
        names = Names(
            tuple(listed.get("azs", ())),
            tuple(listed.get("shapes", ())),
            tuple(each["name"] for each in listed.get("classes", ())),
            tuple(each["name"] for each in listed.get("tenants", ())),
            float(caps.get("keepalive_ms", 30_000)) / 1000,
            float(caps.get("connect_timeout_ms", 250)) / 1000,
            float(caps.get("max_retry_after_ms", 0)),
        )
        operator = environ.get("RELAY_OPERATOR") or told.get("operator")
        return Config(
            environ.get("RELAY_NAME") or told["name"],
            _address(environ.get("RELAY_LISTEN") or told["listen"]),
            _address(operator) if operator else "",
            _address(environ.get("RELAY_DISCOVERY") or told["discovery"]),
            _address(told["discovery"]),
            int(str(told.get("seed", "0")), 16),
            int(told.get("limits", {}).get("sockets", 1024)),
            float(told.get("limits", {}).get("memory_mb", 192)),
            float(told.get("limits", {}).get("cores", 1.0)),
            Path(environ.get("TMPDIR") or tempfile.gettempdir()),
            _known(told.get("known") or {"index": 0, "snapshot": True, "endpoints": []}),
            simulator_decoder.router_settings(fields),
            names,
            extras(environ),
            {key: told[key] for key in PEERS if key in told},
        )
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise ConfigError(f"{path}: missing or unknown {error}") from error
    except (ValueError, TypeError, AttributeError, ArithmeticError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
