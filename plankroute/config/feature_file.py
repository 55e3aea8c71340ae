"""The feature file, with which operators enable optional features in addition to the settings.

Defines its types, limits, JSON Schema and error messages. A feature without a section in the file
is off, and its code is not imported; without a file all features are off.
"""

import re
from pathlib import Path
from typing import Annotated, Any

import msgspec

from plankroute.config.file_reader import FileReader, read_file
from plankroute.events.settings import SettingsError
from plankroute.net.process.address import host_and_port

SCHEMA_PATH = Path("deploy/plankroute.schema.json")  # relative to the root of the repository
MAX_FILE_BYTES = 1 << 20  # a feature file has some hundred bytes; a larger one is another file

# Patterns for the error messages of msgspec, which end with the path of the invalid field.
FIELD_PATH = re.compile(r" - at `\$?([^`]*)`$")
UNKNOWN_FIELD = re.compile(r"unknown field `([^`]*)`")
MISSING_FIELD = re.compile(r"missing required field `([^`]*)`")

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[!-~]+$")]
Address = Annotated[
    str,
    msgspec.Meta(
        max_length=21,
        pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$",
        description="IPv4 address and port; no names are looked up",
    ),
]


class MembershipSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Failure detection among controllers (docs/membership.md)."""

    group: Annotated[Text, msgspec.Meta(description="controllers of another group are ignored")]
    listen: Annotated[Address, msgspec.Meta(description="UDP address of this controller")]
    advertise: Annotated[
        Address | None,
        msgspec.Meta(description="address at which others reach it; default: `listen`"),
    ] = None
    seeds: Annotated[
        tuple[Address, ...],
        msgspec.Meta(
            max_length=64,
            description="addresses of group members to contact at the start; may include this one",
        ),
    ] = ()
    patience_ms: Annotated[
        int,
        msgspec.Meta(
            ge=500,
            le=60_000,
            description="how long a member may be silent: at least the longest pause, a round trip "
            "and half a second",
        ),
    ] = 2600
    probe_ms: Annotated[
        int,
        msgspec.Meta(
            ge=50,
            le=10_000,
            description="interval between probes by this controller, each to another member",
        ),
    ] = 200
    forget_s: Annotated[
        int,
        msgspec.Meta(
            ge=60,
            le=86_400,
            description="how long failed and left members are remembered and contacted again",
        ),
    ] = 3600


class LinksSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Distribution of the endpoint list among controllers.

    A few controllers watch the discovery service, the others receive the list from them over TCP.
    """

    listen: Annotated[
        Address, msgspec.Meta(description="TCP address of this controller, for other controllers")
    ]
    port: Annotated[
        Annotated[int, msgspec.Meta(ge=1, le=65535)] | None,
        msgspec.Meta(
            description="link port of all other controllers, at their membership hosts; "
            "default: that of `listen`"
        ),
    ] = None
    watchers: Annotated[
        int, msgspec.Meta(ge=1, le=16, description="controllers that watch the discovery service")
    ] = 3
    stall_ms: Annotated[
        int,
        msgspec.Meta(
            ge=1000,
            le=60_000,
            description="silence of the followed controller after which the next one is followed",
        ),
    ] = 2000


class ColdStartSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits the load on discovery and hosts when many controllers start (docs/cold-start.md)."""

    calls_a_second: Annotated[
        float,
        msgspec.Meta(
            ge=0.1,
            le=100_000,
            description="calls per second that the discovery service answers, for all controllers",
        ),
    ] = 20.0
    stewards: Annotated[
        Annotated[int, msgspec.Meta(ge=1, le=10_000)] | None,
        msgspec.Meta(description="maximum number of controllers; default: from the settings"),
    ] = None
    rank: Annotated[
        Annotated[int, msgspec.Meta(ge=0, le=10_000)] | None,
        msgspec.Meta(description="rank of this controller, from 0; default: from the settings"),
    ] = None
    pause_most_s: Annotated[
        float,
        msgspec.Meta(
            ge=1,
            le=3600,
            description="longest backoff while the discovery service fails",
        ),
    ] = 60.0
    retry_after_most_s: Annotated[
        float, msgspec.Meta(ge=0, le=3600, description="longest Retry-After that is respected")
    ] = 30.0
    list_old_s: Annotated[
        float,
        msgspec.Meta(
            ge=1,
            le=3600,
            description="silence of discovery after which a warning says that drains may be missed",
        ),
    ] = 15.0
    probers: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=100,
            description="controllers that check each host when all hosts are checked; 0: all",
        ),
    ] = 3
    links: LinksSection | None = None


class WarmStartSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Prior knowledge of hosts that outlives a controller (docs/warm-start.md)."""

    folder: (
        Annotated[
            str,
            msgspec.Meta(
                min_length=1,
                max_length=1024,
                description="folder for snapshots; must survive restarts; default: none written",
            ),
        ]
        | None
    ) = None
    every_s: Annotated[
        float,
        msgspec.Meta(
            ge=0.01, le=3600, description="interval between writes, if anything has changed"
        ),
    ] = 3.0
    limit_s: Annotated[
        float,
        msgspec.Meta(
            ge=0,
            le=2_592_000,
            description="age from which prior knowledge is ignored; 0: it is always ignored",
        ),
    ] = 900.0
    ask_peers: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=2,
            description="live controllers that are asked at the start; needs coldstart.links",
        ),
    ] = 2
    ask_ms: Annotated[
        int, msgspec.Meta(ge=50, le=10_000, description="time limit for a complete answer")
    ] = 1000


class FeatureFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The feature file; each section enables one feature."""

    membership: MembershipSection | None = None
    coldstart: ColdStartSection | None = None
    learned: WarmStartSection | None = None


class FeatureFileError(SettingsError):
    """The feature file can't be read or is invalid.

    The message is one line with the path of the file and, if a field is invalid, of that field.
    """


def read_feature_file(path: str | Path, read: FileReader = read_file) -> FeatureFile:
    """Reads and checks a feature file.

    Args:
        path: The file.
        read: Returns the content of a file.

    Raises:
        FeatureFileError: The file can't be read, is too large or is invalid.
    """
    try:
        text = read(path, MAX_FILE_BYTES + 1)
    except OSError as error:
        raise FeatureFileError(f"{path}: {error.strerror or error}") from error
    if len(text) > MAX_FILE_BYTES:
        raise FeatureFileError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    try:
        feature_file = msgspec.json.decode(text, type=FeatureFile)
        check_constraints(feature_file)
    except msgspec.ValidationError as error:
        raise FeatureFileError(f"{path}: {describe_validation_error(str(error))}") from error
    except msgspec.DecodeError as error:
        raise FeatureFileError(f"{path}: not valid JSON: {error}") from error
    return feature_file


def check_constraints(feature_file: FeatureFile) -> None:
    """Checks the constraints that the types can't express: port ranges, and links need membership.

    Raises:
        msgspec.ValidationError: A constraint is violated; the message has the format of msgspec and
            ends with the path of the field.
    """
    addresses = addresses_of(feature_file)
    has_links = feature_file.coldstart is not None and feature_file.coldstart.links is not None
    if has_links and feature_file.membership is None:
        raise msgspec.ValidationError("needs a membership section - at `$.coldstart.links`")
    for key, address in addresses.items():
        try:
            host_and_port(address)
        except ValueError as error:
            raise msgspec.ValidationError(f"{error} - at `$.{key}`") from error


def addresses_of(feature_file: FeatureFile) -> dict[str, str]:
    """Returns all addresses of a feature file by the paths of their fields."""
    addresses: dict[str, str] = {}
    membership = feature_file.membership
    if membership:
        addresses["membership.listen"] = membership.listen
        if membership.advertise is not None:
            addresses["membership.advertise"] = membership.advertise
        for index, seed in enumerate(membership.seeds):
            addresses[f"membership.seeds[{index}]"] = seed
    if feature_file.coldstart and feature_file.coldstart.links:
        addresses["coldstart.links.listen"] = feature_file.coldstart.links.listen
    return addresses


def describe_validation_error(message: str) -> str:
    """Converts an error message of msgspec so that it begins with the path of the field."""
    match = FIELD_PATH.search(message)
    path = match[1] if match else ""
    problem = FIELD_PATH.sub("", message)
    unknown = UNKNOWN_FIELD.search(problem)
    if unknown:
        return f"{path}.{unknown[1]}".lstrip(".") + ": unknown key"
    missing = MISSING_FIELD.search(problem)
    if missing:
        return f"{path}.{missing[1]}".lstrip(".") + ": missing"
    return f"{path.lstrip('.') or 'the file'}: {problem[:1].lower()}{problem[1:]}"


def schema() -> dict[str, Any]:
    """Returns the JSON Schema of the feature file, derived from its types."""
    return msgspec.json.schema(FeatureFile)


def schema_text() -> bytes:
    """Returns the schema as formatted text, as stored in `SCHEMA_PATH`."""
    return msgspec.json.format(msgspec.json.encode(schema(), order="sorted"), indent=2) + b"\n"
