"""The feature file: what operators switch on beside the platform's settings.

Types, limits, JSON Schema and messages of mistakes. Without a file, or without a section in it,
that feature is off and none of its code is imported.
"""

import re
from pathlib import Path
from typing import Annotated, Any

import msgspec

from plankroute.config.file_reader import FileReader, read_file
from plankroute.events.settings import SettingsError
from plankroute.net.process.address import host_and_port

SCHEMA_PATH = Path("deploy/plankroute.schema.json")  # from the root of the repository
MAX_FILE_BYTES = 1 << 20  # a feature file is some hundred bytes; a larger one is something else

# What msgspec appends to the message of a mistake: the path of the field at fault.
PATH_OF_MISTAKE = re.compile(r" - at `\$?([^`]*)`$")
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
            description="some of the group, asked at the start; may include this controller",
        ),
    ] = ()
    patience_ms: Annotated[
        int,
        msgspec.Meta(
            ge=500,
            le=60_000,
            description="how long a member may be silent: half a second and a round trip above the "
            "longest pause",
        ),
    ] = 2600
    probe_ms: Annotated[
        int,
        msgspec.Meta(
            ge=50,
            le=10_000,
            description="interval of probes by this controller, each of another member",
        ),
    ] = 200
    forget_s: Annotated[
        int,
        msgspec.Meta(
            ge=60,
            le=86_400,
            description="how long members that failed or left are remembered and called",
        ),
    ] = 3600


class LinksSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The endpoint list through peers.

    A few controllers watch the discovery service, the others get the list from them over TCP.
    """

    listen: Annotated[
        Address, msgspec.Meta(description="TCP address of this controller, for other controllers")
    ]
    port: Annotated[
        Annotated[int, msgspec.Meta(ge=1, le=65535)] | None,
        msgspec.Meta(
            description="port of all others, at their membership hosts; default: that of `listen`"
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
    """Starts of many controllers at once that spare discovery and hosts (docs/cold-start.md)."""

    calls_a_second: Annotated[
        float,
        msgspec.Meta(
            ge=0.1,
            le=100_000,
            description="calls a second that the discovery service answers, for all controllers",
        ),
    ] = 20.0
    stewards: Annotated[
        Annotated[int, msgspec.Meta(ge=1, le=10_000)] | None,
        msgspec.Meta(description="number of controllers at most; default: as the settings state"),
    ] = None
    rank: Annotated[
        Annotated[int, msgspec.Meta(ge=0, le=10_000)] | None,
        msgspec.Meta(description="rank of this one, from 0; default: as the settings state"),
    ] = None
    pause_most_s: Annotated[
        float,
        msgspec.Meta(
            ge=1,
            le=3600,
            description="longest backoff while the service keeps refusing",
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
            description="controllers that check each host when all hosts are checked; 0: every one",
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
                description="folder that outlives the process; default: nothing is written",
            ),
        ]
        | None
    ) = None
    every_s: Annotated[
        float,
        msgspec.Meta(ge=0.01, le=3600, description="interval of writes, if something has changed"),
    ] = 3.0
    limit_s: Annotated[
        float,
        msgspec.Meta(
            ge=0,
            le=2_592_000,
            description="age from which knowledge counts for nothing; 0: none counts",
        ),
    ] = 900.0
    ask_peers: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=2,
            description="living controllers that are asked at the start; needs coldstart.links",
        ),
    ] = 2
    ask_ms: Annotated[
        int, msgspec.Meta(ge=50, le=10_000, description="limit of a whole answer")
    ] = 1000


class FeatureFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The feature file; each section switches one feature on."""

    membership: MembershipSection | None = None
    coldstart: ColdStartSection | None = None
    learned: WarmStartSection | None = None


class FeatureFileError(SettingsError):
    """The feature file can't be used; one line, with the path of the field at fault."""


def read_feature_file(path: str | Path, read: FileReader = read_file) -> FeatureFile:
    """Reads and checks a feature file.

    Args:
        path: The file.
        read: Reads its bytes.

    Raises:
        FeatureFileError: It can't be used.
    """
    try:
        text = read(path, MAX_FILE_BYTES + 1)
    except OSError as error:
        raise FeatureFileError(f"{path}: {error.strerror or error}") from error
    if len(text) > MAX_FILE_BYTES:
        raise FeatureFileError(f"{path}: over {MAX_FILE_BYTES} bytes")
    try:
        feature_file = msgspec.json.decode(text, type=FeatureFile)
        check_addresses(feature_file)
    except msgspec.ValidationError as error:
        raise FeatureFileError(f"{path}: {describe(str(error))}") from error
    except msgspec.DecodeError as error:
        raise FeatureFileError(f"{path}: no JSON: {error}") from error
    return feature_file


def check_addresses(feature_file: FeatureFile) -> None:
    """Checks what the types can't express: ports, and links without membership.

    Raises:
        msgspec.ValidationError: In the words of the library, with the path of the field.
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
    """All addresses of a feature file, by the paths of their fields."""
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


def describe(message: str) -> str:
    """The library's message, led by the path of the field at fault."""
    match = PATH_OF_MISTAKE.search(message)
    path = match[1] if match else ""
    mistake = PATH_OF_MISTAKE.sub("", message)
    unknown = UNKNOWN_FIELD.search(mistake)
    if unknown:
        return f"{path}.{unknown[1]}".lstrip(".") + ": unknown key"
    missing = MISSING_FIELD.search(mistake)
    if missing:
        return f"{path}.{missing[1]}".lstrip(".") + ": missing"
    return f"{path.lstrip('.') or 'the file'}: {mistake[:1].lower()}{mistake[1:]}"


def schema() -> dict[str, Any]:
    """JSON Schema of the feature file, from the types above."""
    return msgspec.json.schema(FeatureFile)


def schema_text() -> bytes:
    """The schema as it is kept in `SCHEMA_PATH`."""
    return msgspec.json.format(msgspec.json.encode(schema(), order="sorted"), indent=2) + b"\n"
