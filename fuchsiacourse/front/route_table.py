"""Configuration in force: routes, services and limits on callers."""

from __future__ import annotations

from fuchsiacourse.front import route as routes

# Length that RFC 9112 section 3 asks a server to support, in bytes.
MIN_TARGET_BYTES = 8000


class CallerLimits:
    """Limits on what a caller may send.

    Args:
        max_head_bytes: Longest headers of a request.
        max_body_bytes: Longest body of a request.
        head_timeout_s: Time in which a request must be complete.
        idle_timeout_s: Time for which an idle connection stays open.
    """

    __slots__ = (
        "max_head_bytes",
        "max_body_bytes",
        "head_timeout_s",
        "idle_timeout_s",
    )

    def __init__(
        self,
        *,
        max_head_bytes: int,
        max_body_bytes: int,
        head_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s

    @property
    def max_target_bytes(self) -> int:
        """Longest request target; it doesn't count as part of the head."""
        return max(MIN_TARGET_BYTES, self.max_head_bytes)


class RouteTable:
    """One version of the configuration.

    Args:
        version: Number that only rises.
        routes: All routes.
        limits: Limits on callers.
        connection_caps_by_service: Connections that a target of a service
            accepts from all fronts together.
    """

    __slots__ = (
        "version",
        "limits",
        "connection_caps_by_service",
        "route_count",
        "_routes_by_host",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: list[routes.Route],
        limits: CallerLimits,
        connection_caps_by_service: dict[str, int],
    ) -> None:
        self.version = version
        self.limits = limits
        self.connection_caps_by_service = connection_caps_by_service
        self.route_count = len(routes)
        self._routes_by_host: dict[str, dict[str, routes.Route]] = {}
        for item in routes:
            by_prefix = self._routes_by_host.setdefault(item.host, {})
            by_prefix[item.path_prefix] = item

    def find(self, host: str, path: str) -> routes.Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
            host: Host in lower case, without a port.
            path: Path as sent.
        """
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
