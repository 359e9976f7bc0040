"""Client of the platform's object store."""

from __future__ import annotations

import asyncio
import json
import typing
import urllib.parse

from fuchsiacourse import errors
from fuchsiacourse.front import answer_limits
from fuchsiacourse.front import client_connection
from fuchsiacourse.front import http_answer
from fuchsiacourse.platform import tolerant_json
from fuchsiacourse import store

# Timeouts for opening a connection and for the answer to a call, in seconds.
# The store answers within milliseconds, a slow one within some hundred.
CONNECT_TIMEOUT_S = 0.6
CALL_TIMEOUT_S = 3.0
# Longest answer, in bytes. A page has about a megabyte, and an object at most
# one.
MAX_ANSWER_BYTES = 8_000_000

_BASE = "/fuchsiacourse/objects/"
# Number of the store's history; the platform calls it an era too.
_ERA = b"store-era"
_ALLOW_STALE = "serializable=1"
# Kind without objects; it is read only to check that the store answers.
_EMPTY_KIND = "front-proofs"
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_RATE_LIMITED = 429
_UNAVAILABLE = 503
_FIRST_CLIENT_ERROR = 400
_FIRST_SERVER_ERROR = 500

Json = dict[str, typing.Any]


class ObjectStore(store.Store):
    """Client of the object store, with objects by kind and name.

    A key is ``kind/name``; a prefix is ``kind/``. A value is a JSON object
    with ``spec`` and ``status``. A watch from revision 0 returns a list, which
    may be stale if it is the first call for its kind and the deployment starts
    for the first time. Later, a stale list may be of a history that the store
    has lost since, and a watch would go on from a revision of that.

    Args:
        address: IP address and port of the store.
        limits: Limits of the work for answers.
        is_first_start: Whether the whole deployment starts for the first
            time.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        limits: answer_limits.AnswerLimits,
        is_first_start: bool = False,
    ) -> None:
        self._address = address
        self._limits = limits
        self._host = f"{address[0]}:{address[1]}"
        self._idle: list[client_connection.ClientConnection] = []
        self._is_first_start = is_first_start
        # Prefixes that have been listed or watched.
        self._requested_prefixes: set[str] = set()

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def get(self, key: str) -> store.StoredObject | None:
        """Returns an object, or None if there is none."""
        answer = await self._call("GET", _path(key))
        if answer.status == _NOT_FOUND:
            return None
        kind = key.partition("/")[0]
        return _decoded(lambda: _stored(kind, _content(answer)))

    async def ping(self) -> int:
        """Returns the store's era once the store has answered a call.

        The read may be stale, because its content is not used and a stale
        read costs a tenth.
        """
        path = _path(_EMPTY_KIND) + "?" + _ALLOW_STALE
        return _era(await self._call("GET", path))

    async def list(self, prefix: str) -> list[store.StoredObject]:
        """Returns all objects of a kind."""
        return (await self._list(prefix)).objects

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object's ``spec``.

        Returns:
            The new revision of the object.

        Raises:
            VersionConflict: The object has another version, exists already,
                or is missing.
            StoreOutcomeUnknown: The write may have been applied.
        """
        kind, _, name = key.partition("/")
        metadata: Json = {"name": name, "finalizers": []}
        method, path = "PUT", _path(key)
        if if_version == store.CREATE_ONLY:
            method, path = "POST", _path(kind)
        elif if_version is not None:
            metadata["revision"] = if_version
        body = {"metadata": metadata, "spec": json.loads(value)["spec"]}
        answer = await self._call(method, path, body=body)
        if answer.status == _NOT_FOUND:
            raise errors.VersionConflict(f"{key}: the object doesn't exist")
        return _decoded(
            lambda: _stored(kind, _content(answer)).version, is_write=True
        )

    async def delete(self, key: str, *, if_version: int | None) -> None:
        """Deletes an object; has no effect if it doesn't exist."""
        query = "" if if_version is None else f"?revision={if_version}"
        await self._call("DELETE", _path(key) + query)

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> store.WatchBatch:
        """Waits for changes of a kind after a revision.

        Revision 0 returns a list of all objects without waiting.

        Raises:
            StoreHistoryGone: The store has dropped changes since then.
        """
        may_be_stale = (
            self._is_first_start and prefix not in self._requested_prefixes
        )
        self._requested_prefixes.add(prefix)
        if after_revision <= 0:
            # A stale list is good enough for the first call: the watch from
            # its revision then returns all later changes, or reports that
            # they are gone.
            return await self._list(prefix, may_be_stale=may_be_stale)
        wait_ms = int(timeout_s * 1000.0)
        query = f"?watch={after_revision}&wait_ms={wait_ms}"
        answer = await self._call(
            "GET", _path(prefix.rstrip("/")) + query, wait_s=timeout_s
        )
        kind = prefix.rstrip("/")

        def decode() -> store.WatchBatch:
            content = _content(answer)
            return store.WatchBatch(
                revision=int(content["as_of"]),
                objects=[
                    _stored(kind, event["object"], bool(event["deleted"]))
                    for event in content["events"]
                    if _is_named(event["object"])
                ],
                era=_era(answer),
            )

        return _decoded(decode)

    async def hosts(self) -> list[store.HostRecord]:
        """Always raises, because the platform has no list of hosts.

        Raises:
            StoreError: Always.
        """
        raise errors.StoreError("the platform has no list of hosts")

    async def _list(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> store.WatchBatch:
        kind = prefix.rstrip("/")
        # A list that may be some seconds stale costs a tenth.
        stale_query = _ALLOW_STALE if may_be_stale else ""
        objects: list[store.StoredObject] = []
        revision = era = 0
        after = ""
        while True:
            query = "&".join(part for part in (after, stale_query) if part)
            path = _path(kind) + ("?" + query if query else "")
            answer = await self._call("GET", path)
            content = _decoded(lambda: _content(answer))
            if after and _era(answer) != era:
                raise errors.StoreUnavailable(
                    "the store has changed its era between two pages"
                )
            era = _era(answer)
            # Pages may have different revisions; a watch from the oldest one
            # returns the changes between them again.
            as_of = int(content.get("as_of", 0))
            revision = min(revision or as_of, as_of)
            items = content.get("items", [])
            page = [item for item in items if _is_named(item)]
            objects.extend(_decoded(lambda: _stored(kind, i)) for i in page)
            if not content.get("has_more") or not page:
                return store.WatchBatch(
                    revision=revision, objects=objects, era=era
                )
            last = page[-1]["metadata"]["name"]
            after = "after=" + urllib.parse.quote(last, safe="")

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: Json | None = None,
        wait_s: float = 0.0,
    ) -> http_answer.HttpAnswer:
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        ).encode()
        is_write = method != "GET"
        connection = await self._connection(fresh=is_write)
        try:
            answer = await asyncio.wait_for(
                connection.exchange(head + data, accepts=lambda _: True),
                CALL_TIMEOUT_S + wait_s,
            )
        except asyncio.CancelledError:
            self.close()
            raise
        except (errors.TargetError, TimeoutError) as error:
            connection.close()
            # The idle connections may be unresponsive as well.
            self.close()
            detail = f"{method} {path}: {error!r}"
            if is_write:
                raise errors.StoreOutcomeUnknown(detail) from error
            raise errors.StoreUnavailable(detail) from error
        if connection.is_usable:
            self._idle.append(connection)
        _check(method, path, answer)
        return answer

    async def _connection(
        self, *, fresh: bool
    ) -> client_connection.ClientConnection:
        while self._idle and not fresh:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
        try:
            return await asyncio.wait_for(
                client_connection.ClientConnection.open(
                    self._address,
                    limits=self._limits,
                    source="store",
                    max_answer_bytes=MAX_ANSWER_BYTES,
                ),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, TimeoutError) as error:
            raise errors.StoreUnavailable(
                f"can't connect to the store: {error!r}"
            ) from error


