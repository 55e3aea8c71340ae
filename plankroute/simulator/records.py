"""Records of the wire: events become notes, orders become actions."""

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from plankroute.events import commands, events
from plankroute.events.facts import StartFacts
from plankroute.events.settings import (
    SettingsError,
    finite,
    load_report,
    microseconds,
    parse_settings,
)
from plankroute.simulator.frames import WireError

ALL_TABLES = 0xFFFF
ALL_PEERS = 0xFFFF
STATES = {0: events.HostState.DRAINING, 1: events.HostState.READY, 2: events.HostState.GONE}
LIST_KINDS = {
    0: events.ListKind.CACHED,
    1: events.ListKind.FULL,
    2: events.ListKind.CHANGES,
    3: events.ListKind.FAILED,
}
OUTCOMES = {
    0: events.HealthCheckOutcome.ANSWERED,
    5: events.HealthCheckOutcome.ERROR,
    11: events.HealthCheckOutcome.REJECTED,
    110: events.HealthCheckOutcome.TIMED_OUT,
    111: events.HealthCheckOutcome.UNREACHABLE,
    104: events.HealthCheckOutcome.ERROR,
}
ENTRY = struct.Struct("<dfHBHIH")
EVENTS = {
    0: "enlist",
    1: "sync",
    2: "ring",
    3: "status_back",
    4: "mail",
    5: "destroy",
    6: "attached",
    7: "dropped_off",
    8: "installed",
    9: "stats",
    10: "traffic",
    11: "pressure",
    12: "mandate",
    13: "stored_line",
    14: "list",
}
LAYOUTS = {
    name: struct.Struct("<" + layout)
    for name, layout in {
        "enlist": "HQI",
        "sync": "HBQI",
        "ring": "HI",
        "status_back": "HIHdB",
        "mail": "HIH",
        "destroy": "H",
        "attached": "HHHfB",
        "dropped_off": "HH",
        "installed": "HHQd",
        "stats": "HHdIIdIB",
        "traffic": "HdBIHI",
        "pressure": "HHBIId",
        "mandate": "HHB",
        "stored_line": "HHIf",
        "list": "II",
    }.items()
}


@dataclass(frozen=True, slots=True)
class Enlisted:
    """An instance starts."""

    instance: int
    seed: int
    facts: StartFacts


@dataclass(frozen=True, slots=True)
class Destroyed:
    """An instance is killed."""

    instance: int


@dataclass(frozen=True, slots=True)
class Delivered:
    """A note for an instance."""

    instance: int
    note: events.Event


WireEvent = Enlisted | Destroyed | Delivered


