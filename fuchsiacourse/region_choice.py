"""Choice of the region that serves a request."""

from __future__ import annotations

from fuchsiacourse import clock as clocks
from fuchsiacourse import execution as executions
from fuchsiacourse import token_bucket

# A region that had no usable target is tried last for this long.
NO_TARGET_HOLD_S = 1.0
# An overloaded region is tried last for requests that cannot move on after
# a refusal, for this long.
OVERLOAD_HOLD_S = 0.25
_FIRST_EXPECTED_ANSWER_BYTES = 2048.0
_ANSWER_SMOOTHING = 0.1
# The budget's burst, in seconds of its rate.
_BURST_S = 2.0


class RegionChoice:
    """Orders regions and keeps the byte budget of the region link.

    Args:
        clock: Source of time.
        region: The own region.
        spill_bytes_per_s: Budget for requests and answers of other regions.
    """

    def __init__(
        self, *, clock: clocks.Clock, region: str, spill_bytes_per_s: float
    ) -> None:
        self._clock = clock
        self._region = region
        self._budget = token_bucket.TokenBucket(
            rate_per_s=spill_bytes_per_s,
            burst=spill_bytes_per_s * _BURST_S,
            now_s=clock.now(),
        )
        self._no_target_at: dict[tuple[str, str], float] = {}
        self._overload_at: dict[tuple[str, str], float] = {}
        self._answer_bytes_by_kind: dict[tuple[str, str], float] = {}

    def order(self, execution: executions.Execution) -> list[str]:
        """Returns the regions with targets of the service, best first."""
        service = execution.service
        names = [
            name
            for name in execution.route.service.regions
            if name != self._region
        ]
        if self._region not in execution.route.service.regions:
            return names
        if self._is_held(self._no_target_at, service, NO_TARGET_HOLD_S):
            return [*names, self._region]
        if not execution.is_idempotent and self._is_held(
            self._overload_at, service, OVERLOAD_HOLD_S
        ):
            return [*names, self._region]
        return [self._region, *names]

    def admits(self, execution: executions.Execution, region: str) -> bool:
        """Takes a request's bytes from the budget of the region link.

        Returns:
            Whether the request may be sent to the region.
        """
        if region == self._region:
            return True
        expected = self._expected_bytes(execution)
        return self._budget.take(expected, now_s=self._clock.now())

    def settle(
        self,
        execution: executions.Execution,
        region: str,
        *,
        answer_bytes: int,
    ) -> None:
        """Corrects the budget by the true size of an answer."""
        kind = (execution.service, execution.route.kind.name)
        expected = self._answer_bytes(kind)
        self._answer_bytes_by_kind[kind] = expected + _ANSWER_SMOOTHING * (
            answer_bytes - expected
        )
        if region != self._region:
            self._budget.adjust(expected - answer_bytes)

    def record_refusal(self, service: str, region: str, refusal: str) -> None:
        """Remembers that a region refused a request."""
        times = {
            "no_target": self._no_target_at,
            "overload": self._overload_at,
        }.get(refusal)
        if times is not None:
            times[service, region] = self._clock.now()

    def _is_held(
        self,
        times: dict[tuple[str, str], float],
        service: str,
        hold_s: float,
    ) -> bool:
        since = times.get((service, self._region))
        return since is not None and self._clock.now() - since < hold_s

    def _answer_bytes(self, kind: tuple[str, str]) -> float:
        return self._answer_bytes_by_kind.get(
            kind, _FIRST_EXPECTED_ANSWER_BYTES
        )

    def _expected_bytes(self, execution: executions.Execution) -> float:
        kind = (execution.service, execution.route.kind.name)
        return execution.request.size_bytes + self._answer_bytes(kind)
