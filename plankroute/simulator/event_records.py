"""Decodes the records of a batch into events for the instances (controllers) of the process."""

import json
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from plankroute.events import events
from plankroute.events.facts import StartFacts
from plankroute.events.settings import (
    SettingsError,
    load_report,
    microseconds,
    parse_settings,
    positive_or_zero,
)
from plankroute.simulator.frames import WireError


class EventCode(IntEnum):
    """Codes of event records, named as in the simulator's protocol specification."""

    ENLIST = 0
    SYNC = 1
    RING = 2
    STATUS_BACK = 3
    MAIL = 4
    DESTROY = 5
    ATTACHED = 6
    DROPPED_OFF = 7
    INSTALLED = 8
    STATS = 9
    TRAFFIC = 10
    PRESSURE = 11
    MANDATE = 12
    STORED_LINE = 13
    LIST = 14


# Layouts of the fixed part that follows a record's code. Some records have content of variable
# length after it.
ENLIST = struct.Struct("<HQI")
SYNC = struct.Struct("<HBQI")
RING = struct.Struct("<HI")
STATUS_BACK = struct.Struct("<HIHdB")
MAIL = struct.Struct("<HIH")
DESTROY = struct.Struct("<H")
ATTACHED = struct.Struct("<HHHfB")
DROPPED_OFF = struct.Struct("<HH")
INSTALLED = struct.Struct("<HHQd")
STATS = struct.Struct("<HHdIIdIB")
TRAFFIC = struct.Struct("<HdBIHI")
PRESSURE = struct.Struct("<HHBIId")
MANDATE = struct.Struct("<HHB")
STORED_LINE = struct.Struct("<HHIf")
LIST = struct.Struct("<II")
LIST_ENTRY = struct.Struct("<dfHBHIH")
REPORT_VALUE_SIZE = 4  # bytes: a float

HOST_STATE_BY_CODE = {
    0: events.HostState.DRAINING,
    1: events.HostState.READY,
    2: events.HostState.GONE,
}
LIST_KIND_BY_CODE = {
    0: events.ListKind.CACHED,
    1: events.ListKind.FULL,
    2: events.ListKind.CHANGES,
    3: events.ListKind.FAILED,
}
HEALTH_CHECK_OUTCOME_BY_CODE = {
    0: events.HealthCheckOutcome.ANSWERED,
    5: events.HealthCheckOutcome.ERROR,
    11: events.HealthCheckOutcome.REJECTED,
    104: events.HealthCheckOutcome.ERROR,  # connection reset: the host was reachable
    110: events.HealthCheckOutcome.TIMED_OUT,
    111: events.HealthCheckOutcome.UNREACHABLE,
}


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance starts.

    Attributes:
        instance: Number of the instance.
        seed: Seed of its random numbers.
        facts: Its start facts.
    """

    instance: int
    seed: int
    facts: StartFacts


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """An instance is killed."""

    instance: int


@dataclass(frozen=True, slots=True)
class Delivered:
    """An event for one instance."""

    instance: int
    event: events.Event


InstanceEvent = InstanceStarted | InstanceKilled | Delivered


class RecordCursor:
    """A read position in the records of a batch.

    Attributes:
        data: The records.
        position: Offset of the next byte to read.
    """

    __slots__ = ("data", "position")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def fields(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Reads the fixed part of a record; raises struct.error if it is truncated."""
        values = layout.unpack_from(self.data, self.position)
        self.position += layout.size
        return values

    def content(self, size: int) -> bytes:
        """Reads content after a fixed part; raises WireError if fewer than `size` bytes remain."""
        start = self.position
        end = start + size
        if end > len(self.data):
            present = len(self.data) - start
            raise WireError(f"content at byte {start} is truncated: {present} of {size} bytes")
        self.position = end
        return self.data[start:end]


