"""What a conductor is told at its start: RELAY_CONFIG, the RELAY_* variables, and files under deploy/."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
import orjson
from msgspec import Meta

from crowstand import interface as i
from crowstand import wirehost
from ringledge.decide.doors_settings import DoorsConfig
from ringledge.decide.overload_settings import OverloadConfig
from ringledge.lifecycle import strict

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


@dataclass(slots=True, frozen=True)
class Names:
    """The names on the wires behind the indices of the decisions, and the wire's own settings."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    keepalive_s: float
    connect_timeout_s: float
    max_retry_after_ms: float

    @staticmethod
    def index(names: tuple[str, ...], name: str) -> int:
        """The index of a name; one past the last for a name that is not known."""
        return names.index(name) if name in names else len(names)


Address = Annotated[str, Meta(pattern=r"^\S+:[0-9]{1,5}$")]
MaybeAddress = Annotated[str, Meta(pattern=r"^(\S+:[0-9]{1,5})?$")]
Count = Annotated[int, Meta(ge=1)]
Seconds = Annotated[float, Meta(gt=0)]


class ChatConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where and how the chat front listens (chat.toml)."""

    listen: Address
    models: dict[str, str]  # the class that each model's requests belong to
    tenant: str = ""  # of a client that names none
    max_tokens: Count = 800  # where a request names no limit
    resume_for_s: Seconds = 60.0  # how long an answer that has ended can be come back to
    sessions: Count = 512  # answers kept at most


class XdsConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where xDS is served (xds.toml)."""

    listen: Address
    cluster: str = "ringledge-xds"  # the name under which the proxies know this listener
    poll_s: Seconds = 10.0  # a poll that finds nothing new is answered after so long


class PrometheusConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where /metrics is scraped and where figures are written to (prometheus.toml)."""

    listen: MaybeAddress = ""
    remote_write: str = ""  # the receiver's http address; empty: none
    interval_s: Seconds = 15.0
    queue: Count = 40  # collections that may wait
    timeout_s: Seconds = 5.0
    labels: dict[str, str] = {}  # added to each series that is written


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
    known: dict[str, Any]
    settings: i.Settings
    names: Names
    chat: ChatConfig | None
    xds: XdsConfig | None
    prometheus: PrometheusConfig | None
    overload: OverloadConfig | None
    doors: DoorsConfig | None


def _address(text: str) -> str:
    """A host and port; ValueError where it is none, for it would only fail when it is used."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"no address: {text!r}")
    return text


S = TypeVar("S", bound=msgspec.Struct)


def optional(kind: type[S], file: str, environ: Mapping[str, str]) -> S | None:
    """Read one of our own files under deploy/; None where it is absent or not enabled."""
    try:
        return strict.read(kind, Path(environ.get("RINGLEDGE_DEPLOY", DEPLOY)) / file)
    except strict.SettingsError as error:
        raise ConfigError(str(error)) from error


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
            told.get("known") or {"index": 0, "snapshot": True, "endpoints": []},
            wirehost.settings(fields),
            names,
            optional(ChatConfig, "chat.toml", environ),
            optional(XdsConfig, "xds.toml", environ),
            optional(PrometheusConfig, "prometheus.toml", environ),
            optional(OverloadConfig, "overload.toml", environ),
            optional(DoorsConfig, "doors.toml", environ),
        )
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise ConfigError(f"{path}: missing or unknown {error}") from error
    except (ValueError, TypeError, AttributeError, ArithmeticError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from error
