"""HTTP client for callers that retries requests safely by their verdict.

It follows the rules of the callers' guide.
"""

from __future__ import annotations

import asyncio
import collections.abc
import json
import math
import random
import typing

import aiohttp

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import verdict as verdicts

MAX_ATTEMPTS = 6
# Wait between two attempts.
RESEND_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 1.0
# An entry needs this time beyond the deadline to withdraw the request.
GRACE_S = 2.0
# Issued keys are replaced this long before they expire.
RENEW_MARGIN_S = 1.0


class CallResult:
    """Result of one request after all of its attempts.

    Args:
        status: HTTP status of the last answer; 0 if there was none.
        verdict: Verdict on the request.
        body: Body of the last answer.
        attempts: Number of the last attempt, counted over all keys; turns
            in which no entry could be found count as well.
        keys: Keys that were used, in order.
        not_run_keys: Keys that were answered not-run.
        interrupted_attempts: Number of attempts that were sent and got no
            complete answer.
        retry_after_s: Value of Retry-After in the last answer, in seconds,
            None if it has none that can be read.
    """

    __slots__ = (
        "status",
        "verdict",
        "body",
        "attempts",
        "keys",
        "not_run_keys",
        "interrupted_attempts",
        "retry_after_s",
    )

    def __init__(
        self,
        *,
        status: int,
        verdict: verdicts.Verdict,
        body: bytes = b"",
        attempts: int = 1,
        keys: collections.abc.Sequence[str] = (),
        not_run_keys: collections.abc.Sequence[str] = (),
        interrupted_attempts: int = 0,
        retry_after_s: float | None = None,
    ) -> None:
        self.status = status
        self.verdict = verdict
        self.body = body
        self.attempts = attempts
        self.keys = tuple(keys)
        self.not_run_keys = tuple(not_run_keys)
        self.interrupted_attempts = interrupted_attempts
        self.retry_after_s = retry_after_s


class _AddressList:
    """Address list that an entry returned, and the keys left of its block."""

    __slots__ = (
        "addresses",
        "expires_at",
        "prefix",
        "unused_numbers",
        "keys_expire_at",
    )

    def __init__(self, *, content: typing.Any, now: float) -> None:
        self.addresses = [item["address"] for item in content["addresses"]]
        self.expires_at = now + content["ttl_s"]
        keys = content["keys"]
        self.prefix = keys["prefix"]
        self.unused_numbers = list(range(keys["count"]))
        self.keys_expire_at = now + keys["expires_in_s"]


