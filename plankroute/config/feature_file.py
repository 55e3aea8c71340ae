"""Our own JSON file: what operators switch on beside the platform's settings. Types, limits, schema, clear
mistakes.

No file, or a file without a section: that part is off, and nothing of it is imported."""

import re
from pathlib import Path
from typing import Annotated, Any

import msgspec

from plankroute.config.file_reader import FileReader, read_file
from plankroute.events.settings import SettingsError
from plankroute.net.process.address import host_and_port

SCHEMA = Path("deploy/plankroute.schema.json")
LINE_OF_PATH = re.compile(r" - at `\$?([^`]*)`$")
UNKNOWN = re.compile(r"unknown field `([^`]*)`")
MOST_BYTES = (
    1 << 20
)  # a file of ours is some hundred bytes; what is longer was meant for somebody else

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
    """Who of the stewards is alive (docs/membership.md)."""

    group: Annotated[
        Text, msgspec.Meta(description="stewards of another group's name are not heard")
    ]
    listen: Annotated[Address, msgspec.Meta(description="UDP address of this steward")]
    advertise: Annotated[
        Address | None,
        msgspec.Meta(description="the address at which others reach it, where it is not `listen`"),
    ] = None
    seeds: Annotated[
        tuple[Address, ...],
        msgspec.Meta(
            max_length=64,
            description="some of the group, asked at the start; may name this steward too",
        ),
    ] = ()
    patience_ms: Annotated[
        int,
        msgspec.Meta(
            ge=500,
            le=60_000,
            description="how long a member may say nothing: above the longest pause, by half a "
            "second and the way there and back",
        ),
    ] = 2600
    probe_ms: Annotated[
        int,
        msgspec.Meta(
            ge=50,
            le=10_000,
            description="between two probes of this steward, each of another member",
        ),
    ] = 200
    forget_s: Annotated[
        int,
        msgspec.Meta(
            ge=60, le=86_400, description="how long those gone or left are remembered and called"
        ),
    ] = 3600


class LinksPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The list through peers: a few stewards watch the list service, the others take it from them over
    TCP."""

    listen: Annotated[
        Address, msgspec.Meta(description="TCP address of this steward, for other stewards")
    ]
    port: Annotated[
        Annotated[int, msgspec.Meta(ge=1, le=65535)] | None,
        msgspec.Meta(
            description="at which all others are reached, beside their membership addresses; else `listen`'s"
        ),
    ] = None
    watchers: Annotated[
        int, msgspec.Meta(ge=1, le=16, description="of the list service, at any time")
    ] = 3
    stall_ms: Annotated[
        int,
        msgspec.Meta(
            ge=1000,
            le=60_000,
            description="without a word from who is followed, it is left for the next",
        ),
    ] = 2000


class ColdStartSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A start of many stewards at once that spares the list service and the hosts (docs/cold-start.md)."""

    calls_a_second: Annotated[
        float,
        msgspec.Meta(
            ge=0.1,
            le=100_000,
            description="calls that the list service answers in a second, of all stewards",
        ),
    ] = 20.0
    stewards: Annotated[
        Annotated[int, msgspec.Meta(ge=1, le=10_000)] | None,
        msgspec.Meta(description="how many stewards there are at most; else as the settings state"),
    ] = None
    rank: Annotated[
        Annotated[int, msgspec.Meta(ge=0, le=10_000)] | None,
        msgspec.Meta(description="this one's place among them, from 0; else as the settings state"),
    ] = None
    pause_most_s: Annotated[
        float,
        msgspec.Meta(
            ge=1,
            le=3600,
            description="the longest round of calls to a service that goes on refusing",
        ),
    ] = 60.0
    retry_after_most_s: Annotated[
        float, msgspec.Meta(ge=0, le=3600, description="what a Retry-After may ask for at most")
    ] = 30.0
    list_old_s: Annotated[
        float,
        msgspec.Meta(
            ge=1,
            le=3600,
            description="without a word from the list for so long, drains may have been missed: said",
        ),
    ] = 15.0
    probers: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=100,
            description="stewards that probe each host when all are asked at once; 0: every steward",
        ),
    ] = 3
    links: LinksPart | None = None


class WarmStartSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What is learned of hosts outlives a steward (docs/warm-start.md)."""

    folder: (
        Annotated[
            str,
            msgspec.Meta(
                min_length=1,
                max_length=1024,
                description="that lasts, and is this steward's to write; none: nothing is written",
            ),
        ]
        | None
    ) = None
    every_s: Annotated[
        float,
        msgspec.Meta(
            ge=0.01, le=3600, description="between two writings, where something has changed"
        ),
    ] = 3.0
    limit_s: Annotated[
        float,
        msgspec.Meta(
            ge=0, le=2_592_000, description="news that are older count for nothing; 0: none count"
        ),
    ] = 900.0
    ask_peers: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=2,
            description="living stewards that are asked at the start; needs coldstart.links",
        ),
    ] = 2
    ask_ms: Annotated[int, msgspec.Meta(ge=50, le=10_000, description="for a whole answer")] = 1000


class FeatureFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """deploy/plankroute.json: each section switches one part on."""

    membership: MembershipSection | None = None
    coldstart: ColdStartSection | None = None
    learned: WarmStartSection | None = None


class FeatureFileError(SettingsError):
    """What the file says can't be used: one line, with the path of the key."""


def read_feature_file(path: str | Path, read: FileReader = read_file) -> FeatureFile:
    """Raises OwnFileError."""
    try:
        text = read(path, MOST_BYTES + 1)
    except OSError as error:
        raise FeatureFileError(f"{path}: {error.strerror or error}") from error
    if len(text) > MOST_BYTES:
        raise FeatureFileError(f"{path}: over {MOST_BYTES} bytes")
    try:
        own = msgspec.json.decode(text, type=FeatureFile)
        check_addresses(own)
    except msgspec.ValidationError as error:
        raise FeatureFileError(f"{path}: {plain(str(error))}") from error
    except msgspec.DecodeError as error:
        raise FeatureFileError(f"{path}: no JSON: {error}") from error
    return own


def check_addresses(own: FeatureFile) -> None:
    """A port out of its range passes the pattern; and links go to those that membership knows."""
    named: dict[str, str | None] = {}
    if part := own.membership:
        named |= {"membership.listen": part.listen, "membership.advertise": part.advertise}
        named |= {f"membership.seeds[{place}]": seed for place, seed in enumerate(part.seeds)}
    if own.coldstart and (links := own.coldstart.links):
        named["coldstart.links.listen"] = links.listen
        if own.membership is None:
            raise msgspec.ValidationError("needs a membership section - at `$.coldstart.links`")
    for key, address in named.items():
        try:
            if address is not None:
                host_and_port(address)
        except ValueError as error:
            raise msgspec.ValidationError(f"{error} - at `$.{key}`") from error


def plain(said: str) -> str:
    """The library's words, led by the path of the key at fault."""
    path = match[1] if (match := LINE_OF_PATH.search(said)) else ""
    what = LINE_OF_PATH.sub("", said)
    if unknown := UNKNOWN.search(what):
        return f"{path}.{unknown[1]}".lstrip(".") + ": unknown key"
    if missing := re.search(r"missing required field `([^`]*)`", what):
        return f"{path}.{missing[1]}".lstrip(".") + ": missing"
    return f"{path.lstrip('.') or 'the file'}: {what[:1].lower()}{what[1:]}"


def schema() -> dict[str, Any]:
    """JSON Schema of the file, from the types above."""
    return msgspec.json.schema(FeatureFile)


def schema_text() -> bytes:
    return msgspec.json.format(msgspec.json.encode(schema(), order="sorted"), indent=2) + b"\n"
