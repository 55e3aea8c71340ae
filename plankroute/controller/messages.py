"""Messages to proxies. A proxy gets at most one for each batch of commands."""

from dataclasses import dataclass, field
from typing import NamedTuple

from plankroute.events.commands import RetryPolicy


class AdmissionLimit(NamedTuple):
    """How much of a request class a proxy admits.

    Attributes:
        limit: The share of requests to admit, or a rate in requests per second; which of the two
            is set by `StartFacts.admission_unit`.
        retry: When the proxy tries another host.
    """

    limit: float
    retry: RetryPolicy


@dataclass(slots=True)
class TableUpdate:
    """New routes, and possibly an admission limit, for some request classes.

    Attributes:
        request_classes: Indexes of the request classes that the update is for.
        complete: Whether the update replaces the whole table of these request classes and its
            admission limit. Otherwise it changes only the hosts in `routes`.
        routes: Weight by host; 0 removes the host's route.
        admission_limit: The new limit. None leaves the limit unchanged, or removes it where the
            update is complete.
    """

    request_classes: tuple[int, ...]
    complete: bool = False
    routes: dict[int, float] = field(default_factory=dict)
    admission_limit: AdmissionLimit | None = None

    def line_count(self) -> int:
        """Returns the number of lines that the channel counts for the update."""
        return int(self.complete) + len(self.routes) + int(self.admission_limit is not None)


@dataclass(slots=True)
class Message:
    """The message to one proxy for one batch.

    Attributes:
        proxy: The recipient.
        updates: Table updates in the order in which they take effect. Messages to several proxies
            may share the list, so that it is encoded only once; it must not be modified.
        withdrawn: By host, True if the proxy must stop sending to it, False if it may send to it
            again.
        sequence_number: The number that the proxy is to acknowledge, or None if it sends no
            acknowledgement.
    """

    proxy: int
    updates: list[TableUpdate]
    withdrawn: dict[int, bool]
    sequence_number: int | None

    def line_count(self) -> int:
        """Returns the number of lines that the channel counts, without the message overhead.

        A request for an acknowledgement counts as one line.
        """
        updates = sum(update.line_count() for update in self.updates)
        return updates + len(self.withdrawn) + int(self.sequence_number is not None)