class RetryingCaller:
    """Sends requests with idempotency keys and retries by their verdict.

    Args:
        session: HTTP client session.
        start_addresses: Entries that are asked for the first address list.
        account: Account of the caller.
        clock: Source of time.
        rng: Source of randomness.
        max_attempts: Maximum number of attempts of one request.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        start_addresses: collections.abc.Sequence[str],
        account: str,
        clock: clocks.Clock,
        rng: random.Random,
        max_attempts: int = MAX_ATTEMPTS,
    ) -> None:
        self._session = session
        self._start_addresses = list(start_addresses)
        self._account = account
        self._clock = clock
        self._rng = rng
        self._max_attempts = max_attempts
        self._list: _AddressList | None = None
        self._refresh_lock: asyncio.Lock = asyncio.Lock()

    async def addresses(self) -> list[str]:
        """Returns the addresses of the entries to use.

        Raises:
            PeerUnreachable: No entry returned an address list.
        """
        return (await self._current_list()).addresses

    async def new_key(self) -> str:
        """Returns an unused idempotency key.

        Raises:
            PeerUnreachable: No entry returned an address list.
        """
        current = await self._current_list()
        return f"{current.prefix}-{current.unused_numbers.pop(0)}"

    async def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        deadline_ms: int,
        is_idempotent: bool,
    ) -> CallResult:
        """Sends a request until it ran or the attempts are used up.

        A retry after not-run uses a new key, any other the same key.

        Args:
            method: HTTP method.
            path: Path with query string.
            body: Body of the request.
            deadline_ms: Deadline of each attempt in milliseconds.
            is_idempotent: Whether the request needs no key.
        """
        keys: list[str] = []
        closed: list[str] = []
        attempt = 1
        interrupted_attempts = 0
        result = CallResult(status=0, verdict=verdicts.Verdict.NOT_RUN)
        for turn in range(1, self._max_attempts + 1):
            try:
                if not is_idempotent and attempt == 1:
                    keys.append(await self.new_key())
                addresses = await self.addresses()
            except errors.PeerUnreachable:
                await self._clock.sleep(RESEND_DELAY_S)
                continue
            result = await self._send_once(
                addresses[(turn - 1) % len(addresses)],
                method,
                path,
                body=body,
                deadline_ms=deadline_ms,
                key=keys[-1] if keys else "",
                attempt=attempt,
            )
            interrupted_attempts += result.interrupted_attempts
            result.interrupted_attempts = interrupted_attempts
            result.attempts = turn
            result.keys = tuple(keys)
            if result.verdict is verdicts.Verdict.RAN:
                break
            if result.verdict is verdicts.Verdict.NOT_RUN:
                closed.extend(keys[-1:])
                attempt = 1
            else:
                attempt += 1
            await self._clock.sleep(RESEND_DELAY_S)
        result.not_run_keys = tuple(closed)
        return result

    async def _send_once(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes,
        deadline_ms: int,
        key: str,
        attempt: int,
    ) -> CallResult:
        headers = {
            "Caller-Account": self._account,
            "Request-Deadline-Ms": str(deadline_ms),
            "Request-Attempt": str(attempt),
        }
        if key:
            headers["Idempotency-Key"] = key
        timeout = aiohttp.ClientTimeout(
            total=deadline_ms / 1000 + GRACE_S, connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=body or None,
                headers=headers,
                timeout=timeout,
            ) as response:
                content = await response.read()
                return CallResult(
                    status=response.status,
                    verdict=_read_verdict(response),
                    body=content,
                    retry_after_s=_read_retry_after_s(response),
                )
        except aiohttp.ClientConnectorError:
            # This attempt was not sent, but an earlier one may have run.
            return CallResult(status=0, verdict=verdicts.Verdict.MAY_HAVE_RUN)
        except (aiohttp.ClientError, TimeoutError):
            return CallResult(
                status=0,
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
                interrupted_attempts=1,
            )

    async def _current_list(self) -> _AddressList:
        async with self._refresh_lock:
            if self._list is None or self._is_stale(self._list):
                self._list = await self._fetch_list()
            return self._list

    def _is_stale(self, current: _AddressList) -> bool:
        now = self._clock.now()
        if not current.unused_numbers or now >= current.expires_at:
            return True
        return now >= current.keys_expire_at - RENEW_MARGIN_S

    async def _fetch_list(self) -> _AddressList:
        known = self._list.addresses if self._list is not None else []
        candidates = [*known, *self._start_addresses]
        for address in candidates:
            content = await self._request_list(address)
            if content is not None:
                return _AddressList(content=content, now=self._clock.now())
        raise errors.PeerUnreachable("no entry returned an address list")

    async def _request_list(self, address: str) -> typing.Any:
        url = f"http://{address}/fleet/addresses"
        try:
            async with self._session.get(
                url,
                params={"caller": self._account},
                timeout=aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S),
            ) as response:
                if response.status != 200:
                    return None
                content = await response.json()
        except (aiohttp.ClientError, TimeoutError, json.JSONDecodeError):
            return None
        return content if content.get("addresses") else None


def _read_retry_after_s(response: aiohttp.ClientResponse) -> float | None:
    try:
        time_s = float(response.headers.get("Retry-After", ""))
    except ValueError:
        return None
    return time_s if math.isfinite(time_s) else None


def _read_verdict(response: aiohttp.ClientResponse) -> verdicts.Verdict:
    try:
        return verdicts.Verdict(response.headers.get("Request-Verdict", ""))
    except ValueError:
        return verdicts.Verdict.MAY_HAVE_RUN
