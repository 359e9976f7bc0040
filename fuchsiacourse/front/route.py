"""Route of the configuration."""

from __future__ import annotations


class Route:
    """Where requests of a host and a path prefix go.

    Args:
        name: Name of the route.
        host: Host in lower case.
        path_prefix: Prefix of the path; begins and ends with a slash.
        is_idempotent: Whether requests may run more than once.
        timeout_s: Longest time that a request is kept waiting.
        objective_s: Time within which an answer is worth most.
        max_targets: Most targets that a request may be sent to.
        priority: Rank, 0 for the most urgent.
        weights_by_service: Share of each service, positive numbers.
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
        """Returns a service by weight.

        Args:
            draw: Random number from 0 to below 1.
        """
        left = draw * sum(self.weights_by_service.values())
        chosen = ""
        for service, weight in self.weights_by_service.items():
            chosen = service
            left -= weight
            if left < 0.0:
                break
        return chosen
