"""Which hosts proxies may keep withdrawn by a command on an earlier stream.

A proxy keeps hosts withdrawn when its stream ends, and the protocol has no message that states
which. The command may have come from another controller, which may have had newer endpoint lists.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass, field


@dataclass(slots=True)
class JoinedProxy:
    """A joined proxy.

    Attributes:
        fresh: Whether it holds no table that a controller has written.
        joined_us: When it joined, in microseconds.
        hosts: Hosts that it may keep withdrawn, if it is fresh.
    """

    fresh: bool
    joined_us: int
    hosts: set[int] = field(default_factory=set)


class EarlierWithdrawals:
    """Tracks which hosts joined proxies may keep withdrawn from before their current streams.

    A host can have been withdrawn while it was not ready: while the endpoint lists said so, and
    shortly before its start.

    For a proxy with tables, any such host counts: it may have been on other streams for hours. A
    fresh proxy got withdrawals only while it waited for its first tables. So for it, only hosts
    count that were not ready shortly before it joined, as this or another controller's list says.

    Args:
        memory_us: Longest time between a withdrawal that a waiting proxy got and its joining here.
        list_delay_us: Longest time by which another controller's list may be ahead of this one's.
    """

    def __init__(self, memory_us: int, list_delay_us: int) -> None:
        self._memory_us = memory_us
        self._list_delay_us = list_delay_us
        self._proxies: dict[int, JoinedProxy] = {}  # in the order in which they joined
        self._not_ready: set[int] = set()
        self._not_ready_at_us: dict[int, int] = {}  # by host, when it was last not ready

    def join(self, proxy: int, fresh: bool, now: int) -> None:
        """Records that a proxy joined on a new stream."""
        joined = JoinedProxy(fresh, now)
        if fresh:
            earliest_us = now - self._memory_us
            joined.hosts |= self._not_ready
            joined.hosts |= {
                host for host, at_us in self._not_ready_at_us.items() if at_us >= earliest_us
            }
        self.leave(proxy)
        self._proxies[proxy] = joined

    def leave(self, proxy: int) -> None:
        """Records that a proxy left. Does nothing if it is not joined."""
        self._proxies.pop(proxy, None)

    def list_host(self, host: int, is_ready: bool, started_us: int, now: int) -> None:
        """Records an entry of an endpoint list.

        Args:
            host: The host.
            is_ready: Whether it is listed ready.
            started_us: When it started, in microseconds; 0 if that was long ago.
            now: Time in microseconds.
        """
        was_not_ready = host in self._not_ready
        if is_ready:
            self._not_ready.discard(host)
        else:
            self._not_ready.add(host)
        if is_ready and not was_not_ready and not started_us:
            return  # as far as the lists show, it has been ready for long
        not_ready_at_us = started_us if is_ready and not was_not_ready else now
        self._not_ready_at_us[host] = max(not_ready_at_us, self._not_ready_at_us.get(host, 0))
        for joined in reversed(self._proxies.values()):
            if now - joined.joined_us > self._list_delay_us:
                break
            if joined.joined_us - not_ready_at_us <= self._memory_us:
                joined.hosts.add(host)

    def hosts(self, proxy: int) -> Set[int]:
        """Returns the hosts that a proxy may keep withdrawn; none if it is not joined."""
        joined = self._proxies.get(proxy)
        if joined is None:
            return set()
        return joined.hosts if joined.fresh else self._not_ready_at_us.keys()

    def proxies_keeping(self, host: int, proxies: Iterable[int]) -> list[int]:
        """Returns those of the proxies that may keep a host withdrawn, in the same order."""
        if host not in self._not_ready_at_us:
            return []
        return [proxy for proxy in proxies if host in self.hosts(proxy)]

    def forget_host(self, host: int) -> None:
        """Discards the state of a host that is no longer remembered.

        The host may be listed again, under another id or index. So a proxy that may keep it
        withdrawn no longer counts as fresh.
        """
        self._not_ready.discard(host)
        self._not_ready_at_us.pop(host, None)
        for joined in self._proxies.values():
            if host in joined.hosts:
                joined.hosts.remove(host)
                joined.fresh = False

    def count_as_returning(self, proxy: int) -> None:
        """Records that a proxy may keep hosts withdrawn that are no longer remembered."""
        joined = self._proxies.get(proxy)
        if joined is not None:
            joined.fresh = False
