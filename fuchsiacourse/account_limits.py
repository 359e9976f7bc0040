"""Rate limits of callers' accounts."""

from __future__ import annotations

import collections

from fuchsiacourse import clock as clocks
from fuchsiacourse import service_file
from fuchsiacourse import token_bucket

# The least recently used buckets are dropped above this number; a dropped
# account starts again with a full burst.
MAX_BUCKETS = 10_000


class AccountLimits:
    """Limits request rates by a token bucket per service and account.

    Args:
        clock: Source of time.
        max_buckets: Maximum number of buckets.
    """

    def __init__(
        self, *, clock: clocks.Clock, max_buckets: int = MAX_BUCKETS
    ) -> None:
        self._clock = clock
        self._max_buckets = max_buckets
        self._buckets: collections.OrderedDict[
            tuple[str, str], token_bucket.TokenBucket
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns the number of buckets."""
        return len(self._buckets)

    def wait_s(
        self,
        service: service_file.ServiceFile,
        account: str,
        *,
        shares: int,
    ) -> float:
        """Takes a token for a request or returns the wait for one.

        Args:
            service: Requested service.
            account: Account of the caller.
            shares: Number of equal shares that the limit is divided into;
                this process grants one of them.

        Returns:
            0 if the request is within the limit, otherwise the seconds
            until one more request is.
        """
        limits = service.account_limits
        limit = limits.by_account.get(account, limits.default)
        if limit is None:
            return 0.0
        now = self._clock.now()
        bucket = self._bucket((service.service, account), limit, shares, now)
        if bucket.take(1.0, now_s=now):
            return 0.0
        return bucket.wait_s(1.0, now_s=now)

    def _bucket(
        self,
        key: tuple[str, str],
        limit: service_file.AccountLimit,
        shares: int,
        now: float,
    ) -> token_bucket.TokenBucket:
        rate_per_s = limit.rate_per_s / shares
        # A bucket with a smaller burst would never grant a token.
        burst = max(1.0, limit.burst / shares)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = token_bucket.TokenBucket(
                rate_per_s=rate_per_s, burst=burst, now_s=now
            )
            self._buckets[key] = bucket
        # Refills at the old rate, before the configuration may change it.
        bucket.available(now_s=now)
        bucket.rate_per_s = rate_per_s
        bucket.burst = burst
        self._buckets.move_to_end(key)
        if len(self._buckets) > self._max_buckets:
            self._buckets.popitem(last=False)
        return bucket