class Decoder:
    """Holds what outlives a batch: the numbered lists, and each instance's report fields."""

    def __init__(self) -> None:
        self.lists: dict[int, tuple[events.HostEntry, ...]] = {}
        self.report_fields: dict[int, tuple[str, ...]] = {}

    def decode(self, body: bytes) -> Iterator[WireEvent]:
        at = 0
        while at < len(body):
            code = body[at]
            name = EVENTS.get(code)
            if name is None:
                raise WireError(f"event code {code} at byte {at} is not known")
            try:
                values = LAYOUTS[name].unpack_from(body, at + 1)
            except struct.error as error:
                raise WireError(f"{name} at byte {at} is cut short") from error
            at += 1 + LAYOUTS[name].size
            event, at = getattr(self, "on_" + name)(values, body, at)
            if event is not None:
                yield event

    @staticmethod
    def tail(body: bytes, at: int, size: int) -> bytes:
        if at + size > len(body):
            raise WireError(f"{size} bytes promised at byte {at}, {len(body) - at} there")
        return body[at : at + size]

    def report(
        self, instance: int, count: int, body: bytes, at: int
    ) -> tuple[events.LoadReport | None, int]:
        raw = self.tail(body, at, 4 * count)
        if not count:
            return None, at
        values = struct.unpack(f"<{count}f", raw)
        return load_report(zip(self.report_fields.get(instance, ()), values)), at + len(raw)

    def on_enlist(self, values, body, at):
        instance, seed, size = values
        try:
            facts, self.report_fields[instance] = parse_settings(
                json.loads(self.tail(body, at, size))
            )
        except (ValueError, SettingsError) as error:
            raise WireError(f"the settings can't be read: {error}") from error
        return Enlisted(instance, seed, facts), at + size

    def on_destroy(self, values, body, at):
        return Destroyed(values[0]), at

    def on_list(self, values, body, at):
        number, count = values
        raw = self.tail(body, at, ENTRY.size * count)
        self.lists[number] = tuple(
            events.HostEntry(
                host,
                STATES.get(mode, events.HostState.GONE),
                zone,
                kind,
                cell,
                finite(weight),
                microseconds(launched),
            )
            for launched, weight, kind, mode, zone, host, cell in ENTRY.iter_unpack(raw)
        )
        return None, at + len(raw)

    def on_sync(self, values, body, at):
        instance, mode, _serial, number = values
        kind = LIST_KINDS.get(mode)
        if kind is None:
            raise WireError(f"sync of unknown kind {mode}")
        if kind is events.ListKind.FAILED:
            return Delivered(instance, events.HostList(kind, ())), at
        if number not in self.lists:
            raise WireError(f"sync names list {number}, which was never sent")
        return Delivered(instance, events.HostList(kind, self.lists[number])), at

    def on_ring(self, values, body, at):
        return Delivered(values[0], events.TimerExpired(values[1])), at

    def on_status_back(self, values, body, at):
        instance, host, ending, took, count = values
        report, at = self.report(instance, count, body, at)
        outcome = OUTCOMES.get(ending, events.HealthCheckOutcome.ERROR)
        return Delivered(
            instance, events.HealthCheckResult(host, outcome, microseconds(took), report)
        ), at

    def on_mail(self, values, body, at):
        instance, sender, size = values
        return Delivered(instance, events.PeerMessage(sender, self.tail(body, at, size))), at + size

    def on_attached(self, values, body, at):
        instance, proxy, zone, rate, fresh = values
        return Delivered(instance, events.ProxyJoined(proxy, zone, finite(rate), bool(fresh))), at

    def on_dropped_off(self, values, body, at):
        return Delivered(values[0], events.ProxyLeft(values[1])), at

    def on_installed(self, values, body, at):
        instance, proxy, sequence_number, took = values
        return Delivered(
            instance, events.Acknowledged(proxy, sequence_number, microseconds(took))
        ), at

    def on_stats(self, values, body, at):
        instance, zone, mean, failed, attempts, span, host, count = values
        report, at = self.report(instance, count, body, at)
        note = events.HostRequestStats(
            host, zone, attempts, failed, finite(mean) * 1000, microseconds(span), report
        )
        return Delivered(instance, note), at

    def on_traffic(self, values, body, at):
        instance, span, product, failed, proxy, arrived = values
        note = events.ProxyRequestStats(proxy, product, arrived, failed, microseconds(span))
        return Delivered(instance, note), at

    def on_pressure(self, values, body, at):
        instance, slice_, product, arrived, failed, span = values
        note = events.SliceRequestStats(slice_, product, arrived, failed, microseconds(span))
        return Delivered(instance, note), at

    def on_mandate(self, values, body, at):
        return Delivered(values[0], events.SliceAssignment(values[1], bool(values[2]))), at

    def on_stored_line(self, values, body, at):
        instance, slice_, host, weight = values
        return Delivered(instance, events.SliceRoute(slice_, host, finite(weight))), at


def mask(products: tuple[int, ...] | None) -> int:
    return 0 if products is None else sum(1 << place for place in products)


def encode_order(instance: int, command: commands.Command) -> bytes:
    """One action record."""
    match command:
        case commands.SetRoute(table, host, weight):
            return struct.pack("<BHHIf", 75, instance, table, host, weight)
        case commands.BindProxy(table, proxy, products):
            return struct.pack("<BHHHH", 67, instance, table, proxy, mask(products))
        case commands.WithdrawHost(host, out):
            return struct.pack("<BHIB", 72, instance, host, out)
        case commands.SetAdmissionLimit(table, products, level, retry):
            number = ALL_TABLES if table is commands.ALL_TABLES else table
            return struct.pack("<BHHBHf", 68, instance, number, retry, mask(products), level)
        case commands.SetTimer(after_us, token):
            return struct.pack("<BHdI", 65, instance, after_us / 1000, token)
        case commands.CheckHealth(host):
            return struct.pack("<BHI", 70, instance, host)
        case commands.RequestAcknowledgement(sequence_number, everyone):
            return struct.pack("<BHQB", 73, instance, sequence_number, everyone)
        case commands.ClearTable(table):
            return struct.pack("<BHH", 64, instance, table)
        case commands.SendToPeer(peer, data):
            number = ALL_PEERS if peer is commands.ALL_PEERS else peer
            return struct.pack("<BHHH", 69, instance, number, len(data)) + data
        case commands.SubscribeHostList(on):
            return struct.pack("<BHB", 74, instance, on)
        case commands.PollHostList():
            return struct.pack("<BH", 66, instance)
        case commands.LogMessage(text):
            return encode_text(71, instance, text)
    raise TypeError(f"no record for {command!r}")


def encode_failure(instance: int, text: str) -> bytes:
    return encode_text(76, instance, text)


def encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode("utf-8", "replace")[:60000]
    return struct.pack("<BHH", code, instance, len(data)) + data
