"""Drain notices laid over what the controller is told of hosts.

Decides nothing: which notices are believed is `cold_start.drain_notices`'s to say.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace

from plankroute.cold_start.drain_notices import DrainNotices
from plankroute.cold_start.endpoint_list import NO_REVISION
from plankroute.events import events
from plankroute.events.events import HostState, ListKind
from plankroute.net.discovery.directory import Directory
from plankroute.net.process.clock import monotonic_us as now_us
from plankroute.net.process.telemetry import Telemetry

MAX_LOGGED = 30  # hosts of one line


class DrainNoticeOverlay:
    """`filter_list` stands between every list and the controller.

    Attributes:
        core: the notices that are believed.
        revision: of the last list.
        overridden_entries: as the list has those hosts that a notice has closed, by name.
        after_list: called once a list is handed on, if set.
    """

    def __init__(
        self, directory: Directory, telemetry: Telemetry, submit: Callable[[events.Event], None]
    ) -> None:
        self.directory = directory
        self.telemetry = telemetry
        self.submit = submit
        self.core = DrainNotices()
        self.revision = NO_REVISION
        self.overridden_entries: dict[str, events.HostEntry] = {}
        self.after_list: Callable[[], None] | None = None

    def receive(self, source: str, revision: int, closed: Iterable[tuple[str, HostState]]) -> None:
        """Close hosts that are known here at once; those that are not come with their list."""
        listed_hosts = len(self.directory.hosts)
        accepted = self.core.receive(
            now_us(), source, revision, closed, self.revision, listed_hosts
        )
        self.telemetry.counts["drain_notices.rejected"] = self.core.rejected
        if not accepted:
            return
        self.telemetry.count("drain_notices.accepted", len(accepted))
        self.telemetry.log.event(
            "info",
            "drain_notices_accepted",
            other=source,
            revision=revision,
            hosts=accepted[:MAX_LOGGED],
        )
        entries = [
            self.directory.hosts[self.directory.ids[uid]].entry
            for uid in accepted
            if uid in self.directory.ids
        ]
        self.submit_changes([self.overlaid(entry) for entry in entries if entry is not None])

    def filter_list(
        self, revision: int, is_complete: bool, listed: events.HostList
    ) -> events.HostList:
        """A list that is believed settles notices up to its revision; the rest holds on over it."""
        revisions_restarted = is_complete and revision < self.revision
        settled = self.core.on_list(None if revisions_restarted else revision)
        self.revision = revision
        entries = {entry.host: self.overlaid(entry) for entry in listed.entries}
        for entry in self.pop_listed(settled):
            entries.setdefault(entry.host, entry)
        if self.after_list:
            asyncio.get_running_loop().call_soon(self.after_list)
        return events.HostList(listed.kind, tuple(entries.values()))

    def overlaid(self, entry: events.HostEntry) -> events.HostEntry:
        """The entry as its notice has it, if there is one."""
        uid = self.directory.uid(entry.host)
        notice = self.core.by_host.get(uid)
        if notice is None:
            self.overridden_entries.pop(uid, None)
            return entry
        self.overridden_entries[uid] = entry
        return replace(entry, state=notice.state)

    def pop_listed(self, uids: list[str]) -> list[events.HostEntry]:
        """Entries as the list has them, of hosts whose notice no longer counts."""
        entries = list[events.HostEntry]()
        for uid in uids:
            entry = self.overridden_entries.pop(uid, None)
            if entry is not None and uid in self.directory.ids:
                entries.append(entry)
        return entries

    def expire(self) -> None:
        """Open hosts whose notices no list has confirmed for too long."""
        self.reopen(self.core.expire(now_us()))

    def retract(self, source: str) -> None:
        """Open hosts that this source has closed alone."""
        self.reopen(self.core.retract(source))

    def reopen(self, uids: list[str]) -> None:
        """Submit these hosts as the list has them."""
        self.submit_changes(self.pop_listed(uids))

    def submit_changes(self, entries: list[events.HostEntry]) -> None:
        """Submit entries as changes of the list."""
        if entries:
            self.submit(events.HostList(ListKind.CHANGES, tuple(entries)))
