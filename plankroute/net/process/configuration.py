"""What operators hand a real steward: its addresses, limits, first list and settings."""

from dataclasses import dataclass, replace
from typing import Any

import orjson

from plankroute.events.facts import StartFacts
from plankroute.events.settings import SettingsError, finite, microseconds, parse_settings
from plankroute.net.process.address import host_and_port
from plankroute.net.process.resource_limits import ResourceLimits, resource_limits_for

USUAL_GATHER_MS = 5.0  # where the settings name no shortest time between batches
USUAL_MB, USUAL_SOCKETS = 192.0, 1024  # where no limits are stated
USUAL_DIAL_MS = 300.0  # nor how long a connection may take to come up


@dataclass(frozen=True, slots=True)
class Configuration:
    name: str
    listen: str
    discovery: str
    seed: int
    room: ResourceLimits
    known: Any
    facts: StartFacts
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    products: tuple[str, ...]
    gather_us: int
    dial_us: int


def address(text: str) -> str:
    host_and_port(text)
    return text


def parse_configuration(text: bytes) -> Configuration:
    """Raises StartError with one clear line."""
    try:
        raw = orjson.loads(text)
        settings = raw["settings"]
        facts, _ = parse_settings(settings)
        return Configuration(
            name=str(raw["name"]),
            listen=address(raw["listen"]),
            discovery=address(raw["discovery"]),
            seed=int(str(raw["seed"]), 16),
            room=room(raw.get("limits") or {}),
            known=raw.get("known"),
            facts=replace(facts, bind_reinstates_hosts=True),
            zones=names(settings["dcs"]),
            kinds=names(settings["machineTypes"]),
            products=names([item["name"] for item in settings["classes"]]),
            gather_us=microseconds(float(settings.get("quantumMs", USUAL_GATHER_MS))),
            dial_us=microseconds(
                float((settings.get("caps") or {}).get("dialTimeoutMs", USUAL_DIAL_MS))
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SettingsError(f"{type(error).__name__}: {error}") from error


def room(limits: dict[str, Any]) -> ResourceLimits:
    memory_mb, sockets = limits.get("memory_mb", USUAL_MB), limits.get("sockets", USUAL_SOCKETS)
    return resource_limits_for(figure(memory_mb), int(figure(sockets)))


def figure(value: Any) -> float:
    if (read := finite(float(value))) < 1:
        raise ValueError(f"{value!r} is no limit")
    return read


def names(listed: list[Any]) -> tuple[str, ...]:
    return tuple(str(name) for name in listed)
