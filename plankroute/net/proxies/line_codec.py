"""Codec of the line protocol that proxies, collectors and monitors speak with the controller."""

import re
from collections.abc import Callable, Iterator

from plankroute.controller.messages import Message, TableUpdate
from plankroute.events.events import LoadReport
from plankroute.events.settings import REPORT_FIELDS as SETTINGS_REPORT_FIELDS
from plankroute.events.settings import load_report, microseconds
from plankroute.net.process.errors import Rejection, RejectionStage
from plankroute.net.proxies.messages import (
    AckMessage,
    CollectorMessage,
    DemandMessage,
    HelloMessage,
    InboundMessage,
    LivenessCheckMessage,
    OutcomesMessage,
)

MAX_LINE_BYTES = 1 << 20  # set by the protocol
MAX_FIRST_LINE_BYTES = 1024  # far above any valid first line of a connection
MAX_MESSAGE_PARTS = 64  # set by the protocol
ROWS_PER_PART = 4096  # keeps the line of a part far below MAX_LINE_BYTES
MAX_COUNT = 2**32 - 1  # far above any count in one reporting interval
MAX_MILLISECONDS = 86_400_000.0  # one day; longer durations are invalid
MAX_LOAD_FIGURE = 1e6  # values of a load report; no host holds a million requests
MAX_DIGITS = 10  # of a count; MAX_COUNT has as many
# Fields of a line, and of a load report: no message defines more than eight. A line of maximum
# length may hold a quarter of a million, whose strings take many times its memory.
MAX_FIELDS = 64
# Possessive quantifiers, and no two of them for the same digits: text that is not a number is
# rejected in linear time.
NUMBER = re.compile(r"(?:[0-9]++(?:\.[0-9]++)?|\.[0-9]++)(?:[eE][+-]?[0-9]{1,3})?")
# An unknown message kind in this form most likely comes from another protocol version. It does not
# break the framing. Possessive quantifiers save the memory of positions to backtrack to.
WELL_FORMED_LINE = re.compile(r"[a-z]++(?: [a-z]++=[^ =]*+)*+")
# The start of a message; found in the middle of a line, it shows that two lines were merged.
MERGED_LINES = re.compile(r"(?:agent|outcomes|hello|ack|demand) [a-z]+=")
# Hosts name the fields of a load report as in the settings or as in the protocol. Both forms are
# accepted, since a report with unknown names only would be read as empty.
REPORT_FIELDS = SETTINGS_REPORT_FIELDS | {
    "inflight": "in_flight",
    "queue": "queue_length",
    "util": "utilization",
    "latency_ms": "service_time_us",
    "qps": "request_rate",
    "eps": "error_rate",
}
ALIVE_LINE = b"alive\r\n"
ERROR_LINE = b"error\r\n"


class FieldError(ValueError):
    """A field is missing or malformed; raised and caught within this module."""


class Fields:
    """The `name=value` fields of one line.

    The constructor and the getters raise FieldError for a missing or malformed field.
    """

    def __init__(self, words: list[str]) -> None:
        if len(words) > MAX_FIELDS:
            raise FieldError("too many fields")
        self.values: dict[str, str] = {}
        for word in words:
            name, equals, value = word.partition("=")
            if not equals or not name or name in self.values:
                raise FieldError(f"malformed or duplicate field {word[:40]!r}")
            self.values[name] = value

    def text(self, name: str) -> str:
        """Returns a non-empty string."""
        value = self.values.get(name)
        if not value:
            raise FieldError(f"missing or empty field {name}")
        return value

    def count(self, name: str) -> int:
        """Returns an integer from 0 to `MAX_COUNT`."""
        text = self.text(name)
        # The line is ASCII, so isdigit() accepts only the digits 0 to 9.
        if not text.isdigit() or len(text) > MAX_DIGITS or int(text) > MAX_COUNT:
            raise FieldError(f"{name} is not an integer in the valid range")
        return int(text)

    def number(self, name: str, maximum: float) -> float:
        """Returns a number from 0 to `maximum`."""
        text = self.text(name)
        if not NUMBER.fullmatch(text) or float(text) > maximum:
            raise FieldError(f"{name} is not a number in the valid range")
        return float(text)

    def duration_us(self, name: str) -> int:
        """Returns a duration in microseconds; the line carries it in milliseconds."""
        return microseconds(self.number(name, MAX_MILLISECONDS))

    def flag(self, name: str) -> bool:
        """Returns a flag; the line carries it as 0 or 1."""
        text = self.text(name)
        if text not in ("0", "1"):
            raise FieldError(f"{name} is neither 0 nor 1")
        return text == "1"

    def load_report(self, name: str) -> LoadReport | None:
        """Returns a load report, or None if the line has none."""
        if name not in self.values:
            return None
        return _load_report_from(self.values[name], ":")


