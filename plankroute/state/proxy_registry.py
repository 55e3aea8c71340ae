"""Proxy registry: joined proxies, the published tables, and which proxies use which tables."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from plankroute.events import commands, events
from plankroute.state.channel import Channel
from plankroute.state.earlier_withdrawals import EarlierWithdrawals
from plankroute.state.published_table import InterimTable, PublishedTable
from plankroute.state.publishing_status import LineKind
from plankroute.state.scheduler import Actor, Scheduler, Tick

RegistryEvent = (
    events.HostEntry
    | events.ProxyJoined
    | events.ProxyLeft
    | events.Acknowledged
    | events.AcknowledgementRejected
    | commands.SetAdmissionLimit
    | Tick
)
"""Events of the actor that keeps the registry. `SetAdmissionLimit` is a limit for it to publish."""

LINE_KIND_BY_COMMAND: dict[type[commands.Command], LineKind] = {
    commands.SetRoute: LineKind.SLOT,
    commands.BindProxy: LineKind.BIND,
    commands.WithdrawHost: LineKind.WITHDRAWAL,
    commands.SetAdmissionLimit: LineKind.LIMIT,
    commands.ClearTable: LineKind.SLOT,
    commands.PingProxy: LineKind.OVERHEAD,
}


@dataclass(frozen=True, slots=True)
class WaitingProxy:
    """A joined proxy that is not bound yet.

    Attributes:
        has_older_tables: Whether it holds tables from an earlier stream, and not only those that it
            started with.
        usual_rate: Requests per second that it usually gets.
        since_us: When it joined, in microseconds.
    """

    has_older_tables: bool
    usual_rate: float
    since_us: int

    @property
    def bind_order(self) -> tuple[bool, float]:
        """Sort key: proxies without older tables come first, then those with the highest rate."""
        return self.has_older_tables, -self.usual_rate


class ProxyRegistry(Actor[RegistryEvent]):
    """Stores the joined proxies, the tables and the accounting of the channel to the proxies.

    A joined proxy is bound to complete tables, bound to interim tables, or unbound. An unbound
    proxy waits to be bound and uses the tables that it joined with. Hosts are identified by their
    index in the host statistics.

    Attributes:
        tables: The complete tables of this controller.
        interim_tables: The interim tables of this controller.
        channel: Accounting of the lines in flight to the proxies.
        zone_of_proxy: Zone of each joined proxy.
        bound: Proxies that are bound to complete tables.
        interim: Proxies on interim tables, with the usual rate of each in requests per second.
        unbound: The unbound proxies.
        earlier_withdrawals: Hosts that joined proxies may keep withdrawn from earlier streams.
            Knows no hosts unless `StartFacts.bind_reinstates_hosts` is set.
        notified: By withdrawn host, the proxies notified of it on their current streams.
        acknowledgement_rejected_us: When an acknowledgement of a joined proxy was rejected, or the
            proxy was last asked for another one since, in microseconds. Only proxies that have
            acknowledged nothing since then have an entry.
        disconnected_at: When the stream of each recently disconnected proxy ended, in microseconds.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        tables: Sequence[PublishedTable],
        channel: Channel,
        earlier_withdrawals: EarlierWithdrawals,
    ) -> None:
        super().__init__(scheduler)
        self.tables: list[PublishedTable] = list(tables)
        self.interim_tables: list[InterimTable] = []
        self.channel = channel
        self.zone_of_proxy: dict[int, int] = {}
        self.bound: set[int] = set()
        self.interim: dict[int, float] = {}
        self.unbound: dict[int, WaitingProxy] = {}
        self.earlier_withdrawals = earlier_withdrawals
        self.notified: dict[int, set[int]] = {}
        self.acknowledgement_rejected_us: dict[int, int] = {}
        self.disconnected_at: dict[int, int] = {}

    def join(self, event: events.ProxyJoined) -> None:
        """Adds a proxy as unbound."""
        self.zone_of_proxy[event.proxy] = event.zone
        now = self.scheduler.now
        self.unbound[event.proxy] = WaitingProxy(not event.fresh, event.usual_rate, now)
        self.earlier_withdrawals.join(event.proxy, event.fresh, now)

    def leave(self, proxy: int) -> None:
        """Removes a proxy. Does nothing if it is not joined."""
        self.bound.discard(proxy)
        self.leave_interim_tables(proxy)
        self.earlier_withdrawals.leave(proxy)
        for proxies in self.notified.values():
            proxies.discard(proxy)
        self.zone_of_proxy.pop(proxy, None)
        self.unbound.pop(proxy, None)
        self.acknowledgement_rejected_us.pop(proxy, None)
        self.channel.disconnect(proxy)

    def acknowledge(self, proxy: int, sequence_number: int) -> None:
        """Records that a proxy acknowledged a message and with it all earlier ones."""
        self.acknowledgement_rejected_us.pop(proxy, None)
        self.channel.acknowledge(proxy, sequence_number)

    def reject_acknowledgement(self, proxy: int) -> None:
        """Records that an acknowledgement was rejected. Does nothing if the proxy is not joined."""
        if proxy in self.zone_of_proxy:
            self.acknowledgement_rejected_us.setdefault(proxy, self.scheduler.now)

    def enter_complete_tables(self, proxy: int) -> None:
        """Records that a proxy was bound to complete tables."""
        self.unbound.pop(proxy, None)
        self.leave_interim_tables(proxy)
        self.bound.add(proxy)

    def enter_interim_tables(self, proxy: int, tables: Iterable[InterimTable]) -> None:
        """Records that an unbound proxy was bound to interim tables."""
        rate = self.unbound.pop(proxy).usual_rate
        self.interim[proxy] = rate
        for table in tables:
            table.users.add(proxy)
            table.rate += rate

    def leave_interim_tables(self, proxy: int) -> None:
        """Records that a proxy no longer uses interim tables, if it used any."""
        rate = self.interim.pop(proxy, None)
        if rate is None:
            return
        for table in self.interim_tables:
            if proxy in table.users:
                table.users.remove(proxy)
                table.rate -= rate

    def unbound_zones(self) -> set[int]:
        """Returns the zones of unbound proxies that have only the tables that they started with."""
        return {
            self.zone_of_proxy[proxy]
            for proxy, waiting in self.unbound.items()
            if not waiting.has_older_tables
        }

    def count_disconnects(self, proxy: int, now: int, window_us: int) -> int:
        """Records that a proxy's stream ended, and counts recent disconnects.

        Args:
            proxy: The proxy whose stream ended.
            now: Time in microseconds.
            window_us: Length of the counted window up to `now`, in microseconds.

        Returns:
            The number of proxies whose streams ended within the window. A proxy that disconnected
            repeatedly counts once.
        """
        recent = {other: at for other, at in self.disconnected_at.items() if at > now - window_us}
        recent[proxy] = now
        self.disconnected_at = recent
        return len(recent)

    def users(self, table: PublishedTable) -> list[int]:
        """Returns the proxies that are bound to a table."""
        if isinstance(table, InterimTable):
            return sorted(table.users)
        return [proxy for proxy in self.bound if table.serves_zone(self.zone_of_proxy[proxy])]

    def recipients(self, table: PublishedTable, index: int) -> list[int]:
        """Returns the proxies that get a line when a host's slots in a table change.

        When a host enters the table, a proxy that may keep it withdrawn appears twice, because a
        second line reinstates the host there.

        Args:
            table: The table in which the slots change.
            index: The host.
        """
        users = self.users(table)
        if index in table.published:
            return users
        return users + self.earlier_withdrawals.proxies_keeping(index, users)

    def command(self, command: commands.Command, proxies: Iterable[int], lines: int = 1) -> None:
        """Issues a command, and counts the lines that it writes.

        Args:
            command: The command.
            proxies: The proxies that it writes to.
            lines: Lines that it writes to each of them.
        """
        self.scheduler.out.append(command)
        self.channel.charge(proxies, lines, LINE_KIND_BY_COMMAND[type(command)])

    def request_acknowledgements(self) -> None:
        """Ends the batch in the channel, and requests acknowledgements if it wrote any lines."""
        sequence_number = self.channel.close_batch()
        if sequence_number is not None:
            self.scheduler.out.append(commands.RequestAcknowledgement(sequence_number))

    def tables_with(self, host: int) -> list[PublishedTable]:
        """Returns the complete tables that hold a host."""
        return [table for table in self.tables if host in table.published]

    def interim_tables_with(self, host: int) -> list[InterimTable]:
        """Returns the interim tables that hold a host."""
        return [table for table in self.interim_tables if host in table.published]

    def unnotified_lines(self, host: int) -> int:
        """Returns the number of unbound proxies not yet notified of a host's withdrawal.

        Each of them costs a line.
        """
        return len(self.unbound.keys() - self.notified.get(host, set()))

    def mark_notified(self, host: int, proxies: Iterable[int]) -> list[int]:
        """Marks proxies as notified of a host's withdrawal.

        Returns:
            Those of them that were not notified before on their current streams.
        """
        notified = self.notified.setdefault(host, set())
        new = [proxy for proxy in proxies if proxy not in notified]
        notified.update(new)
        return new
