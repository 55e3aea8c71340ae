"""The configuration of a controller process: addresses, limits, initial endpoint list, settings."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

import orjson

from plankroute.events.facts import StartFacts
from plankroute.events.settings import (
    SettingsError,
    microseconds,
    parse_settings,
    positive_or_zero,
)
from plankroute.net.process.address import host_and_port
from plankroute.net.process.resource_limits import ResourceLimits, resource_limits_for

# Defaults of optional settings and limits.
DEFAULT_BATCH_INTERVAL_MS = 5.0
DEFAULT_MEMORY_MB = 192.0
DEFAULT_DESCRIPTORS = 1024
DEFAULT_CONNECT_TIMEOUT_MS = 300.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration of one controller process.

    Attributes:
        name: The controller's name.
        listen: The address at which proxies and collectors connect.
        discovery: The address of the discovery service.
        seed: Seed of the controller's random numbers.
        limits: Limits of connections, health checks and buffers.
        initial_list: The endpoint list to start with, decoded from JSON in the format of the
            discovery service; None if the configuration has none.
        facts: The core's start parameters.
        zones: Zone names by index.
        machine_types: Machine type names by index.
        request_classes: Request class names by index.
        min_batch_interval_us: Minimum interval between a batch of the core and the one that the
            next event triggers.
        connect_timeout_us: Limit for establishing a connection to a host.
    """

    name: str
    listen: str
    discovery: str
    seed: int
    limits: ResourceLimits
    initial_list: object
    facts: StartFacts
    zones: tuple[str, ...]
    machine_types: tuple[str, ...]
    request_classes: tuple[str, ...]
    min_batch_interval_us: int
    connect_timeout_us: int


def parse_configuration(text: bytes) -> Configuration:
    """Parses the configuration's JSON.

    Raises:
        SettingsError: The configuration is invalid; the message is one line.
    """
    try:
        return _configuration_from(orjson.loads(text))
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SettingsError(f"{type(error).__name__}: {error}") from error


# The JSON may have any shape; `parse_configuration` wraps the errors that an unexpected one raises.
def _configuration_from(raw: Any) -> Configuration:  # noqa: ANN401 - any JSON
    settings = raw["settings"]
    facts, _ = parse_settings(settings)
    return Configuration(
        name=str(raw["name"]),
        listen=_checked_address(raw["listen"]),
        discovery=_checked_address(raw["discovery"]),
        seed=int(str(raw["seed"]), 16),
        limits=_limits_from(raw.get("limits") or {}),
        initial_list=raw.get("known"),
        facts=replace(facts, bind_reinstates_hosts=True),
        zones=_names(settings["dcs"]),
        machine_types=_names(settings["machineTypes"]),
        request_classes=_names(item["name"] for item in settings["classes"]),
        min_batch_interval_us=microseconds(
            float(settings.get("quantumMs", DEFAULT_BATCH_INTERVAL_MS))
        ),
        connect_timeout_us=_connect_timeout_us(settings.get("caps") or {}),
    )


def _connect_timeout_us(capabilities: dict[str, Any]) -> int:
    return microseconds(float(capabilities.get("dialTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS)))


def _limits_from(limits: dict[str, Any]) -> ResourceLimits:
    memory_mb = _parse_limit(limits.get("memory_mb", DEFAULT_MEMORY_MB))
    descriptors = _parse_limit(limits.get("sockets", DEFAULT_DESCRIPTORS))
    return resource_limits_for(memory_mb, int(descriptors))


def _parse_limit(value: str | float) -> float:
    number = positive_or_zero(float(value))
    if number < 1:
        raise ValueError(f"{value!r} is not a valid limit; it must be at least 1")
    return number


def _checked_address(text: str) -> str:
    host_and_port(text)
    return text


def _names(listed: Iterable[object]) -> tuple[str, ...]:
    return tuple(str(name) for name in listed)
