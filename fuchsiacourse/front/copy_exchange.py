"""Copies of the store's objects between fronts, over HTTP."""

from __future__ import annotations

import abc
import asyncio
import json
import typing
import urllib.parse

from fuchsiacourse import errors
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import client_connection
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import object_copy
from fuchsiacourse import store as stores

# Longest wait for a part of a copy, in seconds. The fronts of a zone answer
# within milliseconds; a leaving target leaves two seconds for all attempts.
FETCH_TIMEOUT_S = 0.8
# Longest answer in bytes; an object of the store holds at most a megabyte.
MAX_ANSWER_BYTES = 8_000_000

_PATH = "/copies"
_OK = 200
_NOT_FOUND = 404

Find = typing.Callable[[str], object_copy.ObjectCopy | None]


class CopySource(abc.ABC):
    """Where a front gets parts of copies of other fronts."""

    __slots__ = ()

    @abc.abstractmethod
    async def fetch(
        self, ip: str, prefix: str, after_revision: int
    ) -> object_copy.CopyUpdate:
        """Returns what another front knows after a revision.

        Raises:
            PeerError: The front gives no such part.
        """


class HttpCopySource(CopySource):
    """Copies over HTTP.

    Args:
        port: TCP port that the fronts serve their copies on.
    """

    __slots__ = ("_port",)

    def __init__(self, *, port: int) -> None:
        self._port = port

    async def fetch(
        self, ip: str, prefix: str, after_revision: int
    ) -> object_copy.CopyUpdate:
        """Returns what another front knows after a revision."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after_revision}
        )
        data = f"GET {_PATH}?{query} HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode()
        try:
            answer = await asyncio.wait_for(
                self._exchange(ip, data), FETCH_TIMEOUT_S
            )
            if answer.status != _OK:
                raise errors.PeerError(f"{ip} answers {answer.status}")
            return _decoded(answer.body)
        except (
            OSError,
            TimeoutError,
            errors.TargetError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            raise errors.PeerError(f"no copy from {ip}: {error!r}") from error

    async def _exchange(self, ip: str, data: bytes) -> http_answer.HttpAnswer:
        connection = await client_connection.ClientConnection.open(
            (ip, self._port), max_answer_bytes=MAX_ANSWER_BYTES
        )
        try:
            return await connection.exchange(data, accepts=lambda _: True)
        finally:
            connection.close()


class CopyHandler:
    """Answers the questions of other fronts.

    Args:
        find: Returns the copy under a prefix, None if there is none.
    """

    __slots__ = ("_find",)

    def __init__(self, *, find: Find) -> None:
        self._find = find

    async def handle(
        self,
        request: http_request.HttpRequest,
        presence: caller_presence.CallerPresence,
    ) -> http_answer.HttpAnswer:
        """Answers a question."""
        path, _, query = request.target.decode("latin-1").partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        after = fields.get("after", "")
        copy = self._find(fields.get("prefix", ""))
        if path != _PATH or copy is None or not after.isdecimal():
            return http_answer.HttpAnswer(status=_NOT_FOUND, headers=[])
        return http_answer.HttpAnswer(
            status=_OK,
            headers=[(b"content-type", b"application/json")],
            body=_encoded(copy.since(int(after))),
        )


def _encoded(part: object_copy.CopyUpdate) -> bytes:
    content = {
        "revision": part.revision,
        "is_whole": part.is_snapshot,
        "objects": [
            [item.key, item.version, item.deleted, item.value.decode()]
            for item in part.objects
        ],
    }
    return json.dumps(content).encode()


def _decoded(data: bytes) -> object_copy.CopyUpdate:
    content = json.loads(data)
    return object_copy.CopyUpdate(
        revision=int(content["revision"]),
        is_snapshot=bool(content["is_whole"]),
        objects=[
            stores.StoredObject(
                key=key, version=version, deleted=deleted, value=value.encode()
            )
            for key, version, deleted, value in content["objects"]
        ],
    )