def _parse_liveness_check(_: Fields) -> LivenessCheckMessage:
    return LivenessCheckMessage()


def _parse_collector(fields: Fields) -> CollectorMessage:
    return CollectorMessage(fields.text("locality"))


def _parse_hello(fields: Fields) -> HelloMessage:
    return HelloMessage(
        fields.count("node"),
        fields.text("locality"),
        fields.number("w", MAX_COUNT),
        fields.flag("cold"),
    )


def _parse_ack(fields: Fields) -> AckMessage:
    return AckMessage(fields.count("node"), fields.count("nonce"), fields.duration_us("latency"))


def _parse_outcomes(fields: Fields) -> OutcomesMessage:
    return OutcomesMessage(
        fields.text("locality"),
        fields.text("endpoint"),
        fields.count("total"),
        fields.count("errors"),
        fields.duration_us("rtt") if "rtt" in fields.values else 0,
        fields.duration_us("interval"),
        fields.load_report("metrics"),
    )


def _parse_demand(fields: Fields) -> DemandMessage:
    return DemandMessage(
        fields.count("node"),
        fields.text("route"),
        fields.count("total"),
        fields.count("errors"),
        fields.duration_us("interval"),
    )


PARSERS: dict[str, Callable[[Fields], InboundMessage]] = {
    "probe": _parse_liveness_check,
    "agent": _parse_collector,
    "hello": _parse_hello,
    "ack": _parse_ack,
    "outcomes": _parse_outcomes,
    "demand": _parse_demand,
}


def parse_line(line: bytes) -> InboundMessage | Rejection:
    """Parses one line.

    An invalid field makes only its own line invalid. Where the line boundaries are in doubt, the
    rejection has `breaks_framing` set.

    Args:
        line: The line without its line feed; it must end with the carriage return.

    Returns:
        The message, or the rejection of a line that can't be parsed.
    """
    if not line.endswith(b"\r"):
        return Rejection(RejectionStage.PARSING, "line does not end with CRLF", breaks_framing=True)
    try:
        text = line[:-1].decode("ascii")
    except UnicodeDecodeError:
        return Rejection(RejectionStage.PARSING, "line is not ASCII", breaks_framing=True)
    kind, *words = text.split(" ", MAX_FIELDS + 1)
    parse = PARSERS.get(kind)
    if parse is None:
        is_broken = WELL_FORMED_LINE.fullmatch(text) is None
        return Rejection(RejectionStage.PARSING, "unknown message kind", breaks_framing=is_broken)
    try:
        return parse(Fields(words))
    except FieldError as error:
        if MERGED_LINES.search(text, 1):
            return Rejection(
                RejectionStage.PARSING, "line contains a second message", breaks_framing=True
            )
        return Rejection(RejectionStage.PARSING, str(error))


