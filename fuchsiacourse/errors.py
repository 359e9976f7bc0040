"""Exception tree of the package."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from fuchsiacourse import verdict as verdicts


class FuchsiacourseError(Exception):
    """Base of every error that this package raises."""


class SettingsError(FuchsiacourseError):
    """A settings file cannot be used; names file, field and reason."""


class ServiceFileError(FuchsiacourseError):
    """A service file cannot be used; names file, field and reason."""


class PublishConflict(FuchsiacourseError):
    """Another operator changed the same services.

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
    """Base of the errors of the platform's object API."""


class StoreUnavailable(StoreError):
    """The call was not sent or was refused and had no effect."""


class StoreOutcomeUnknown(StoreError):
    """The call was sent, no reply came, and it may have taken effect."""


class StoreHistoryGone(StoreUnavailable):
    """The revision to watch from is older than the platform's history."""


class StoreRefused(StoreUnavailable):
    """The platform answered that it does not serve the call now."""


class StoreRateLimited(StoreRefused):
    """The platform refused the call for its rate limit."""


class VersionConflict(StoreError):
    """The object's version is not the expected one; nothing changed."""


class PeerError(FuchsiacourseError):
    """Base of the errors of a call to another process of the fleet."""


class PeerUnreachable(PeerError):
    """No part of the call was sent, so the peer has not seen it."""


class PeerOutcomeUnknown(PeerError):
    """The call was sent and no complete reply came."""


class BodyTruncated(FuchsiacourseError):
    """A body that is passed on while it arrives has ended early."""


class TargetError(FuchsiacourseError):
    """Base of the errors of a call to a target."""


class TargetUnreachable(TargetError):
    """No part of the request was sent to the target."""


class TargetOutcomeUnknown(TargetError):
    """The request was sent and no answer came."""


class TargetBadAnswer(TargetError):
    """The answer is truncated or fails the service's answer checks."""


class ConfigRejected(FuchsiacourseError):
    """A configuration can't be used; the one in force stays."""


class TargetRecordRejected(FuchsiacourseError):
    """A registration of a target can't be read; it names no target."""


class RequestRejected(FuchsiacourseError):
    """The bytes of a caller are not an acceptable request.

    Args:
        status: HTTP status code.
        detail: Explanation for the caller.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class RequestRefused(FuchsiacourseError):
    """A request ends without an answer of a target.

    Args:
        verdict: What is known of the request's execution.
        status: HTTP status code.
        title: Short name of the problem.
        detail: Explanation for the caller.
        retry_after_s: Seconds after which a new request may succeed.
        issuer: Address of the entry that issued the key, if relevant.
        offer_keys: Whether the refusal should carry a new key block.
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
