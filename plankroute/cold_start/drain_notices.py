"""Drain notices, which arrive ahead of their list: which are accepted, and for how long they hold.

A notice closes a host, which means that the host is draining or deleted. It holds until a list of
its revision or a higher one arrives. A notice never makes a host available again.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from plankroute.events.events import HostState
from plankroute.units import SECOND_US

# Fraction of the listed hosts that notices may close, so that a peer's notices alone always leave
# hosts for the proxies to choose from.
MAX_CLOSED_FRACTION = 0.5
# Time after which a notice expires if its list has not arrived: as long as a first list may take
# (`MAX_FIRST_LIST_US` of `followed_links.py`).
NOTICE_TIMEOUT_US = 60 * SECOND_US


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """A notice that a host is closed.

    Attributes:
        state: State of the host, draining or gone.
        revision: Revision of the list that closes the host.
        source: Name of the controller that sent the notice; "file" for the snapshot file.
        received_us: Monotonic time of the notice.
    """

    state: HostState
    revision: int
    source: str
    received_us: int


class DrainNotices:
    """The newest accepted notice of each host, by host name, until a list settles it.

    Guards against a drain that waits behind a large list on a slow link. The cost: a peer that
    sends false notices can close half of the hosts until the discovery service contradicts it or a
    minute has passed. False lists of the same peer could do more harm.

    Attributes:
        by_host: The notices, by host name.
        rejected: Number of notices over the limit; their hosts close when the list arrives.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, DrainNotice] = {}
        self.rejected = 0

    def receive(
        self,
        now_us: int,
        source: str,
        revision: int,
        closed: Iterable[tuple[str, HostState]],
        own_revision: int,
        listed_hosts: int,
    ) -> list[str]:
        """Process the notices of one message.

        Notices at or below this controller's revision are ignored, as its list is as new. Entries
        of hosts that are ready are ignored too.

        Args:
            now_us: Monotonic time.
            source: Name of the sender.
            revision: Revision of the list that closes these hosts.
            closed: Names and states of the hosts.
            own_revision: Revision of this controller's list.
            listed_hosts: Number of hosts in this controller's list.

        Returns:
            Names of the hosts whose notice is new and accepted.
        """
        if revision <= own_revision:
            return []
        accepted = list[str]()
        for host, state in closed:
            known = self.by_host.get(host)
            if state is HostState.READY:
                continue
            if known is None and len(self.by_host) + 1 > MAX_CLOSED_FRACTION * listed_hosts:
                self.rejected += 1
            elif known is None or known.revision < revision:
                self.by_host[host] = DrainNotice(state, revision, source, now_us)
                accepted.append(host)
        return accepted

    def on_list(self, revision: int | None) -> list[str]:
        """Remove the notices that an accepted list settles.

        Args:
            revision: Revision of the list; None if the service's revisions have restarted, which
                settles all notices.

        Returns:
            Names of the hosts whose notice is removed, sorted.
        """
        return self.remove(
            {
                host
                for host, notice in self.by_host.items()
                if revision is None or notice.revision <= revision
            }
        )

    def retract(self, source: str) -> list[str]:
        """Remove the notices of a source that claimed a revision unknown to the discovery service.

        Returns:
            Names of the hosts whose notice is removed, sorted.
        """
        return self.remove(
            {host for host, notice in self.by_host.items() if notice.source == source}
        )

    def expire(self, now_us: int) -> list[str]:
        """Remove the notices that no list has settled within `NOTICE_TIMEOUT_US`.

        Returns:
            Names of the hosts whose notice is removed, sorted.
        """
        return self.remove(
            {
                host
                for host, notice in self.by_host.items()
                if now_us - notice.received_us > NOTICE_TIMEOUT_US
            }
        )

    def remove(self, hosts: set[str]) -> list[str]:
        """Remove the notices of these hosts; return their names, sorted."""
        for host in hosts:
            del self.by_host[host]
        return sorted(hosts)
