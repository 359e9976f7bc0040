"""The configuration in force in a process and its routes."""

from __future__ import annotations

import typing

from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import service_file

Subscriber = typing.Callable[[], None]


class Route:
    """Service and request kind that a request was matched to."""

    __slots__ = ("service", "kind")

    def __init__(
        self,
        *,
        service: service_file.ServiceFile,
        kind: service_file.RequestKind,
    ) -> None:
        self.service = service
        self.kind = kind


class ConfigTable:
    """Holds all services; a configuration with a higher number replaces it.

    Args:
        invariants: Checks that the number only rises.
    """

    def __init__(self, *, invariants: invariant_checks.Invariants) -> None:
        self._invariants = invariants
        self.number = 0
        self.services_by_name: dict[str, service_file.ServiceFile] = {}
        self._routes_by_prefix: dict[tuple[str, str], Route] = {}
        self._subscribers: list[Subscriber] = []
        self._shard_count = 0
        self._longest_deadline_s = 0.0

    @property
    def shard_count(self) -> int:
        """Number of shards: one for each service and region."""
        return self._shard_count

    @property
    def longest_deadline_s(self) -> float:
        """Longest deadline of all routed request kinds in seconds."""
        return self._longest_deadline_s

    def subscribe(self, subscriber: Subscriber) -> None:
        """Registers a function to call after each adoption."""
        self._subscribers.append(subscriber)

    def adopt(
        self,
        number: int,
        services_by_name: dict[str, service_file.ServiceFile],
    ) -> bool:
        """Puts a configuration in force if its number is higher.

        Args:
            number: Number of the manifest.
            services_by_name: All services of the manifest.

        Returns:
            Whether the configuration was adopted.
        """
        if number <= self.number:
            return False
        routes = _index_routes(services_by_name)
        previous = self.number
        self.number = number
        self.services_by_name = dict(services_by_name)
        self._routes_by_prefix = routes
        self._shard_count = sum(
            len(service.regions) for service in services_by_name.values()
        )
        self._longest_deadline_s = max(
            (route.kind.deadline_ms / 1000.0 for route in routes.values()),
            default=0.0,
        )
        self._invariants.check(
            invariant_checks.InvariantId.CONFIG_RISES,
            self.number > previous,
            number=self.number,
            previous=previous,
        )
        for subscriber in self._subscribers:
            subscriber()
        return True

    def route(self, method: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix, or None.

        Args:
            method: HTTP method.
            path: Path without query string.
        """
        prefix = path.rstrip("/") or "/"
        while True:
            found = self._routes_by_prefix.get((method, prefix))
            if found is not None:
                return found
            if prefix == "/":
                return None
            prefix = prefix.rpartition("/")[0] or "/"


def _index_routes(
    services_by_name: dict[str, service_file.ServiceFile],
) -> dict[tuple[str, str], Route]:
    routes: dict[tuple[str, str], Route] = {}
    # Sorted, so that all processes choose the same service for a route that
    # two services claim.
    for name in sorted(services_by_name):
        service = services_by_name[name]
        for kind in service.kinds:
            routes.setdefault(kind.route, Route(service=service, kind=kind))
    return routes