class EventDecoder:
    """Decoder of event records, with the state that it keeps between batches.

    Attributes:
        lists: Endpoint lists by number, shared by all instances.
        report_fields: By instance, the fields of its load reports as `parse_settings` returns them.
    """

    def __init__(self) -> None:
        self.lists: dict[int, tuple[events.HostEntry, ...]] = {}
        self.report_fields: dict[int, tuple[str, ...]] = {}
        self._readers: dict[int, Callable[[RecordCursor], InstanceEvent | None]] = {
            EventCode.ENLIST: self._instance_started,
            EventCode.SYNC: self._host_list,
            EventCode.RING: self._timer_expired,
            EventCode.STATUS_BACK: self._health_check_result,
            EventCode.MAIL: self._peer_message,
            EventCode.DESTROY: self._instance_killed,
            EventCode.ATTACHED: self._proxy_joined,
            EventCode.DROPPED_OFF: self._proxy_left,
            EventCode.INSTALLED: self._acknowledged,
            EventCode.STATS: self._host_request_stats,
            EventCode.TRAFFIC: self._proxy_request_stats,
            EventCode.PRESSURE: self._slice_request_stats,
            EventCode.MANDATE: self._slice_assignment,
            EventCode.STORED_LINE: self._slice_route,
            EventCode.LIST: self._define_list,
        }

    def decode(self, records: bytes) -> Iterator[InstanceEvent]:
        """Decodes the records of a batch in order.

        A record that defines an endpoint list yields nothing.

        Raises:
            WireError: A record has an unknown code, is truncated, or has invalid content.
        """
        cursor = RecordCursor(records)
        while cursor.position < len(records):
            start = cursor.position
            code = records[start]
            reader = self._readers.get(code)
            if reader is None:
                raise WireError(f"unknown event code {code} at byte {start}")
            cursor.position = start + 1
            try:
                event = reader(cursor)
            except struct.error as error:
                name = EventCode(code).name.lower()
                raise WireError(f"{name} record at byte {start} is truncated") from error
            if event is not None:
                yield event

    # One method per record, named after the event that it returns

    def _instance_started(self, cursor: RecordCursor) -> InstanceStarted:
        instance, seed, size = cursor.fields(ENLIST)
        try:
            settings = json.loads(cursor.content(size))
            facts, self.report_fields[instance] = parse_settings(settings)
        except (ValueError, SettingsError) as error:
            raise WireError(f"invalid settings: {error}") from error
        return InstanceStarted(instance, seed, facts)

    def _instance_killed(self, cursor: RecordCursor) -> InstanceKilled:
        (instance,) = cursor.fields(DESTROY)
        return InstanceKilled(instance)

    def _define_list(self, cursor: RecordCursor) -> None:
        number, count = cursor.fields(LIST)
        entries = cursor.content(LIST_ENTRY.size * count)
        self.lists[number] = tuple(
            events.HostEntry(
                host,
                HOST_STATE_BY_CODE.get(state, events.HostState.GONE),
                zone,
                machine_type,
                cell,
                positive_or_zero(weight),
                microseconds(started_ms),
            )
            for started_ms, weight, machine_type, state, zone, host, cell in LIST_ENTRY.iter_unpack(
                entries
            )
        )

    def _host_list(self, cursor: RecordCursor) -> Delivered:
        instance, kind_code, _version, number = cursor.fields(SYNC)
        kind = LIST_KIND_BY_CODE.get(kind_code)
        if kind is None:
            raise WireError(f"sync record has unknown list kind {kind_code}")
        if kind is events.ListKind.FAILED:
            return Delivered(instance, events.HostList(kind, ()))
        if number not in self.lists:
            raise WireError(f"sync record refers to list {number}, which was never defined")
        return Delivered(instance, events.HostList(kind, self.lists[number]))

    def _timer_expired(self, cursor: RecordCursor) -> Delivered:
        instance, token = cursor.fields(RING)
        return Delivered(instance, events.TimerExpired(token))

    def _health_check_result(self, cursor: RecordCursor) -> Delivered:
        instance, host, outcome_code, elapsed_ms, count = cursor.fields(STATUS_BACK)
        report = self._load_report(instance, count, cursor)
        outcome = HEALTH_CHECK_OUTCOME_BY_CODE.get(outcome_code, events.HealthCheckOutcome.ERROR)
        elapsed_us = microseconds(elapsed_ms)
        return Delivered(instance, events.HealthCheckResult(host, outcome, elapsed_us, report))

    def _peer_message(self, cursor: RecordCursor) -> Delivered:
        instance, sender, size = cursor.fields(MAIL)
        return Delivered(instance, events.PeerMessage(sender, cursor.content(size)))

    def _proxy_joined(self, cursor: RecordCursor) -> Delivered:
        instance, proxy, zone, usual_rate, fresh = cursor.fields(ATTACHED)
        event = events.ProxyJoined(proxy, zone, positive_or_zero(usual_rate), bool(fresh))
        return Delivered(instance, event)

    def _proxy_left(self, cursor: RecordCursor) -> Delivered:
        instance, proxy = cursor.fields(DROPPED_OFF)
        return Delivered(instance, events.ProxyLeft(proxy))

    def _acknowledged(self, cursor: RecordCursor) -> Delivered:
        instance, proxy, sequence_number, elapsed_ms = cursor.fields(INSTALLED)
        event = events.Acknowledged(proxy, sequence_number, microseconds(elapsed_ms))
        return Delivered(instance, event)

    def _host_request_stats(self, cursor: RecordCursor) -> Delivered:
        instance, zone, mean_ms, failed, attempts, span_ms, host, count = cursor.fields(STATS)
        report = self._load_report(instance, count, cursor)
        mean_latency_us = positive_or_zero(mean_ms) * 1000
        span_us = microseconds(span_ms)
        event = events.HostRequestStats(
            host, zone, attempts, failed, mean_latency_us, span_us, report
        )
        return Delivered(instance, event)

    def _proxy_request_stats(self, cursor: RecordCursor) -> Delivered:
        instance, span_ms, request_class, failed, proxy, arrived = cursor.fields(TRAFFIC)
        span_us = microseconds(span_ms)
        event = events.ProxyRequestStats(proxy, request_class, arrived, failed, span_us)
        return Delivered(instance, event)

    def _slice_request_stats(self, cursor: RecordCursor) -> Delivered:
        instance, slice_, request_class, arrived, failed, span_ms = cursor.fields(PRESSURE)
        span_us = microseconds(span_ms)
        event = events.SliceRequestStats(slice_, request_class, arrived, failed, span_us)
        return Delivered(instance, event)

    def _slice_assignment(self, cursor: RecordCursor) -> Delivered:
        instance, slice_, assigned = cursor.fields(MANDATE)
        return Delivered(instance, events.SliceAssignment(slice_, bool(assigned)))

    def _slice_route(self, cursor: RecordCursor) -> Delivered:
        instance, slice_, host, weight = cursor.fields(STORED_LINE)
        return Delivered(instance, events.SliceRoute(slice_, host, positive_or_zero(weight)))

    def _load_report(
        self, instance: int, count: int, cursor: RecordCursor
    ) -> events.LoadReport | None:
        """Reads a load report of `count` values; returns None if there are none."""
        if not count:
            return None
        values = struct.unpack(f"<{count}f", cursor.content(REPORT_VALUE_SIZE * count))
        # Values without a field in the settings are ignored, and so are fields without a value.
        names = self.report_fields.get(instance, ())
        return load_report(zip(names, values, strict=False))
