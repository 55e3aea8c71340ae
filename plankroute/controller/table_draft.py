"""Draft of the table updates of a message, filled while the commands of a batch are applied."""

from dataclasses import dataclass, field

from plankroute.controller.messages import AdmissionLimit, TableUpdate

_UpdateContent = tuple[bool, tuple[tuple[int, float], ...]]  # whether complete, and the routes


@dataclass(slots=True)
class TableDraft:
    """Table updates by request class. A later command overrides what an earlier one set.

    Attributes:
        complete: Request classes whose table is replaced as a whole.
        routes: By request class, weight by host.
        limits: Admission limit by request class.
    """

    complete: set[int] = field(default_factory=set)
    routes: dict[int, dict[int, float]] = field(default_factory=dict)
    limits: dict[int, AdmissionLimit] = field(default_factory=dict)

    def copy(self) -> "TableDraft":
        """Returns a copy that can be changed without affecting this draft."""
        return TableDraft(
            complete=set(self.complete),
            routes={request_class: dict(routes) for request_class, routes in self.routes.items()},
            limits=dict(self.limits),
        )

    def replace_table(
        self, request_class: int, routes: dict[int, float], limit: AdmissionLimit | None
    ) -> None:
        """Replaces the routes and the admission limit of a request class.

        With `limit` None, the request class has no limit afterwards.
        """
        self.complete.add(request_class)
        self.routes[request_class] = dict(routes)
        self.limits.pop(request_class, None)
        if limit is not None:
            self.limits[request_class] = limit

    def set_route(self, request_class: int, host: int, weight: float) -> None:
        """Sets one route; a weight of 0 removes it."""
        routes = self.routes.setdefault(request_class, {})
        if weight or request_class not in self.complete:
            routes[host] = weight
        else:
            routes.pop(host, None)  # a complete table needs no row for a host that it lacks

    def updates(self) -> list[TableUpdate]:
        """Returns the updates. Request classes with the same routes share one update.

        An update also carries the admission limit if all of its request classes have the same one.
        The remaining limits follow in updates without routes.
        """
        updates: list[TableUpdate] = []
        with_limit: set[int] = set()
        for (complete, routes), request_classes in self._classes_by_content().items():
            limit = self._common_limit(request_classes)
            if limit is not None:
                with_limit.update(request_classes)
            updates.append(TableUpdate(tuple(request_classes), complete, dict(routes), limit))
        return updates + self._limit_updates(self.limits.keys() - with_limit)

    def _classes_by_content(self) -> dict[_UpdateContent, list[int]]:
        classes: dict[_UpdateContent, list[int]] = {}
        for request_class in sorted(self.complete | self.routes.keys()):
            routes = tuple(self.routes.get(request_class, {}).items())
            content = (request_class in self.complete, routes)
            classes.setdefault(content, []).append(request_class)
        return classes

    def _common_limit(self, request_classes: list[int]) -> AdmissionLimit | None:
        limits = {self.limits.get(request_class) for request_class in request_classes}
        return limits.pop() if len(limits) == 1 else None

    def _limit_updates(self, request_classes: set[int]) -> list[TableUpdate]:
        classes_by_limit: dict[AdmissionLimit, list[int]] = {}
        for request_class in sorted(request_classes):
            classes_by_limit.setdefault(self.limits[request_class], []).append(request_class)
        return [
            TableUpdate(tuple(classes), admission_limit=limit)
            for limit, classes in classes_by_limit.items()
        ]
