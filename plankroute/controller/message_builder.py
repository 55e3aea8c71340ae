"""Builds one message per proxy from the commands of a batch; makes no decisions.

A proxy knows only what it received on its stream. The builder therefore keeps tables, admission
limits and withdrawn hosts as last commanded: a bind sends a proxy the whole table with its limit
and withdrawals, and later messages only the changes.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from plankroute.controller.messages import AdmissionLimit, Message, TableUpdate
from plankroute.controller.table_draft import TableDraft
from plankroute.events import commands, events
from plankroute.events.commands import ALL_TABLES
from plankroute.events.events import HostState, ListKind
from plankroute.policy.drains import MAX_LIST_DELAY_US, REMOVED_HOST_TTL_US
from plankroute.state.earlier_withdrawals import EarlierWithdrawals

TablesInUse = tuple[int | None, ...]
"""The table that a proxy uses for each request class.

None stands for a table from before the proxy joined, whose hosts this controller does not know.
"""


@dataclass(slots=True)
class ProxyStream:
    """What one joined proxy was sent on its current stream.

    Attributes:
        tables: The tables that it uses.
        notified: By host, the last notice sent on this stream: True if the host was withdrawn,
            False if it was reinstated. A host without an entry had no notice.
    """

    tables: TablesInUse
    notified: dict[int, bool] = field(default_factory=dict)


class MessageBuilder:
    """Keeps what was commanded, and what each joined proxy was sent of it.

    Proxies that use the same tables form a group with one draft, so that a command for hundreds of
    them is applied, and its updates encoded, only once. A proxy that is bound in a batch has its
    own draft for the rest of that batch.

    Attributes:
        request_classes: Indexes of all request classes.
        streams: State of each joined proxy.
        tables: By table, weight by host.
        withdrawn_hosts: Hosts that are withdrawn now.
        earlier_withdrawals: Hosts that proxies may keep withdrawn from earlier streams.
    """

    def __init__(self, request_class_count: int) -> None:
        """Creates a builder without proxies, tables and limits."""
        self.request_classes = range(request_class_count)
        self.streams: dict[int, ProxyStream] = {}
        self.tables: dict[int, dict[int, float]] = {}
        self.withdrawn_hosts: set[int] = set()
        self.earlier_withdrawals = EarlierWithdrawals(REMOVED_HOST_TTL_US, MAX_LIST_DELAY_US)
        self._limits: dict[tuple[int | None, int], AdmissionLimit] = {}  # by table, request class
        self._groups: dict[TablesInUse, dict[int, None]] = {}  # proxies that use the same tables
        self._listed_hosts: set[int] = set()
        self._start_batch()

    def _start_batch(self) -> None:
        self._group_drafts: dict[TablesInUse, TableDraft] = {}
        self._proxy_drafts: dict[int, TableDraft] = {}
        self._withdrawals: dict[int, dict[int, bool]] = {}  # by proxy, as in Message.withdrawn
        self._recipients: dict[int, None] = {}  # ordered by the first command for each proxy

    def observe(self, event: events.Event, now: int) -> None:
        """Records joined proxies, and hosts that controllers may have withdrawn.

        Args:
            event: An event that is delivered to the controller.
            now: Its time in microseconds.
        """
        match event:
            case events.ProxyJoined():
                self._remove_stream(event.proxy)
                no_known_tables = (None,) * len(self.request_classes)
                self.streams[event.proxy] = ProxyStream(no_known_tables)
                self._add_to_group(event.proxy)
                self.earlier_withdrawals.join(event.proxy, event.fresh, now)
            case events.ProxyLeft():
                self._remove_stream(event.proxy)
            case events.HostList():
                self._observe_list(event, now)

    def _observe_list(self, listed: events.HostList, now: int) -> None:
        """Records which hosts are not ready, or have started recently.

        A complete list reports a host as gone by leaving it out.
        """
        hosts = {entry.host for entry in listed.entries}
        if listed.kind in (ListKind.FULL, ListKind.CACHED):
            for host in self._listed_hosts - hosts:
                self.earlier_withdrawals.list_host(host, False, 0, now)
        for entry in listed.entries:
            is_ready = entry.state is HostState.READY
            self.earlier_withdrawals.list_host(entry.host, is_ready, entry.started_us, now)
        self._listed_hosts |= hosts

    def forget(self, host: int) -> None:
        """Drops all state of a host that the controller has forgotten.

        A proxy may still keep the host withdrawn when it is listed again under a new id.
        """
        self.withdrawn_hosts.discard(host)
        self._listed_hosts.discard(host)
        self.earlier_withdrawals.forget_host(host)
        for proxy, stream in self.streams.items():
            was_withdrawn = stream.notified.pop(host, False)
            if was_withdrawn:
                self.earlier_withdrawals.count_as_returning(proxy)

    def build(self, batch: Iterable[commands.Command]) -> list[Message]:
        """Applies the commands in order and returns one message for each proxy that they affect."""
        self._start_batch()
        acknowledgement: commands.RequestAcknowledgement | None = None
        for command in batch:
            if isinstance(command, commands.RequestAcknowledgement):
                acknowledgement = command
            else:
                self._apply(command)
        if acknowledgement is None:
            return self._messages(None)
        if acknowledgement.all_proxies:
            self._recipients |= dict.fromkeys(self.streams)
        return self._messages(acknowledgement.sequence_number)

    def _apply(self, command: commands.Command) -> None:
        match command:
            case commands.SetRoute():
                self._set_route(command)
            case commands.BindProxy():
                self._bind_proxy(command)
            case commands.WithdrawHost():
                self._withdraw_host(command)
            case commands.SetAdmissionLimit():
                self._set_admission_limit(command)
            case commands.ClearTable():
                self._clear_table(command.table)
            case commands.PingProxy():
                self._ping_proxy(command.proxy)

    def _messages(self, sequence_number: int | None) -> list[Message]:
        """Returns the messages of the batch.

        The messages to all proxies of a group share one list of updates, so that the encoder
        encodes it only once.
        """
        group_updates: dict[TablesInUse, list[TableUpdate]] = {}
        messages: list[Message] = []
        for proxy in self._recipients:
            tables = self.streams[proxy].tables
            if proxy in self._proxy_drafts:
                updates = self._updates(tables, self._proxy_drafts[proxy])
            elif tables in group_updates:
                updates = group_updates[tables]
            else:
                draft = self._group_drafts.get(tables, TableDraft())
                updates = self._updates(tables, draft)
                group_updates[tables] = updates
            withdrawn = self._withdrawals.get(proxy, {})
            messages.append(Message(proxy, updates, withdrawn, sequence_number))
        return messages

    def _updates(self, tables: TablesInUse, draft: TableDraft) -> list[TableUpdate]:
        """Returns the updates of a draft.

        Where a limit for all tables is set, every message repeats the limit that results.
        """
        for request_class, table in zip(self.request_classes, tables, strict=True):
            if (ALL_TABLES, request_class) in self._limits:
                limit = self._effective_limit(table, request_class)
                if limit is not None:
                    draft.limits[request_class] = limit
        return draft.updates()

    # Groups of proxies and their drafts

    def _add_to_group(self, proxy: int) -> None:
        self._groups.setdefault(self.streams[proxy].tables, {})[proxy] = None

    def _remove_from_group(self, proxy: int, tables: TablesInUse) -> None:
        del self._groups[tables][proxy]
        if not self._groups[tables]:
            del self._groups[tables]

    def _remove_stream(self, proxy: int) -> None:
        stream = self.streams.pop(proxy, None)
        if stream is not None:
            self._remove_from_group(proxy, stream.tables)
            self.earlier_withdrawals.leave(proxy)

    def _drafts_using(self, table: int) -> list[tuple[TableDraft, list[int]]]:
        """Returns the drafts of all proxies that use a table.

        Returns:
            Pairs of a draft and the request classes for which its proxies use the table.
        """
        drafts: list[tuple[TableDraft, list[int]]] = []
        for tables, proxies in self._groups.items():
            if table not in tables:
                continue
            if tables not in self._group_drafts:
                self._group_drafts[tables] = TableDraft()
                self._recipients |= proxies
            drafts.append((self._group_drafts[tables], _classes_using(table, tables)))
        for proxy, draft in self._proxy_drafts.items():
            tables = self.streams[proxy].tables
            if table in tables:
                drafts.append((draft, _classes_using(table, tables)))
        return drafts

    # Commands

    def _set_route(self, command: commands.SetRoute) -> None:
        routes = self.tables.setdefault(command.table, {})
        if command.weight:
            routes[command.host] = command.weight
        else:
            routes.pop(command.host, None)
        for draft, request_classes in self._drafts_using(command.table):
            for request_class in request_classes:
                draft.set_route(request_class, command.host, command.weight)
        if not command.weight:
            return
        for tables, proxies in self._groups.items():
            if command.table in tables:
                for proxy in proxies:
                    self._sync_withdrawal(proxy, command.host)

    def _clear_table(self, table: int) -> None:
        self.tables[table] = {}
        self._limits = {key: limit for key, limit in self._limits.items() if key[0] != table}
        for draft, request_classes in self._drafts_using(table):
            for request_class in request_classes:
                limit = self._effective_limit(table, request_class)
                draft.replace_table(request_class, {}, limit)

    def _bind_proxy(self, command: commands.BindProxy) -> None:
        """Binds a proxy to a table, if it is joined.

        The proxy gets its own draft for the rest of the batch, which starts as a copy of its
        group's.
        """
        stream = self.streams.get(command.proxy)
        if stream is None:
            return
        old_tables = stream.tables
        draft = self._proxy_drafts.get(command.proxy)
        if draft is None:
            draft = self._group_drafts.get(old_tables, TableDraft()).copy()
            self._proxy_drafts[command.proxy] = draft
        self._recipients[command.proxy] = None
        routes = self.tables.get(command.table, {})
        new_tables = list(old_tables)
        for request_class in self._selected_classes(command.request_classes):
            new_tables[request_class] = command.table
            limit = self._effective_limit(command.table, request_class)
            draft.replace_table(request_class, routes, limit)
        self._remove_from_group(command.proxy, old_tables)
        stream.tables = tuple(new_tables)
        self._add_to_group(command.proxy)
        for host in routes:
            self._sync_withdrawal(command.proxy, host)

    def _withdraw_host(self, command: commands.WithdrawHost) -> None:
        if command.withdrawn:
            self.withdrawn_hosts.add(command.host)
        else:
            self.withdrawn_hosts.discard(command.host)
        for tables, proxies in self._groups.items():
            if not self._may_use(tables, command.host):
                continue
            for proxy in proxies:
                if self.streams[proxy].notified.get(command.host) is not command.withdrawn:
                    self._notify_withdrawal(proxy, command.host, command.withdrawn)

    def _set_admission_limit(self, command: commands.SetAdmissionLimit) -> None:
        selected = self._selected_classes(command.request_classes)
        for request_class in selected:
            limit = AdmissionLimit(command.limit, command.retry)
            self._limits[command.table, request_class] = limit
        if command.table is ALL_TABLES:
            self._recipients |= dict.fromkeys(self.streams)
            return
        for draft, request_classes in self._drafts_using(command.table):
            for request_class in set(request_classes).intersection(selected):
                effective = self._effective_limit(command.table, request_class)
                if effective is not None:
                    draft.limits[request_class] = effective

    def _ping_proxy(self, proxy: int) -> None:
        """Makes a joined proxy a recipient of the batch, whether or not the batch changes it."""
        if proxy in self.streams:
            self._recipients[proxy] = None

    # Helpers of the commands

    def _selected_classes(self, request_classes: tuple[int, ...] | None) -> Sequence[int]:
        return self.request_classes if request_classes is None else request_classes

    def _effective_limit(self, table: int | None, request_class: int) -> AdmissionLimit | None:
        """Returns the limit in force for a request class on a table, or None if none is set.

        Of the table's own limit and the one for all tables the lower applies. The retry policy is
        the table's, if it has a limit.
        """
        own = self._limits.get((table, request_class))
        common = self._limits.get((ALL_TABLES, request_class))
        if own is None:
            return common
        if common is None:
            return own
        return AdmissionLimit(min(own.limit, common.limit), own.retry)

    def _may_use(self, tables: TablesInUse, host: int) -> bool:
        """Returns whether proxies on these tables may send to the host.

        Tables that this controller does not know may hold any host.
        """
        if None in tables:
            return True
        return any(host in self.tables.get(table, {}) for table in tables if table is not None)

    def _sync_withdrawal(self, proxy: int, host: int) -> None:
        """Tells a proxy whether a host of its tables is withdrawn, unless it knows that already.

        Without a notice on this stream, the proxy may still keep the host withdrawn, by command of
        this or another controller on an earlier one.
        """
        stream = self.streams[proxy]
        withdrawn = host in self.withdrawn_hosts
        if host in stream.notified:
            must_notify = stream.notified[host] != withdrawn
        else:
            must_notify = withdrawn or host in self.earlier_withdrawals.hosts(proxy)
        if must_notify:
            self._notify_withdrawal(proxy, host, withdrawn)

    def _notify_withdrawal(self, proxy: int, host: int, withdrawn: bool) -> None:
        self.streams[proxy].notified[host] = withdrawn
        self._withdrawals.setdefault(proxy, {})[host] = withdrawn
        self._recipients[proxy] = None


def _classes_using(table: int, tables: TablesInUse) -> list[int]:
    return [request_class for request_class, number in enumerate(tables) if number == table]
