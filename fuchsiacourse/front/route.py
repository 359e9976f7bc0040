"""One route of the configuration."""

from __future__ import annotations


class Route:
    """Services and limits for requests with one host and path prefix.

    Args:
        name: Name of the route.
        host: Host in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        is_idempotent: Whether requests may run more than once.
        timeout_s: Longest time until a request is answered, in seconds.
        objective_s: Latency objective, in seconds: an answer within this
            time has its full value. It is not a timeout.
        max_targets: Most targets that a request may be sent to.
        priority: Priority, 0 for the most urgent requests.
        weights_by_service: Relative share of requests for each service,
            above 0.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "is_idempotent",
        "timeout_s",
        "objective_s",
        "max_targets",
        "priority",
        "weights_by_service",
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        path_prefix: str,
        is_idempotent: bool,
        timeout_s: float,
        objective_s: float,
        max_targets: int,
        priority: int,
        weights_by_service: dict[str, float],
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.is_idempotent = is_idempotent
        self.timeout_s = timeout_s
        self.objective_s = objective_s
        self.max_targets = max_targets
        self.priority = priority
        self.weights_by_service = weights_by_service

    def choose_service(self, draw: float) -> str:
        """Returns a service, chosen at random by weight.

        Args:
            draw: Random number in the interval [0, 1).
        """
        remaining = draw * sum(self.weights_by_service.values())
        chosen = ""
        for service, weight in self.weights_by_service.items():
            chosen = service
            remaining -= weight
            if remaining < 0.0:
                break
        return chosen
