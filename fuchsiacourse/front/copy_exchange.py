"""Transfers copies of the store's objects between fronts over HTTP."""

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

# Timeout of a fetch from a peer, in seconds. The fronts of a zone answer
# within milliseconds, and a leaving target must be out of use within two
# seconds, all attempts included.
FETCH_TIMEOUT_S = 0.8
# Longest answer, in bytes. An object of the store has at most a megabyte.
MAX_ANSWER_BYTES = 8_000_000

_PATH = "/copies"
_OK = 200
_NOT_FOUND = 404

FindCopy = typing.Callable[[str], object_copy.ObjectCopy | None]


class CopySource(abc.ABC):
    """Interface for fetching the changes of other fronts' copies."""

    __slots__ = ()

    @abc.abstractmethod
    async def fetch(
        self, ip: str, prefix: str, after: object_copy.Position
    ) -> object_copy.CopyUpdate:
        """Returns the changes of another front's copy after a position.

        Args:
            ip: IP address of the front.
            prefix: Prefix of the copy's keys.
            after: Position that this front's copy has reached; revision 0
                for none.

        Raises:
            PeerError: The other front did not provide the changes.
        """


class HttpCopySource(CopySource):
    """Fetches changes of copies over HTTP.

    Args:
        port: TCP port on which the fronts serve their copies.
    """

    __slots__ = ("_port",)

    def __init__(self, *, port: int) -> None:
        self._port = port

    async def fetch(
        self, ip: str, prefix: str, after: object_copy.Position
    ) -> object_copy.CopyUpdate:
        """Returns the changes of another front's copy after a position."""
        era, revision = after
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": revision, "era": era}
        )
        data = f"GET {_PATH}?{query} HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode()
        try:
            answer = await asyncio.wait_for(
                self._exchange(ip, data), FETCH_TIMEOUT_S
            )
            if answer.status != _OK:
                raise errors.PeerError(f"{ip} answered {answer.status}")
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
    """Serves this front's copies to other fronts.

    Args:
        find: Returns the copy of the objects under a prefix, None if there
            is none.
    """

    __slots__ = ("_find",)

    def __init__(self, *, find: FindCopy) -> None:
        self._find = find

    async def handle(
        self,
        request: http_request.HttpRequest,
        presence: caller_presence.CallerPresence,
    ) -> http_answer.HttpAnswer:
        """Returns the answer to a request for a copy.

        Its status is 404 if the path is unknown, there is no such copy, or
        the revision is malformed.
        """
        path, _, query = request.target.decode("latin-1").partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        after = fields.get("after", "")
        # Builds that don't know eras state none.
        era = fields.get("era", "")
        copy = self._find(fields.get("prefix", ""))
        if path != _PATH or copy is None or not after.isdecimal():
            return http_answer.HttpAnswer(status=_NOT_FOUND, headers=[])
        return http_answer.HttpAnswer(
            status=_OK,
            headers=[(b"content-type", b"application/json")],
            body=_encoded(
                copy.since(int(after), int(era) if era.isdecimal() else None)
            ),
        )


def _encoded(update: object_copy.CopyUpdate) -> bytes:
    content = {
        "revision": update.revision,
        "era": update.era,
        "is_whole": update.is_snapshot,
        "objects": [
            [item.key, item.version, item.deleted, item.value.decode()]
            for item in update.objects
        ],
    }
    return json.dumps(content).encode()


def _decoded(data: bytes) -> object_copy.CopyUpdate:
    content = json.loads(data)
    return object_copy.CopyUpdate(
        revision=int(content["revision"]),
        era=int(content.get("era", 0)),
        is_snapshot=bool(content["is_whole"]),
        objects=[
            stores.StoredObject(
                key=key, version=version, deleted=deleted, value=value.encode()
            )
            for key, version, deleted, value in content["objects"]
        ],
    )
