"""Fetches what other fronts serve to their peers over HTTP."""

from __future__ import annotations

import asyncio

from fuchsiacourse import errors
from fuchsiacourse.front import answer_limits
from fuchsiacourse.front import client_connection
from fuchsiacourse.front import http_answer

# Timeout of a fetch from a peer, in seconds. The fronts of a zone answer
# within milliseconds, and a leaving target must be out of use within two
# seconds, all attempts included.
FETCH_TIMEOUT_S = 0.8
# Longest answer, in bytes. An object of the store has at most a megabyte.
MAX_ANSWER_BYTES = 8_000_000

_OK = 200


class PeerClient:
    """Client of the fronts' interface for their peers.

    Args:
        port: TCP port on which the fronts serve their peers.
        limits: Limits of the work for answers.
    """

    __slots__ = ("_port", "_limits")

    def __init__(
        self, *, port: int, limits: answer_limits.AnswerLimits
    ) -> None:
        self._port = port
        self._limits = limits

    async def get(self, ip: str, target: str) -> bytes:
        """Returns the body of a peer's answer.

        Args:
            ip: IP address of the front.
            target: Path and query.

        Raises:
            PeerError: The peer gave no answer with status 200 in time.
        """
        data = f"GET {target} HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode()
        try:
            answer = await asyncio.wait_for(
                self._exchange(ip, data), FETCH_TIMEOUT_S
            )
        except (OSError, TimeoutError, errors.TargetError) as error:
            raise errors.PeerError(f"no answer of {ip}: {error!r}") from error
        if answer.status != _OK:
            raise errors.PeerError(f"{ip} answered {answer.status}")
        return answer.body

    async def _exchange(self, ip: str, data: bytes) -> http_answer.HttpAnswer:
        connection = await client_connection.ClientConnection.open(
            (ip, self._port),
            limits=self._limits,
            source=ip,
            max_answer_bytes=MAX_ANSWER_BYTES,
        )
        try:
            return await connection.exchange(data, accepts=lambda _: True)
        finally:
            connection.close()
