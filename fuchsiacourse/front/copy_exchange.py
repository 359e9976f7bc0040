"""Transfers copies of the store's objects between fronts over HTTP."""

from __future__ import annotations

import abc
import json
import typing
import urllib.parse

from fuchsiacourse import errors
from fuchsiacourse.front import caller_presence
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import object_copy
from fuchsiacourse.front import peer_client
from fuchsiacourse import store as stores

# Path on which a front serves its copies.
PATH = "/copies"
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
        client: Client of the other fronts.
    """

    __slots__ = ("_client",)

    def __init__(self, *, client: peer_client.PeerClient) -> None:
        self._client = client

    async def fetch(
        self, ip: str, prefix: str, after: object_copy.Position
    ) -> object_copy.CopyUpdate:
        """Returns the changes of another front's copy after a position."""
        era, revision = after
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": revision, "era": era}
        )
        body = await self._client.get(ip, f"{PATH}?{query}")
        try:
            return _decoded(body)
        except (ValueError, KeyError, TypeError) as error:
            raise errors.PeerError(
                f"copy of {ip} can't be read: {error!r}"
            ) from error


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
        if path != PATH or copy is None or not after.isdecimal():
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
