"""The codec of lines at the steward's address, both ways. Only here: wire words."""

import re
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from plankroute.controller.messages import Message, TableUpdate
from plankroute.events.events import LoadReport
from plankroute.events.settings import REPORT_FIELDS as SETTINGS_FIELDS
from plankroute.events.settings import load_report, microseconds
from plankroute.net.process.errors import Refused, Stage

MOST_LINE = 1 << 20  # bytes, by the protocol
MOST_JOINING = 1024  # bytes: no first word comes near
MOST_PARTS = 64  # of a message, by the protocol
ROWS_A_PART = 4096  # keeps a part far below the longest line
MOST_COUNT = 2**32 - 1  # no count of a report's span comes near
MOST_MS = 86_400_000.0  # a day: longer spans are nonsense
MOST_LOAD = 1e6  # of any figure of a load report: no host holds a million txns
MOST_DIGITS = 10
NUMBER = re.compile(r"[0-9]*\.?[0-9]+(?:[eE][+-]?[0-9]{1,3})?")
PLAIN = re.compile(r"[a-z]+(?: [a-z]+=[^ =]*)*")  # a kind of another version, most likely
TORN = re.compile(
    r"(?:agent|outcomes|hello|ack|demand) [a-z]+="
)  # within a line: two messages ran together
# Guards against load reports read as empty: hosts name figures as the settings do, or as the protocol's page.
REPORT_FIELDS = SETTINGS_FIELDS | {
    "inflight": "in_flight",
    "queue": "queue_length",
    "util": "utilization",
    "latency_ms": "service_time_us",
    "qps": "request_rate",
    "eps": "error_rate",
}
ALIVE, ERROR = b"alive\r\n", b"error\r\n"


@dataclass(frozen=True, slots=True)
class Asked:
    """Somebody asks whether the steward is alive."""


@dataclass(frozen=True, slots=True)
class CollectorSaid:
    """A collector tells its zone."""

    zone: str


@dataclass(frozen=True, slots=True)
class HelloSaid:
    proxy: int
    zone: str
    usual_rate: float
    fresh: bool


@dataclass(frozen=True, slots=True)
class AppliedSaid:
    proxy: int
    sequence_number: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class HostSaid:
    """What the proxies of a zone met at a host."""

    zone: str
    host: str
    attempts: int
    failed: int
    mean_latency_us: int
    span_us: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class TrafficSaid:
    proxy: int
    product: str
    arrived: int
    failed: int
    span_us: int


Said = Asked | CollectorSaid | HelloSaid | AppliedSaid | HostSaid | TrafficSaid


class Unreadable(ValueError):
    """Raised and caught in this codec only."""


class Words:
    """The `name=value` words of one line, each read as what it must be."""

    def __init__(self, words: list[str]) -> None:
        self.values: dict[str, str] = {}
        for word in words:
            name, equals, value = word.partition("=")
            if not equals or not name or name in self.values:
                raise Unreadable(f"word {word[:40]!r}")
            self.values[name] = value

    def text(self, name: str) -> str:
        if not (value := self.values.get(name)):
            raise Unreadable(f"no {name}")
        return value

    def count(self, name: str) -> int:
        text = self.text(name)  # it is ASCII
        if not text.isdigit() or len(text) > MOST_DIGITS or int(text) > MOST_COUNT:
            raise Unreadable(f"{name} is no count")
        return int(text)

    def number(self, name: str, most: float) -> float:
        if not NUMBER.fullmatch(text := self.text(name)) or float(text) > most:
            raise Unreadable(f"{name} is no figure in its range")
        return float(text)

    def time_us(self, name: str) -> int:
        return microseconds(self.number(name, MOST_MS))

    def flag(self, name: str) -> bool:
        if (text := self.text(name)) not in ("0", "1"):
            raise Unreadable(f"{name} is neither yes nor no")
        return text == "1"

    def report(self, name: str) -> LoadReport | None:
        if name not in self.values:
            return None
        return report_from(pair.partition(":") for pair in self.values[name].split(","))


