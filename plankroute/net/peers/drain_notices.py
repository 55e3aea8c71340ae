"""Drains ahead of the list that holds them, laid over what the core is told. Decides nothing: that is
`coldstart.early`'s."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

from plankroute.cold_start.drain_notices import DrainNotices
from plankroute.events import events
from plankroute.events.events import HostState, ListKind
from plankroute.net.discovery.directory import Directory
from plankroute.net.process.clock import monotonic_us as now_us
from plankroute.net.process.telemetry import Telemetry

MOST_LOGGED = 30  # hosts of one line


class DrainNoticeOverlay:
    """`over` stands between every list and the core."""

    def __init__(
        self, directory: Directory, telemetry: Telemetry, put: Callable[[events.Event], None]
    ) -> None:
        self.directory, self.telemetry, self.put = directory, telemetry, put
        self.core, self.revision = DrainNotices(), -1
        self.listed: dict[
            str, events.HostEntry
        ] = {}  # as the list has those that were closed ahead of it
        self.after_list: Callable[[], None] | None = None

    def hear(self, name: str, revision: int, closed: Iterable[tuple[str, HostState]]) -> None:
        """Hosts that are known here are shut at once; those that are not come with their list."""
        new = self.core.hear(
            now_us(), name, revision, closed, self.revision, len(self.directory.hosts)
        )
        self.telemetry.counts["early.refused"] = self.core.refused
        if new:
            self.telemetry.count("early.drains", len(new))
            self.telemetry.log.event(
                "info", "drains_early", other=name, revision=revision, hosts=new[:MOST_LOGGED]
            )
            known = [
                self.directory.hosts[self.directory.ids[uid]].entry
                for uid in new
                if uid in self.directory.ids
            ]
            self.tell([self.shut(entry) for entry in known if entry is not None])

    def over(self, revision: int, whole: bool, listed: events.HostList) -> events.HostList:
        """A list that is believed settles what was told up to its revision; the rest holds on over it."""
        settled = self.core.settle(None if whole and revision < self.revision else revision)
        self.revision = revision
        entries = {entry.host: self.shut(entry) for entry in listed.entries}
        for entry in self.as_listed(settled):
            entries.setdefault(entry.host, entry)
        if self.after_list:
            asyncio.get_running_loop().call_soon(self.after_list)
        return events.HostList(listed.kind, tuple(entries.values()))

    def shut(self, entry: events.HostEntry) -> events.HostEntry:
        uid = self.directory.uid(entry.host)
        if (told := self.core.told.get(uid)) is None:
            self.listed.pop(uid, None)
            return entry
        self.listed[uid] = entry
        return replace(entry, state=told.state)

    def as_listed(self, uids: list[str]) -> list[events.HostEntry]:
        """What was told of them no longer counts."""
        return [
            entry
            for uid in uids
            if (entry := self.listed.pop(uid, None)) is not None and uid in self.directory.ids
        ]

    def reopen(self, uids: list[str]) -> None:
        self.tell(self.as_listed(uids))

    def tell(self, entries: list[events.HostEntry]) -> None:
        if entries:
            self.put(events.HostList(ListKind.CHANGES, tuple(entries)))
