"""Messages to proxies: what one proxy is sent after one batch of commands."""

from dataclasses import dataclass, field
from typing import NamedTuple

from plankroute.events.commands import RetryPolicy


class AdmissionLimit(NamedTuple):
    """How much of a request class a proxy admits.

    Attributes:
        limit: A share or a rate in requests a second, by `StartFacts.admission_unit`.
        retry: When the proxy tries another host.
    """

    limit: float
    retry: RetryPolicy


@dataclass(slots=True)
class TableUpdate:
    """Routes and an admission limit for some request classes.

    Attributes:
        request_classes: Indexes of the request classes that the update is for.
        complete: The routes replace the whole table of these request classes and its admission
            limit; otherwise they change only the hosts that are named.
        routes: Weight by host; 0 removes the host's route.
        admission_limit: The new limit, or None if it stays as it is.
    """

    request_classes: tuple[int, ...]
    complete: bool = False
    routes: dict[int, float] = field(default_factory=dict)
    admission_limit: AdmissionLimit | None = None

    def line_count(self) -> int:
        """Returns the lines that the channel counts for the update."""
        return int(self.complete) + len(self.routes) + int(self.admission_limit is not None)


@dataclass(slots=True)
class Message:
    """What one proxy is sent in one batch.

    Attributes:
        proxy: The recipient.
        updates: Table updates in the order in which they take effect. Proxies on the same tables
            may hold the very same list, so that it is encoded once; it must not be changed.
        withdrawn: By host, whether the proxy keeps it out of use from now on (True) or may use it
            again (False).
        sequence_number: The number that the proxy is to acknowledge, or None.
    """

    proxy: int
    updates: list[TableUpdate]
    withdrawn: dict[int, bool]
    sequence_number: int | None

    def line_count(self) -> int:
        """Returns the lines that the channel counts for the message, its overhead left out."""
        updates = sum(update.line_count() for update in self.updates)
        return updates + len(self.withdrawn) + int(self.sequence_number is not None)
