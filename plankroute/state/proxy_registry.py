"""Proxy registry: joined proxies, the tables as last published, and who is bound to them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from plankroute.events import commands, events
from plankroute.state.channel import Channel
from plankroute.state.published_table import InterimTable, PublishedTable
from plankroute.state.publishing_status import LineKind
from plankroute.state.scheduler import Actor, Scheduler, Tick

RegistryEvent = (
    events.HostEntry
    | events.ProxyJoined
    | events.ProxyLeft
    | events.Acknowledged
    | commands.SetAdmissionLimit
    | Tick
)
"""What the actor is sent that keeps the proxies: among it, the limits that it is to publish."""

KIND_OF_LINE: dict[type[commands.Command], LineKind] = {
    commands.SetRoute: LineKind.SLOT,
    commands.BindProxy: LineKind.BIND,
    commands.WithdrawHost: LineKind.WITHDRAWAL,
    commands.SetAdmissionLimit: LineKind.LIMIT,
    commands.ClearTable: LineKind.SLOT,
}


@dataclass(frozen=True, slots=True)
class WaitingProxy:
    """A joined proxy that is not bound yet.

    Attributes:
        has_older_tables: It holds tables of an earlier stream, not only those that it began with.
        usual_rate: Requests a second that it usually gets.
        since_us: Clock in microseconds at which it joined.
    """

    has_older_tables: bool
    usual_rate: float
    since_us: int

    @property
    def bind_order(self) -> tuple[bool, float]:
        """Sorts those without older tables first, and of them those with the highest rate."""
        return self.has_older_tables, -self.usual_rate


class ProxyRegistry(Actor[RegistryEvent]):
    """Joined proxies, the tables and the channel to the proxies; storage, no decision.

    A joined proxy is either bound to the complete tables or to interim tables, or unbound: it waits
    to be bound and uses the tables that it joined with. Hosts are named by their index in the host
    statistics.

    Attributes:
        tables: The complete tables of this controller.
        interim_tables: Its interim tables.
        channel: Accounting of the lines in flight to the proxies.
        zone_of_proxy: Zone by joined proxy.
        bound: Proxies that are bound to complete tables.
        interim: By proxy on interim tables, its usual rate of requests a second.
        unbound: The unbound proxies.
        returning: Joined proxies that came with older tables: they may keep hosts withdrawn that
            others withdrew.
        notified: By withdrawn host, the proxies that were told so on their present streams.
        disconnected_at: By proxy, the clock in microseconds at which its stream ended, of late.
    """

    def __init__(
        self, scheduler: Scheduler, tables: Sequence[PublishedTable], channel: Channel
    ) -> None:
        super().__init__(scheduler)
        self.tables: list[PublishedTable] = list(tables)
        self.interim_tables: list[InterimTable] = []
        self.channel = channel
        self.zone_of_proxy: dict[int, int] = {}
        self.bound: set[int] = set()
        self.interim: dict[int, float] = {}
        self.unbound: dict[int, WaitingProxy] = {}
        self.returning: set[int] = set()
        self.notified: dict[int, set[int]] = {}
        self.disconnected_at: dict[int, int] = {}

    def join(self, event: events.ProxyJoined) -> None:
        """Adds a proxy, unbound."""
        self.zone_of_proxy[event.proxy] = event.zone
        now = self.scheduler.now
        self.unbound[event.proxy] = WaitingProxy(not event.fresh, event.usual_rate, now)
        if not event.fresh:
            self.returning.add(event.proxy)

    def leave(self, proxy: int) -> None:
        """Removes a proxy, if it is joined."""
        self.bound.discard(proxy)
        self.leave_interim_tables(proxy)
        self.returning.discard(proxy)
        for proxies in self.notified.values():
            proxies.discard(proxy)
        self.zone_of_proxy.pop(proxy, None)
        self.unbound.pop(proxy, None)
        self.channel.disconnect(proxy)

    def enter_complete_tables(self, proxy: int) -> None:
        """Notes that a proxy was bound to complete tables."""
        self.unbound.pop(proxy, None)
        self.leave_interim_tables(proxy)
        self.bound.add(proxy)

    def enter_interim_tables(self, proxy: int, tables: Iterable[InterimTable]) -> None:
        """Notes that an unbound proxy was bound to interim tables."""
        rate = self.unbound.pop(proxy).usual_rate
        self.interim[proxy] = rate
        for table in tables:
            table.users.add(proxy)
            table.rate += rate

    def leave_interim_tables(self, proxy: int) -> None:
        """Notes that a proxy uses interim tables no longer, if it did."""
        rate = self.interim.pop(proxy, None)
        if rate is None:
            return
        for table in self.interim_tables:
            if proxy in table.users:
                table.users.remove(proxy)
                table.rate -= rate

    def unbound_zones(self) -> set[int]:
        """Returns the zones of unbound proxies that have only the tables that they began with."""
        return {
            self.zone_of_proxy[proxy]
            for proxy, waiting in self.unbound.items()
            if not waiting.has_older_tables
        }

    def count_disconnects(self, proxy: int, now: int, span_us: int) -> int:
        """Notes that a stream ended, and counts the proxies whose streams ended within the span.

        A proxy that joins again and again counts once.

        Args:
            proxy: Whose stream ended.
            now: Clock in microseconds.
            span_us: How far back the count goes.
        """
        recent = {other: at for other, at in self.disconnected_at.items() if at > now - span_us}
        recent[proxy] = now
        self.disconnected_at = recent
        return len(recent)

    def users(self, table: PublishedTable) -> list[int]:
        """Returns the proxies that are bound to the table."""
        if isinstance(table, InterimTable):
            return sorted(table.users)
        return [proxy for proxy in self.bound if table.serves_zone(self.zone_of_proxy[proxy])]

    def recipients(
        self, table: PublishedTable, index: int, possibly_withdrawn: set[int]
    ) -> list[int]:
        """Returns the proxies that are written a line for a host's new slots.

        A proxy that may keep the host withdrawn is listed twice when the host enters the table: a
        second line ends the withdrawal.

        Args:
            table: Where the slots change.
            index: The host.
            possibly_withdrawn: Hosts that returning proxies may keep withdrawn.
        """
        users = self.users(table)
        if index not in possibly_withdrawn or index in table.published:
            return users
        return users + [proxy for proxy in users if proxy in self.returning]

    def command(self, command: commands.Command, proxies: Iterable[int], lines: int = 1) -> None:
        """Gives out a command that writes so many lines to each of the proxies."""
        self.scheduler.out.append(command)
        self.channel.charge(proxies, lines, KIND_OF_LINE[type(command)])

    def request_acknowledgements(self) -> None:
        """Ends the batch's messages: acknowledgements will tell when they have left the channel."""
        sequence_number = self.channel.close_batch()
        if sequence_number is not None:
            self.scheduler.out.append(commands.RequestAcknowledgement(sequence_number))

    def tables_with(self, host: int) -> list[PublishedTable]:
        """Returns the complete tables that hold a host (by index)."""
        return [table for table in self.tables if host in table.published]

    def interim_tables_with(self, host: int) -> list[InterimTable]:
        """Returns the interim tables that hold a host (by index)."""
        return [table for table in self.interim_tables if host in table.published]

    def unnotified_lines(self, host: int) -> int:
        """Returns the lines that notify the unbound proxies of a host's withdrawal."""
        return len(self.unbound.keys() - self.notified.get(host, set()))

    def mark_notified(self, host: int, proxies: Iterable[int]) -> list[int]:
        """Marks the proxies as notified of a host's withdrawal.

        Returns:
            Those that were not notified on their present streams.
        """
        notified = self.notified.setdefault(host, set())
        new = [proxy for proxy in proxies if proxy not in notified]
        notified.update(new)
        return new
