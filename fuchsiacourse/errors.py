"""Exceptions of the package."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from fuchsiacourse import verdict as verdicts


class FuchsiacourseError(Exception):
    """Base class of all errors that this package raises."""


class SettingsError(FuchsiacourseError):
    """A settings file is invalid; the text names file, field and reason."""


class ServiceFileError(FuchsiacourseError):
    """A service file is invalid; the text names file, field and reason."""


class PublishConflict(FuchsiacourseError):
    """Another operator published a change of the same services.

    Args:
        services: Names of the services that both operators changed.
    """

    def __init__(self, services: typing.Sequence[str]) -> None:
        self.services = tuple(sorted(services))
        super().__init__(
            "another operator changed the same services: "
            + ", ".join(self.services)
        )


class StoreError(FuchsiacourseError):
    """Base class of the errors of the platform's object store."""


class StoreUnavailable(StoreError):
    """The call was not sent, or was refused; it had no effect."""


class StoreOutcomeUnknown(StoreError):
    """The call was sent but not answered; it may have taken effect."""


class StoreHistoryGone(StoreUnavailable):
    """The store no longer keeps the changes since the watched revision."""


class StoreRefused(StoreUnavailable):
    """The store answered that it does not serve the call at present."""


class StoreRateLimited(StoreRefused):
    """The store refused the call because of its rate limit."""


class VersionConflict(StoreError):
    """The object does not have the expected version; nothing changed."""


class PeerError(FuchsiacourseError):
    """Base class of the errors of a call to another process of the fleet."""


class PeerUnreachable(PeerError):
    """No part of the call was sent, so the peer has not executed it."""


class PeerOutcomeUnknown(PeerError):
    """The call was sent but not answered completely; it may have run."""


class BodyTruncated(FuchsiacourseError):
    """A body that is forwarded while it arrives ended early."""


class TargetError(FuchsiacourseError):
    """Base class of the errors of a call to a target."""


class TargetUnreachable(TargetError):
    """No part of the request was sent to the target."""


class TargetOutcomeUnknown(TargetError):
    """The request was sent but not answered; it may have run."""


class TargetBadAnswer(TargetError):
    """The answer is truncated or fails the service's answer checks."""


class AnswerLimitExceeded(TargetBadAnswer):
    """The answer costs more than a process spends on it.

    Args:
        limit: Name of the limit.
        value: Its value.
    """

    def __init__(self, limit: str, value: int) -> None:
        self.limit = limit
        self.value = value
        super().__init__(f"answer exceeds {limit}={value}")


class ConfigRejected(FuchsiacourseError):
    """A configuration is invalid; the one in force remains."""


class TargetRegistrationRejected(FuchsiacourseError):
    """A registration of a target is invalid; it yields no target."""


class RequestRejected(FuchsiacourseError):
    """The bytes that a caller sent are not an acceptable request.

    Args:
        status: HTTP status code of the answer.
        detail: Explanation for the caller.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class TooManyParts(RequestRejected):
    """A request has too many parts or header lines, whatever its bytes."""


class RequestRefused(FuchsiacourseError):
    """A request is refused: it ends without an answer of a target.

    Args:
        verdict: What is known about the execution of the request.
        status: HTTP status code of the answer.
        title: Short name of the problem.
        detail: Explanation for the caller.
        retry_after_s: Seconds after which a new request may succeed.
        issuer: Address of the entry that issued the idempotency key, if
            relevant.
        offer_keys: Whether the answer should carry a new key block.
    """

    def __init__(
        self,
        *,
        verdict: verdicts.Verdict,
        status: int,
        title: str,
        detail: str = "",
        retry_after_s: float | None = None,
        issuer: str = "",
        offer_keys: bool = False,
    ) -> None:
        super().__init__(detail or title)
        self.verdict = verdict
        self.status = status
        self.title = title
        self.detail = detail or title
        self.retry_after_s = retry_after_s
        self.issuer = issuer
        self.offer_keys = offer_keys
