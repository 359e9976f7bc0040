"""Claims of caller-chosen idempotency keys in the platform's store.

Any entry may receive a caller-chosen key, so that only the shared store can
decide which one runs it.
"""

from __future__ import annotations

import collections
import hashlib
import json
import typing

from fuchsiacourse import caller_request
from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import logs
from fuchsiacourse import store as stores
from fuchsiacourse import token_bucket

PREFIX = "claims/"
# Maximum number of own claims that are queued for deletion; the oldest are
# dropped. A dropped claim is deleted by the entry that claims its key again
# after it has expired.
_MAX_OWN_CLAIMS = 20_000
# Share of the write budget's burst that deletions leave to new claims.
_RESERVED_SHARE = 0.5
# Burst of the write budget, in seconds of its rate.
_BURST_S = 10.0
_RETRY_AFTER_S = 1.0


class Claim:
    """Claim that gives one process the right to run a caller-chosen key.

    Args:
        incarnation: Incarnation of the process that holds the claim.
        is_new: Whether this call created the claim.
    """

    __slots__ = ("incarnation", "is_new")

    def __init__(self, *, incarnation: str, is_new: bool) -> None:
        self.incarnation = incarnation
        self.is_new = is_new


class Claims:
    """Claims keys by conditional writes to the store, within a write budget.

    Args:
        clock: Source of time.
        store: Platform's object API.
        incarnation: Incarnation of this process.
        address: Address at which callers reach this entry.
        writes_per_s: Write budget in writes per second.
        lifetime_s: Seconds after which a claim expires and may be deleted.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        store: stores.Store,
        incarnation: str,
        address: str,
        writes_per_s: float,
        lifetime_s: float,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._store = store
        self._incarnation = incarnation
        self._address = address
        self._lifetime_s = lifetime_s
        self._log = log
        self._claim_count = 0
        self._budget = token_bucket.TokenBucket(
            rate_per_s=writes_per_s,
            burst=max(1.0, writes_per_s * _BURST_S),
            now_s=clock.now(),
        )
        self._own_claims: collections.deque[tuple[float, str, int]] = (
            collections.deque(maxlen=_MAX_OWN_CLAIMS)
        )

    async def claim(self, request: caller_request.CallerRequest) -> Claim:
        """Claims the key of a request.

        Raises:
            RequestRefused: The claim could not be created or read; the key
                must not be run.
        """
        name = PREFIX + digest(request.account, request.key)
        self._claim_count += 1
        # Identifies this call's write if the reply to it is lost.
        claim_id = f"{self._incarnation}-{self._claim_count}"
        try:
            claim = await self._create(request, name, claim_id)
        except errors.StoreError as error:
            self._log_refused("store", error=repr(error))
            raise _unavailable(request) from None
        except errors.RequestRefused:
            self._log_refused("unsettled_or_over_budget")
            raise
        if claim.is_new:
            logs.event(self._log, "key_claimed", account=request.account)
        else:
            self._log_refused("held", holder=claim.incarnation)
        return claim

    async def delete_expired(self) -> None:
        """Deletes this process's expired claims within the write budget."""
        while self._own_claims and self._own_claims[0][0] <= self._clock.now():
            if not self._take_write(self._budget.burst * _RESERVED_SHARE):
                return
            _, name, version = self._own_claims.popleft()
            try:
                await self._store.delete(name, if_version=version)
            except errors.StoreError as error:
                logs.warning(
                    self._log, "claim_not_deleted", reason=repr(error)
                )
                return

    def _log_refused(self, reason: str, **evidence: str) -> None:
        logs.warning(self._log, "key_claim_refused", reason=reason, **evidence)

    async def _create(
        self,
        request: caller_request.CallerRequest,
        name: str,
        claim_id: str,
    ) -> Claim:
        # The second round follows the deletion of an expired claim.
        for _ in range(2):
            if not self._take_write():
                raise _unavailable(request)
            try:
                version = await self._store.put(
                    name,
                    self._encode(claim_id),
                    if_version=stores.CREATE_ONLY,
                )
                self._track_own_claim(name, version)
                return Claim(incarnation=self._incarnation, is_new=True)
            except (errors.StoreOutcomeUnknown, errors.VersionConflict):
                found = await self._store.get(name)
            if found is None:
                # A write whose reply was lost may still take effect. The
                # claim then remains unused, because this call refuses.
                raise _unavailable(request)
            content = _parse(found.value)
            if content["claim"] == claim_id:
                self._track_own_claim(name, found.version)
                return Claim(incarnation=self._incarnation, is_new=True)
            if content["expires_at"] > self._clock.wall():
                return Claim(incarnation=content["incarnation"], is_new=False)
            if not self._take_write():
                raise _unavailable(request)
            await self._store.delete(name, if_version=found.version)
        raise _unavailable(request)

    def _take_write(self, reserved: float = 0.0) -> bool:
        now = self._clock.now()
        if self._budget.available(now_s=now) < 1.0 + reserved:
            return False
        return self._budget.take(1.0, now_s=now)

    def _track_own_claim(self, name: str, version: int) -> None:
        self._own_claims.append(
            (self._clock.now() + self._lifetime_s, name, version)
        )

    def _encode(self, claim_id: str) -> bytes:
        return json.dumps(
            {
                "incarnation": self._incarnation,
                "address": self._address,
                "claim": claim_id,
                "expires_at": self._clock.wall() + self._lifetime_s,
            }
        ).encode()


def digest(account: str, key: str) -> str:
    """Returns the name of a claim: the SHA-256 of account and key."""
    return hashlib.sha256(f"{account}\0{key}".encode()).hexdigest()


def _parse(value: bytes) -> dict[str, typing.Any]:
    try:
        content = json.loads(value)
        return {
            "incarnation": str(content["incarnation"]),
            "claim": str(content["claim"]),
            "expires_at": float(content["expires_at"]),
        }
    except (ValueError, KeyError, TypeError) as error:
        raise errors.StoreError(f"malformed claim: {error!r}") from error


def _unavailable(
    request: caller_request.CallerRequest,
) -> errors.RequestRefused:
    return request.unsent_refusal(
        503,
        "Key cannot be claimed",
        detail="Caller-chosen keys cannot be recorded now; use issued keys.",
        retry_after_s=_RETRY_AFTER_S,
        offer_keys=True,
    )
