"""One version of the configuration: routes, services, caller limits."""

from __future__ import annotations

from fuchsiacourse.front import route as routes

# Length of a request line that RFC 9112 section 3 recommends to support, in
# bytes. Request targets up to this length are accepted.
MIN_REQUEST_TARGET_BYTES = 8000


class CallerLimits:
    """Limits on what a caller may send; None for a limit that is not set.

    Args:
        max_head_bytes: Longest header section of a request, in bytes.
        max_body_bytes: Longest body of a request, in bytes.
        head_timeout_s: Time within which the head of a request must be
            received, in seconds.
        idle_timeout_s: Time for which an idle connection stays open, and
            longest pause in a body, in seconds.
    """

    __slots__ = (
        "max_head_bytes",
        "max_request_target_bytes",
        "max_body_bytes",
        "head_timeout_s",
        "idle_timeout_s",
    )

    def __init__(
        self,
        *,
        max_head_bytes: int | None = None,
        max_body_bytes: int | None = None,
        head_timeout_s: float | None = None,
        idle_timeout_s: float | None = None,
    ) -> None:
        self.max_head_bytes = max_head_bytes
        # Longest request target (RFC 9112 section 3.2), in bytes; it is not
        # part of the header section.
        self.max_request_target_bytes = max(
            MIN_REQUEST_TARGET_BYTES, max_head_bytes or 0
        )
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s

    def fill_missing(self, other: CallerLimits) -> None:
        """Copies the limits that are not set from other limits."""
        for name in self.__slots__:
            if getattr(self, name) is None:
                setattr(self, name, getattr(other, name))
        self.max_request_target_bytes = max(
            MIN_REQUEST_TARGET_BYTES, self.max_head_bytes
        )


class UnreadableRoute:
    """Route, or all routes of a host, that could not be read.

    Args:
        host: Host of the routes, None if it could not be read either.
        path_prefix: Path prefix of the route, None if it could not be read
            either.
        reason: Error that reading raised.
    """

    __slots__ = ("host", "path_prefix", "reason")

    def __init__(
        self, *, host: str | None, path_prefix: str | None, reason: str
    ) -> None:
        self.host = host
        self.path_prefix = path_prefix
        self.reason = reason


class RouteTable:
    """Routes, caller limits and connection limits of one version.

    Args:
        version: Number of the version; it only rises.
        routes: All routes that could be read.
        limits: Limits on callers.
        connection_limits_by_service: Connections that a target of a service
            accepts from all fronts together.
        unreadable_routes: Routes and hosts that could not be read.
    """

    __slots__ = (
        "version",
        "limits",
        "connection_limits_by_service",
        "unreadable_routes",
        "route_count",
        "_routes_by_host",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: list[routes.Route],
        limits: CallerLimits,
        connection_limits_by_service: dict[str, int],
        unreadable_routes: tuple[UnreadableRoute, ...] = (),
    ) -> None:
        self.version = version
        self.unreadable_routes = unreadable_routes
        self.limits = limits
        self.connection_limits_by_service = connection_limits_by_service
        self.route_count = len(routes)
        # Unreadable routes stay in the lookup, so that a shorter prefix
        # doesn't match their requests. A route with the same prefix replaces
        # them.
        self._routes_by_host: dict[
            str, dict[str, routes.Route | UnreadableRoute]
        ] = {}
        for item in (*unreadable_routes, *routes):
            if item.host is not None and item.path_prefix is not None:
                by_prefix = self._routes_by_host.setdefault(item.host, {})
                by_prefix[item.path_prefix] = item

    def find(self, host: str, path: str) -> routes.Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Host in lower case, without a port.
            path: Path as sent.
        """
        found = self._match(host, path)
        return None if isinstance(found, UnreadableRoute) else found

    def may_be_unreadable(self, host: str, path: str) -> bool:
        """Returns whether the route of a path may be unreadable.

        Call it only for paths without a route: it is true for all others.

        Args:
            host: Host in lower case, without a port.
            path: Path as sent.
        """
        if self._match(host, path) is not None:
            return True
        return any(
            unreadable.host is None
            or (unreadable.host == host and unreadable.path_prefix is None)
            for unreadable in self.unreadable_routes
        )

    def _match(
        self, host: str, path: str
    ) -> routes.Route | UnreadableRoute | None:
        by_prefix = self._routes_by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = by_prefix.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None
