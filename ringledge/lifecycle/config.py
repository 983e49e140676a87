"""The router's configuration, read from RELAY_CONFIG, the RELAY_* variables and the files under deploy/."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path
from typing import Any, TypedDict, TypeVar

import msgspec
import orjson

from ringledge.lifecycle import settings_files
from ringledge.lifecycle.fingerprint import fingerprint
from ringledge.memory.endpoint_list import EndpointListing, ListError, convert
from ringledge.memory.names import WireNames as WireNames
from ringledge.routing.interface import RouterSettings
from ringledge.routing.simulator_decoder import router_settings

DEFAULT_DEPLOY_FOLDER = "deploy"  # folder of the settings files; RINGLEDGE_DEPLOY overrides it
MAX_PORT = 65535

S = TypeVar("S", bound=msgspec.Struct)


class ConfigError(Exception):
    """The configuration is unusable; the message states the reason."""


@dataclass(frozen=True, slots=True)
class SettingsFile:
    """The location of the type that a settings file is decoded to; imported only when the file is read."""

    module: str
    type_name: str

    def import_type(self) -> type[msgspec.Struct]:
        """Import the type that the file is decoded to."""
        settings_type: type[msgspec.Struct] = getattr(import_module(self.module), self.type_name)
        return settings_type


# The settings files under deploy/, by name without `.toml`. A file is disabled unless it sets
# `enabled = true`, and the modules of a disabled subsystem are not imported. To add a subsystem, add a row
# here and a component in lifecycle/composition.py.
SETTINGS_FILES = {
    "chat": SettingsFile("ringledge.wire.clients.chat_settings", "ChatConfig"),
    "xds": SettingsFile("ringledge.wire.exporters.xds_settings", "XdsConfig"),
    "prometheus": SettingsFile("ringledge.wire.exporters.prometheus_settings", "PrometheusConfig"),
    "overload": SettingsFile("ringledge.decide.overload.settings", "OverloadConfig"),
    "doors": SettingsFile("ringledge.decide.connections.settings", "AdmissionSettings"),
    "members": SettingsFile("ringledge.members.settings", "MembersConfig"),
    "duties": SettingsFile("ringledge.members.duty_settings", "DutiesConfig"),
    "ratio": SettingsFile("ringledge.decide.ratio.settings", "RatioConfig"),
    "queue": SettingsFile("ringledge.store.settings", "QueueConfig"),
}


class PeerSettings(TypedDict, total=False):
    """The unvalidated keys of RELAY_CONFIG about other routers; `members.settings` validates them."""

    peer_listen: object
    peers: object
    peers_all: object


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of a router.

    A reload logs the names of changed fields in this order, so field names are visible to operators.
    """

    name: str
    listen: str
    operator: str  # address of the operators' front; empty to disable it
    discovery: str
    configured_discovery: str  # discovery's address in the file, which RELAY_DISCOVERY may override
    seed: int
    sockets: int
    memory_mb: float
    cores: float
    folder: Path  # $TMPDIR, where a successor process finds its predecessor's files
    known_endpoints: EndpointListing  # the last known endpoint list, from the file
    settings: RouterSettings
    names: WireNames
    deploy_settings: dict[str, msgspec.Struct]  # of the enabled files, by name without `.toml`
    peers: PeerSettings

    @property
    def fingerprint(self) -> str:
        """The fingerprint of the settings, which marks handed-over and stored data."""
        return fingerprint(self.settings, self.names)

    @property
    def memory_bytes(self) -> float:
        """The process's memory limit in bytes."""
        return self.memory_mb * 1024 * 1024

    def settings_of(self, settings_type: type[S]) -> S:
        """The settings of the given type; raises LookupError if their file is disabled."""
        for settings in self.deploy_settings.values():
            if isinstance(settings, settings_type):
                return settings
        raise LookupError(settings_type.__name__)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration; raises ConfigError that names the file and the fault."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        return _read_config(orjson.loads(Path(path).read_bytes()), environ)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise ConfigError(f"{path}: missing or unknown {error}") from error
    except (ValueError, TypeError, AttributeError, ArithmeticError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error


def _read_config(document: Any, environ: Mapping[str, str]) -> Config:
    """Convert the contents of RELAY_CONFIG; invalid contents raise KeyError, ValueError and others."""
    flat_settings = dict(flatten_settings(document["settings"]))
    names = _read_names(document["settings"])
    operator = environ.get("RELAY_OPERATOR") or document.get("operator")
    return Config(
        name=environ.get("RELAY_NAME") or document["name"],
        listen=_checked_address(environ.get("RELAY_LISTEN") or document["listen"]),
        operator=_checked_address(operator) if operator else "",
        discovery=_checked_address(environ.get("RELAY_DISCOVERY") or document["discovery"]),
        configured_discovery=_checked_address(document["discovery"]),
        seed=int(str(document.get("seed", "0")), 16),
        sockets=int(document.get("limits", {}).get("sockets", 1024)),
        memory_mb=float(document.get("limits", {}).get("memory_mb", 192)),
        cores=float(document.get("limits", {}).get("cores", 1.0)),
        folder=Path(environ.get("TMPDIR") or tempfile.gettempdir()),
        known_endpoints=_read_known_endpoints(document),
        settings=router_settings(flat_settings),
        names=names,
        deploy_settings=load_deploy_settings(environ),
        peers=_read_peers(document),
    )


def _read_names(settings: dict[str, Any]) -> WireNames:
    caps = settings.get("caps", {})
    return WireNames(
        zones=tuple(settings.get("azs", ())),
        kinds=tuple(settings.get("shapes", ())),
        classes=tuple(each["name"] for each in settings.get("classes", ())),
        tenants=tuple(each["name"] for each in settings.get("tenants", ())),
        keepalive_s=float(caps.get("keepalive_ms", 30_000)) / 1000,
        connect_timeout_s=float(caps.get("connect_timeout_ms", 250)) / 1000,
        max_retry_after_ms=float(caps.get("max_retry_after_ms", 0)),
    )


def _read_known_endpoints(document: dict[str, Any]) -> EndpointListing:
    known = document.get("known") or {"index": 0, "snapshot": True, "endpoints": []}
    try:
        return convert(known)
    except ListError as error:
        raise ValueError(f"known: {error}") from error


def _read_peers(document: dict[str, Any]) -> PeerSettings:
    peers: PeerSettings = {}
    if "peer_listen" in document:
        peers["peer_listen"] = document["peer_listen"]
    if "peers" in document:
        peers["peers"] = document["peers"]
    if "peers_all" in document:
        peers["peers_all"] = document["peers_all"]
    return peers


def _checked_address(text: str) -> str:
    """Return the address, or raise ValueError at load time if it is not a host and a port."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdecimal() and int(port) <= MAX_PORT):
        raise ValueError(f"expected HOST:PORT, got {text!r}")
    return text


def load_deploy_settings(
    environ: Mapping[str, str] = os.environ, check_disabled: bool = False
) -> dict[str, msgspec.Struct]:
    """Read the settings of the enabled files under deploy/, by name; raises ConfigError if one is invalid.

    With `check_disabled`, disabled files are validated as well.
    """
    folder = Path(environ.get("RINGLEDGE_DEPLOY", DEFAULT_DEPLOY_FOLDER))
    settings_by_name: dict[str, msgspec.Struct] = {}
    try:
        for name, file in SETTINGS_FILES.items():
            path = folder / f"{name}.toml"
            if check_disabled or settings_files.is_enabled(path):
                settings = settings_files.read_settings(file.import_type(), path)
                if settings is not None:
                    settings_by_name[name] = settings
    except settings_files.SettingsError as error:
        raise ConfigError(str(error)) from error
    return settings_by_name


def flatten_settings(value: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Flatten nested JSON to the dotted paths of the simulator's format, which `simulator_decoder` reads."""
    if isinstance(value, dict):
        for key, each in value.items():
            yield from flatten_settings(each, f"{path}.{key}" if path else key)
    elif isinstance(value, list) and any(isinstance(each, dict) for each in value):
        yield f"{path}.count", str(len(value))
        for index, each in enumerate(value):
            yield from flatten_settings(each, f"{path}.{index}")
    elif isinstance(value, list):
        yield path, ",".join(map(_format_scalar, value))
    elif value is not None:
        yield path, _format_scalar(value)


def _format_scalar(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")