class MessageEncoder:
    """Encodes messages to proxies as lines.

    Args:
        request_classes: Request class names by index.
        uid: Returns the name of a host, given its id.
    """

    def __init__(self, request_classes: tuple[str, ...], uid: Callable[[int], str]) -> None:
        self.request_classes = request_classes
        self.uid = uid
        # The updates encoded last. Hundreds of proxies may share the same list object.
        self.cached_updates: list[TableUpdate] | None = None
        self.cached_leading_lines = ""
        self.cached_last_line = ""

    def encode(self, message: Message) -> bytes:
        """Returns the lines of a message; the last one carries the fields specific to the proxy."""
        if message.updates is not self.cached_updates:
            self.cached_updates = message.updates
            leading, last = self._encode_updates(message.updates)
            self.cached_leading_lines = leading
            self.cached_last_line = last
        words = [self.cached_last_line]
        for name, is_withdrawn in (("drop", True), ("undrop", False)):
            hosts = [
                self.uid(host) for host, held in message.withdrawn.items() if held is is_withdrawn
            ]
            if hosts:
                words.append(f"{name}={','.join(hosts)}")
        if message.sequence_number is not None:
            words.append(f"stamp={message.sequence_number}")
        return f"{self.cached_leading_lines}{' '.join(words)}\r\n".encode("ascii")

    def _encode_updates(self, updates: list[TableUpdate]) -> tuple[str, str]:
        """Encodes table updates, one line for each part.

        Parts beyond `MAX_MESSAGE_PARTS` continue in another message.

        Returns:
            All lines but the last, each with its CRLF, and the last line without CRLF.
        """
        encoded = [self._encode_part(part) for update in updates for part in _split_rows(update)]
        if not encoded:
            encoded = [[]]
        for number, words in enumerate(encoded[:-1], 1):
            if number % MAX_MESSAGE_PARTS:
                words.append("part=1")
        lines = [" ".join(["push", *words]) for words in encoded]
        return "".join(line + "\r\n" for line in lines[:-1]), lines[-1]

    def _encode_part(self, part: TableUpdate) -> list[str]:
        words = []
        if len(part.request_classes) < len(self.request_classes):
            names = [self.request_classes[index] for index in part.request_classes]
            words.append("for=" + "+".join(names))
        if part.complete:
            words.append("replace=1")
        if part.routes:
            rows = [f"{self.uid(host)}:{weight:.9g}" for host, weight in part.routes.items()]
            words.append("rows=" + ",".join(rows))
        if part.admission_limit:
            limit = part.admission_limit
            words += [f"gate={limit.limit:.9g}", f"again={int(limit.retry)}"]
        return words


def _split_rows(update: TableUpdate) -> Iterator[TableUpdate]:
    """Splits an update into updates of at most `ROWS_PER_PART` rows each."""
    rows = list(update.routes.items())
    yield TableUpdate(
        update.request_classes,
        update.complete,
        dict(rows[:ROWS_PER_PART]),
        update.admission_limit,
    )
    for start in range(ROWS_PER_PART, len(rows), ROWS_PER_PART):
        yield TableUpdate(update.request_classes, False, dict(rows[start : start + ROWS_PER_PART]))


def parse_load_report(body: bytes) -> LoadReport | None:
    """Returns the load report in the response body of a health check, or None if it has none."""
    format_name, _, fields = body.decode("ascii", "replace").strip().partition(" ")
    if format_name != "TEXT":
        return None
    return _load_report_from(fields, "=")


def _load_report_from(text: str, separator: str) -> LoadReport:
    """Parses a load report, leaving out fields that are unknown, malformed or out of range.

    Args:
        text: Fields separated by commas; those beyond `MAX_FIELDS` are left out.
        separator: What separates the name of a field from its value.
    """
    fields = text.split(",", MAX_FIELDS)[:MAX_FIELDS]
    pairs = (field.strip().partition(separator) for field in fields)
    return load_report(
        (REPORT_FIELDS[name], float(value))
        for name, _, value in pairs
        if name in REPORT_FIELDS and NUMBER.fullmatch(value) and float(value) <= MAX_LOAD_FIGURE
    )
