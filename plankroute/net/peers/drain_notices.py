"""Applies drain notices to the endpoint lists on their way to the controller.

Which notices are accepted, and for how long, is decided by `cold_start.drain_notices`.
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

MAX_LOGGED_HOSTS = 30  # in one log event


class DrainNoticeOverlay:
    """Overrides the state of hosts for which an accepted drain notice is newer than the list.

    Every list passes through `filter_list` before the controller receives it.

    Attributes:
        notices: The accepted drain notices.
        revision: Revision of the last list; `NO_REVISION` before the first one.
        overridden_entries: By host name, the list's own entry of each host that a notice overrides.
        after_list: If set, called in a later iteration of the event loop after each list.
    """

    def __init__(
        self, directory: Directory, telemetry: Telemetry, submit: Callable[[events.Event], None]
    ) -> None:
        self.directory = directory
        self.telemetry = telemetry
        self.submit = submit
        self.notices = DrainNotices()
        self.revision = NO_REVISION
        self.overridden_entries: dict[str, events.HostEntry] = {}
        self.after_list: Callable[[], None] | None = None

    def receive(
        self, source: str, revision: int, closed_hosts: Iterable[tuple[str, HostState]]
    ) -> None:
        """Submits the accepted notices to the controller.

        A notice for a host that is not in the directory yet takes effect with the list that adds
        the host.

        Args:
            source: Name of the controller that sent the notices, or "file".
            revision: Revision of the list in which the hosts are draining or deleted.
            closed_hosts: Names of these hosts with their states.
        """
        listed_hosts = len(self.directory.hosts)
        accepted = self.notices.receive(
            now_us(), source, revision, closed_hosts, self.revision, listed_hosts
        )
        self.telemetry.counts["drain_notices.rejected"] = self.notices.rejected
        if not accepted:
            return
        self.telemetry.count("drain_notices.accepted", len(accepted))
        self.telemetry.log.event(
            "info",
            "drain_notices_accepted",
            other=source,
            revision=revision,
            hosts=accepted[:MAX_LOGGED_HOSTS],
        )
        entries = [
            self.directory.hosts[self.directory.ids[uid]].entry
            for uid in accepted
            if uid in self.directory.ids
        ]
        self.submit_changes([self.apply_notice(entry) for entry in entries if entry is not None])

    def filter_list(
        self, revision: int, is_complete: bool, listed: events.HostList
    ) -> events.HostList:
        """Removes notices that the list supersedes, and applies the remaining ones to the list.

        A list supersedes the notices up to its own revision. A complete list with a lower revision
        than the last one means that the service restarted its revisions; it supersedes all notices.

        Returns:
            The list for the controller. It also has the entries of hosts whose notice was removed.
        """
        revisions_restarted = is_complete and revision < self.revision
        superseded_hosts = self.notices.on_list(None if revisions_restarted else revision)
        self.revision = revision
        entries = {entry.host: self.apply_notice(entry) for entry in listed.entries}
        for entry in self.pop_overridden(superseded_hosts):
            entries.setdefault(entry.host, entry)
        if self.after_list:
            asyncio.get_running_loop().call_soon(self.after_list)
        return events.HostList(listed.kind, tuple(entries.values()))

    def apply_notice(self, entry: events.HostEntry) -> events.HostEntry:
        """Returns the entry with the state from the host's notice, or unchanged without one."""
        uid = self.directory.uid(entry.host)
        notice = self.notices.by_host.get(uid)
        if notice is None:
            self.overridden_entries.pop(uid, None)
            return entry
        self.overridden_entries[uid] = entry
        return replace(entry, state=notice.state)

    def pop_overridden(self, uids: list[str]) -> list[events.HostEntry]:
        """Removes and returns the list's own entries of hosts whose notice was removed.

        Hosts that the directory has forgotten are left out.
        """
        entries = list[events.HostEntry]()
        for uid in uids:
            entry = self.overridden_entries.pop(uid, None)
            if entry is not None and uid in self.directory.ids:
                entries.append(entry)
        return entries

    def expire(self) -> None:
        """Removes notices that no list has confirmed in time, and restores their hosts' state."""
        self.restore_listed_state(self.notices.expire(now_us()))

    def retract(self, source: str) -> None:
        """Removes the notices of one source, and restores their hosts' state."""
        self.restore_listed_state(self.notices.retract(source))

    def restore_listed_state(self, uids: list[str]) -> None:
        """Submits these hosts with the state that the endpoint list has for them."""
        self.submit_changes(self.pop_overridden(uids))

    def submit_changes(self, entries: list[events.HostEntry]) -> None:
        """Submits entries as changes to the endpoint list; does nothing if there are none."""
        if entries:
            self.submit(events.HostList(ListKind.CHANGES, tuple(entries)))
