"""Transfers what fronts know of requests that crash targets."""

from __future__ import annotations

import abc
import json
import math
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import peer_client
from fuchsiacourse.front import suspect_request

# Path on which a front tells what it knows.
PATH = "/suspects"

_OK = 200
_MAX_64 = 2**64 - 1

Export = typing.Callable[[], list[suspect_request.SuspectRequest]]


class SuspectSource(abc.ABC):
    """Interface for learning what another front knows."""

    __slots__ = ()

    @abc.abstractmethod
    async def fetch(self, ip: str) -> list[suspect_request.SuspectRequest]:
        """Returns the suspected requests that another front knows.

        Args:
            ip: IP address of the front.

        Raises:
            PeerError: The other front did not tell them.
        """


class HttpSuspectSource(SuspectSource):
    """Fetches suspected requests over HTTP.

    Args:
        client: Client of the other fronts.
    """

    __slots__ = ("_client",)

    def __init__(self, *, client: peer_client.PeerClient) -> None:
        self._client = client

    async def fetch(self, ip: str) -> list[suspect_request.SuspectRequest]:
        """Returns the suspected requests that another front knows."""
        body = await self._client.get(ip, PATH)
        try:
            items = list(json.loads(body)["requests"])
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise errors.PeerError(
                f"suspects of {ip} can't be read: {error!r}"
            ) from error
        return [found for item in items if (found := _decoded(item))]


class SuspectHandler:
    """Tells other fronts which requests this front suspects.

    Args:
        export: Returns the suspected requests.
    """

    __slots__ = ("_export",)

    def __init__(self, *, export: Export) -> None:
        self._export = export

    async def handle(
        self,
        request: http_request.HttpRequest,
        presence: caller_presence.CallerPresence,
    ) -> http_answer.HttpAnswer:
        """Returns the answer to a front that has just started."""
        content = {
            "requests": [
                {
                    "fingerprint": item.fingerprint,
                    "blocked_for_s": item.blocked_for_s,
                    "lost": list(item.lost_age_s_by_target.items()),
                }
                for item in self._export()
            ]
        }
        return http_answer.HttpAnswer(
            status=_OK,
            headers=[(b"content-type", b"application/json")],
            body=json.dumps(content).encode(),
        )


def _decoded(content: typing.Any) -> suspect_request.SuspectRequest | None:
    """Returns a decoded request, None if it can't be read.

    A newer build may write an entry that this one doesn't understand; it costs
    that entry alone.
    """
    try:
        return suspect_request.SuspectRequest(
            fingerprint=_key(content["fingerprint"]),
            blocked_for_s=_duration_s(content["blocked_for_s"]),
            lost_age_s_by_target={
                _key(key): _duration_s(age_s) for key, age_s in content["lost"]
            },
        )
    except (ValueError, KeyError, TypeError, OverflowError):
        return None


def _key(value: typing.Any) -> int:
    if not isinstance(value, int) or not 0 <= value <= _MAX_64:
        raise ValueError("key is no integer of 64 bits")
    return value


def _duration_s(value: typing.Any) -> float:
    duration_s = float(value)
    if not math.isfinite(duration_s) or duration_s < 0.0:
        raise ValueError("duration is negative or not finite")
    return duration_s