READERS: dict[str, Callable[[Words], Said]] = {
    "probe": lambda words: Asked(),
    "agent": lambda words: CollectorSaid(words.text("locality")),
    "hello": lambda words: HelloSaid(
        words.count("node"),
        words.text("locality"),
        words.number("w", MOST_COUNT),
        words.flag("cold"),
    ),
    "ack": lambda words: AppliedSaid(
        words.count("node"), words.count("nonce"), words.time_us("latency")
    ),
    "outcomes": lambda words: HostSaid(
        words.text("locality"),
        words.text("endpoint"),
        words.count("total"),
        words.count("errors"),
        words.time_us("rtt") if "rtt" in words.values else 0,
        words.time_us("interval"),
        words.report("metrics"),
    ),
    "demand": lambda words: TrafficSaid(
        words.count("node"),
        words.text("route"),
        words.count("total"),
        words.count("errors"),
        words.time_us("interval"),
    ),
}


def read_line(line: bytes) -> Said | Refused:
    """What a line without its LF says; its CR must be there. A spoilt word is no end, lost bounds are."""
    if not line.endswith(b"\r"):
        return Refused(Stage.READ, "no CRLF at the end", True)
    try:
        text = line[:-1].decode("ascii")
    except UnicodeDecodeError:
        return Refused(Stage.READ, "not ASCII", True)
    kind, *words = text.split(" ")
    if (reader := READERS.get(kind)) is None:
        return Refused(Stage.READ, "kind not known", not PLAIN.fullmatch(text))
    try:
        return reader(Words(words))
    except Unreadable as error:
        if TORN.search(text, 1):
            return Refused(Stage.READ, "messages ran together", True)
        return Refused(Stage.READ, str(error))


class Writer:
    """Messages as lines; `products` are their names by place, `uid` tells a host's name."""

    def __init__(self, products: tuple[str, ...], uid: Callable[[int], str]) -> None:
        self.products, self.uid = products, uid
        self.parts: list[TableUpdate] | None = (
            None  # those written last, which hundreds of proxies may share
        )
        self.before, self.last = (
            "",
            "",
        )  # their text: all but the last one with its end, and that one

    def write(self, message: Message) -> bytes:
        """Hosts held back, and the mark, are the proxy's own; they go with the last part."""
        if message.updates is not self.parts:
            self.parts = message.updates
            self.before, self.last = self.text(message.updates)
        words = [self.last]
        for name, out in (("drop", True), ("undrop", False)):
            if hosts := [self.uid(host) for host, held in message.withdrawn.items() if held is out]:
                words.append(f"{name}={','.join(hosts)}")
        if message.sequence_number is not None:
            words.append(f"stamp={message.sequence_number}")
        return f"{self.before}{' '.join(words)}\r\n".encode("ascii")

    def text(self, parts: list[TableUpdate]) -> tuple[str, str]:
        """More parts than one message may have go on in a second message."""
        written = [self.part(chunk) for part in parts for chunk in chunks(part)] or [[]]
        for place, words in enumerate(written[:-1], 1):
            if place % MOST_PARTS:
                words.append("part=1")
        lines = [" ".join(["push", *words]) for words in written]
        return "".join(line + "\r\n" for line in lines[:-1]), lines[-1]

    def part(self, part: TableUpdate) -> list[str]:
        words = []
        if len(part.request_classes) < len(self.products):
            words.append("for=" + "+".join(self.products[place] for place in part.request_classes))
        if part.complete:
            words.append("replace=1")
        if part.routes:
            words.append(
                "rows="
                + ",".join(f"{self.uid(host)}:{weight:.9g}" for host, weight in part.routes.items())
            )
        if part.admission_limit:
            words += [
                f"gate={part.admission_limit.limit:.9g}",
                f"again={int(part.admission_limit.retry)}",
            ]
        return words


def chunks(part: TableUpdate) -> Iterator[TableUpdate]:
    lines = list(part.routes.items())
    yield TableUpdate(
        part.request_classes, part.complete, dict(lines[:ROWS_A_PART]), part.admission_limit
    )
    for at in range(ROWS_A_PART, len(lines), ROWS_A_PART):
        yield TableUpdate(part.request_classes, False, dict(lines[at : at + ROWS_A_PART]))


def read_report(body: bytes) -> LoadReport | None:
    """The load report that a probe's answer carries, if it does."""
    form, _, rest = body.decode("ascii", "replace").strip().partition(" ")
    return (
        report_from(pair.strip().partition("=") for pair in rest.split(","))
        if form == "TEXT"
        else None
    )


def report_from(pairs: Iterable[tuple[str, str, str]]) -> LoadReport:
    """What is not known by its name, or no figure, is left out: the sums beside it still count."""
    return load_report(
        (REPORT_FIELDS[name], float(value))
        for name, _, value in pairs
        if name in REPORT_FIELDS and NUMBER.fullmatch(value) and float(value) <= MOST_LOAD
    )
