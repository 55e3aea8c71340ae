"""Drains that are notified before the list that holds them: what is believed, and for how long.

A drain that anyone notifies holds until a list of its revision or a higher one says otherwise.
Opens no host.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from plankroute.events.events import HostState
from plankroute.units import SECOND_US

# Of the hosts that are listed: a peer's notices alone must leave proxies somebody to pick.
MAX_CLOSED_PART = 0.5
# Without the list that was announced: as long as a first list may take (`MAX_FIRST_LIST_US` of
# `followed_links.py`).
HOLD_US = 60 * SECOND_US


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """One host, closed at a revision; `source`: the controller, or the file, that said so."""

    state: HostState
    revision: int
    source: str
    received_us: int


class DrainNotices:
    """By host name, the newest notice ahead of the list.

    Guards against a drain that waits behind a large list on a slow link. Harm: a peer with false
    notices can close half of the hosts until the service contradicts it, or a minute is over; its
    lists could do more.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, DrainNotice] = {}
        self.rejected = 0  # beyond what is believed ahead of a list: they come with it

    def receive(
        self,
        now_us: int,
        source: str,
        revision: int,
        closed: Iterable[tuple[str, HostState]],
        own_revision: int,
        listed_hosts: int,
    ) -> list[str]:
        """Take the notices of one message.

        Args:
            now_us: steady time.
            source: who sent them.
            revision: at which these hosts are closed.
            closed: names and states of the hosts.
            own_revision: of this controller's list.
            listed_hosts: how many hosts that list has.

        Returns:
            Names of hosts whose notice is new and believed.
        """
        if revision <= own_revision:
            return []
        accepted = list[str]()
        for host, state in closed:
            known = self.by_host.get(host)
            if state is HostState.READY:
                continue
            if known is None and len(self.by_host) + 1 > MAX_CLOSED_PART * listed_hosts:
                self.rejected += 1
            elif known is None or known.revision < revision:
                self.by_host[host] = DrainNotice(state, revision, source, now_us)
                accepted.append(host)
        return accepted

    def on_list(self, revision: int | None) -> list[str]:
        """A list of that revision is believed: hosts whose notice it settles.

        None: the revisions began anew, all notices are settled.
        """
        return self.remove(
            {
                host
                for host, notice in self.by_host.items()
                if revision is None or notice.revision <= revision
            }
        )

    def retract(self, source: str) -> list[str]:
        """The service knows nothing of what that source claimed: hosts whose notice is dropped."""
        return self.remove(
            {host for host, notice in self.by_host.items() if notice.source == source}
        )

    def expire(self, now_us: int) -> list[str]:
        """Drop notices that no list has confirmed for too long; their hosts."""
        return self.remove(
            {host for host, notice in self.by_host.items() if now_us - notice.received_us > HOLD_US}
        )

    def remove(self, hosts: set[str]) -> list[str]:
        """Remove the notices of these hosts; the names, sorted."""
        for host in hosts:
            del self.by_host[host]
        return sorted(hosts)
