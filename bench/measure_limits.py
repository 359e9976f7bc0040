"""Measures the arrivals at a target with a rate limit from many fronts."""

from __future__ import annotations

from bench import figure
from bench import limit_day

# Fronts in each of three availability zones: small zones, and zones with hubs.
PER_ZONE = (8, 16)
RATE_LIMITS = (0.0, 1.0, 2.1, 8.0)
SEEDS = 3


def front_limits() -> list[figure.Figure]:
    """Measures the most arrivals in a window, and the share in use."""
    found = []
    for per_zone in PER_ZONE:
        for rate_limit in RATE_LIMITS:
            most = 0
            for seed in range(1, SEEDS + 1):
                day = limit_day.LimitDay(
                    per_zone=per_zone, rate_limit=rate_limit, seed=seed
                )
                most = max(most, day.most_arrivals(day.play()))
            found.append(
                figure.Figure(
                    name=f"front_limits/{3 * per_zone}_fronts/{rate_limit:g}",
                    value=most,
                    unit="arrivals",
                    bound=limit_day.allowed(rate_limit),
                )
            )
    return found


MEASURES = {"front_limits": front_limits}
