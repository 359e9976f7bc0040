"""A caller's request and the answer to it."""

from __future__ import annotations

import hashlib
import typing

from fuchsiacourse import errors
from fuchsiacourse import verdict as verdicts

Headers = typing.Sequence[tuple[str, str]]

# Attempt number of a request without the header Request-Attempt.
UNKNOWN_ATTEMPT = 0


class CallerRequest:
    """One HTTP request of a caller.

    Args:
        method: HTTP method.
        path: Path as received, without query string.
        query: Query string as received, without question mark.
        headers: Headers to forward to the target.
        body: Complete body.
        account: Account of the caller; empty if none was given.
        key: Idempotency key; empty if none was given.
        attempt: Number of this attempt from 1, or UNKNOWN_ATTEMPT.
        request_id: Identifier that the answer echoes.
        deadline_ms: Milliseconds that the caller waits; by default the
            deadline of the request kind.
    """

    __slots__ = (
        "method",
        "path",
        "query",
        "headers",
        "body",
        "account",
        "key",
        "attempt",
        "request_id",
        "deadline_ms",
        "_fingerprint",
    )

    def __init__(
        self,
        *,
        method: str,
        path: str,
        query: str = "",
        headers: Headers = (),
        body: bytes = b"",
        account: str = "",
        key: str = "",
        attempt: int = UNKNOWN_ATTEMPT,
        request_id: str = "",
        deadline_ms: int | None = None,
    ) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.headers = list(headers)
        self.body = body
        self.account = account
        self.key = key
        self.attempt = attempt
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self._fingerprint = ""

    @property
    def full_path(self) -> str:
        """Path and query string."""
        return f"{self.path}?{self.query}" if self.query else self.path

    @property
    def is_first_attempt(self) -> bool:
        """Whether this counts as the first attempt of the request.

        A keyed request that does not state its attempt may be a retry; one
        without a key counts as the first.
        """
        if self.attempt == UNKNOWN_ATTEMPT:
            return not self.key
        return self.attempt == 1

    @property
    def unsent_verdict(self) -> verdicts.Verdict:
        """Verdict if this attempt was not sent and no earlier one is known."""
        if self.is_first_attempt:
            return verdicts.Verdict.NOT_RUN
        return verdicts.Verdict.MAY_HAVE_RUN

    def unsent_refusal(
        self, status: int, title: str, **fields: typing.Any
    ) -> errors.RequestRefused:
        """Returns a refusal of this attempt, which was not sent.

        Args:
            status: HTTP status code.
            title: Short name of the problem.
            **fields: Other arguments of RequestRefused.
        """
        return errors.RequestRefused(
            verdict=self.unsent_verdict, status=status, title=title, **fields
        )

    @property
    def fingerprint(self) -> str:
        """SHA-256 of method, path and body in hex, equal for all callers."""
        if not self._fingerprint:
            digest = hashlib.sha256()
            for part in (self.method, self.full_path):
                digest.update(part.encode())
                digest.update(b"\0")
            digest.update(self.body)
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

    @property
    def account_fingerprint(self) -> str:
        """SHA-256 in hex that covers the account and the fingerprint.

        A ledger record is returned only to the account that created it,
        even if another caller guesses its key.
        """
        text = f"{self.account}\0{self.fingerprint}"
        return hashlib.sha256(text.encode()).hexdigest()

    @property
    def size_bytes(self) -> int:
        """Approximate size on the wire in bytes."""
        # 4 bytes per header: colon, space and line end.
        return (
            len(self.full_path)
            + len(self.body)
            + sum(len(name) + len(value) + 4 for name, value in self.headers)
        )


class CallerAnswer:
    """Answer to a caller.

    Args:
        status: HTTP status code.
        verdict: Verdict on the request.
        headers: Headers of the answer, without the fleet's own.
        body: Complete body.
        request_id: Echo of the caller's identifier.
        is_refusal: Whether the fleet generated the answer, not a target.
    """

    __slots__ = (
        "status",
        "verdict",
        "headers",
        "body",
        "request_id",
        "is_refusal",
    )

    def __init__(
        self,
        *,
        status: int,
        verdict: verdicts.Verdict,
        headers: Headers = (),
        body: bytes = b"",
        request_id: str = "",
        is_refusal: bool = False,
    ) -> None:
        self.status = status
        self.verdict = verdict
        self.headers = list(headers)
        self.body = body
        self.request_id = request_id
        self.is_refusal = is_refusal

    def with_request_id(self, request_id: str) -> CallerAnswer:
        """Returns a copy for another caller that shares the run.

        Args:
            request_id: Identifier that the copy echoes.
        """
        return CallerAnswer(
            status=self.status,
            verdict=self.verdict,
            headers=self.headers,
            body=self.body,
            request_id=request_id,
            is_refusal=self.is_refusal,
        )
