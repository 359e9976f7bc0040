"""Choice of the region that serves a request, within a byte budget."""

from __future__ import annotations

from fuchsiacourse import clock as clocks
from fuchsiacourse import execution as executions
from fuchsiacourse import token_bucket

# Time during which a region without a usable target is tried last.
NO_TARGET_DEFER_S = 1.0
# Time during which an overloaded region is tried last by requests that
# can't try another region after a refusal.
OVERLOAD_DEFER_S = 0.25
# Expected size before a request kind has been answered.
_FIRST_EXPECTED_ANSWER_BYTES = 2048.0
# Weight of a new answer in the moving average of the sizes.
_ANSWER_SMOOTHING = 0.1
# Burst of the byte budget, in seconds of its rate.
_BURST_S = 2.0


class RegionChoice:
    """Ranks regions and limits the bytes sent to and from other regions.

    Args:
        clock: Source of time.
        region: Region of this process.
        spill_bytes_per_s: Budget in bytes per second for requests to other
            regions and their answers.
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
        """Returns the regions that serve the service, preferred first."""
        service = execution.service
        names = [
            name
            for name in execution.route.service.regions
            if name != self._region
        ]
        if self._region not in execution.route.service.regions:
            return names
        if self._is_tried_last(self._no_target_at, service, NO_TARGET_DEFER_S):
            return [*names, self._region]
        if not execution.is_idempotent and self._is_tried_last(
            self._overload_at, service, OVERLOAD_DEFER_S
        ):
            return [*names, self._region]
        return [self._region, *names]

    def charge(self, execution: executions.Execution, region: str) -> bool:
        """Charges a request's expected bytes to the byte budget.

        Requests to the own region are not charged.

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
        """Replaces the expected size of an answer by the actual one.

        Args:
            execution: The request.
            region: Region that answered.
            answer_bytes: Actual size of the answer in bytes.
        """
        kind = (execution.service, execution.route.kind.name)
        expected = self._answer_bytes(kind)
        self._answer_bytes_by_kind[kind] = expected + _ANSWER_SMOOTHING * (
            answer_bytes - expected
        )
        if region != self._region:
            self._budget.adjust(expected - answer_bytes)

    def record_refusal(self, service: str, region: str, refusal: str) -> None:
        """Records that a region refused a request.

        Args:
            service: Name of the service.
            region: Region that refused.
            refusal: Reason; only ``no_target`` and ``overload`` count.
        """
        times = {
            "no_target": self._no_target_at,
            "overload": self._overload_at,
        }.get(refusal)
        if times is not None:
            times[service, region] = self._clock.now()

    def _is_tried_last(
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