def _path(key: str) -> str:
    return _BASE + urllib.parse.quote(key)


def _check(method: str, path: str, answer: http_answer.HttpAnswer) -> None:
    status = answer.status
    detail = f"{method} {path}: the store answered with status {status}"
    if status in (_OK, _CREATED, _NOT_FOUND):
        return
    if status == _CONFLICT:
        raise errors.VersionConflict(detail)
    if status == _GONE:
        raise errors.StoreHistoryGone(detail)
    if status == _RATE_LIMITED:
        raise errors.StoreRateLimited(detail)
    if status == _UNAVAILABLE:
        raise errors.StoreRefused(detail)
    if status >= _FIRST_SERVER_ERROR and method != "GET":
        raise errors.StoreOutcomeUnknown(detail)
    if status >= _FIRST_SERVER_ERROR:
        raise errors.StoreUnavailable(detail)
    raise errors.StoreError(detail)


def _content(answer: http_answer.HttpAnswer) -> Json:
    return tolerant_json.loads(answer.body)


def _era(answer: http_answer.HttpAnswer) -> int:
    """Returns the era that an answer states, 0 if it states none."""
    value = (answer.header(_ERA) or b"").strip()
    return int(value) if value.isdigit() else 0


def _is_named(item: typing.Any) -> bool:
    """Returns whether an item of a list names an object of the store."""
    metadata = item.get("metadata") if isinstance(item, dict) else None
    return isinstance(metadata, dict) and isinstance(metadata.get("name"), str)


def _stored(
    kind: str, item: Json, is_deleted: bool = False
) -> store.StoredObject:
    metadata = item["metadata"]
    content = {"spec": item.get("spec"), "status": item.get("status")}
    try:
        value = json.dumps(content).encode()
    except RecursionError:
        # Nested so deeply that no reader of the value could use it.
        value = b"null"
    return store.StoredObject(
        key=f"{kind}/{metadata['name']}",
        value=value,
        version=int(metadata["revision"]),
        deleted=is_deleted,
    )


_T = typing.TypeVar("_T")


def _decoded(decode: typing.Callable[[], _T], *, is_write: bool = False) -> _T:
    try:
        return decode()
    except tolerant_json.DECODE_ERRORS as error:
        kind = (
            errors.StoreOutcomeUnknown if is_write else errors.StoreUnavailable
        )
        raise kind(f"malformed answer of the store: {error!r}") from error
