"""Client of the platform's object API over HTTP."""

from __future__ import annotations

import base64
import json
import typing
import urllib.parse

import aiohttp

from fuchsiacourse import errors
from fuchsiacourse import store

DEFAULT_TIMEOUT_S = 2.0
# Part of a call's timeout within which a connection must be established.
_CONNECT_SHARE = 0.5
# Maximum number of concurrent connections for writes.
_MAX_CONNECTIONS = 16
_VERSION_HEADER = "Object-Version"
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_RATE_LIMITED = 429
_UNAVAILABLE = 503
_FIRST_SERVER_ERROR = 500


class _Reply:
    """Status, object version and body of a response."""

    __slots__ = ("status", "version", "body")

    def __init__(self, *, status: int, version: str, body: bytes) -> None:
        self.status = status
        self.version = version
        self.body = body


class _SendState:
    """Records whether a write's headers have been passed to the socket."""

    __slots__ = ("is_sent",)

    def __init__(self) -> None:
        self.is_sent = False


class _ResendError(aiohttp.ClientError):
    """The client library attempted to send a write a second time."""


class HttpStore(store.Store):
    """Client of the object API over HTTP.

    A write that may have been sent and got no complete response raises
    StoreOutcomeUnknown. Reads have no effect, so all their failures raise
    StoreUnavailable. The client library retries PUT and DELETE on its own
    if the connection is closed without a response; the second copy of a
    conditional write would then conflict with the effect of the first. A
    trace therefore refuses a new connection for a write already sent.

    Args:
        url: Base URL of the object API, ``http://ip:port``.
        timeout_s: Timeout of a call in seconds; a watch adds its own
            timeout to it.
    """

    def __init__(
        self, *, url: str, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._read_session: aiohttp.ClientSession | None = None
        self._write_session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections."""
        for session in (self._read_session, self._write_session):
            if session is not None:
                await session.close()
        self._read_session = None
        self._write_session = None

    async def get(self, key: str) -> store.StoredObject | None:
        """Returns an object, or None if there is none."""
        reply = await self._read(_object_path(key))
        if reply.status == _NOT_FOUND:
            return None
        _require_ok(reply)
        return store.StoredObject(
            key=key, value=reply.body, version=_version(reply.version)
        )

    async def list(self, prefix: str) -> list[store.StoredObject]:
        """Returns all objects whose key starts with a prefix."""
        reply = await self._read("/objects", {"prefix": prefix})
        _require_ok(reply)
        return _batch(reply.body).objects

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object and returns its new version."""
        reply = await self._write("PUT", key, value, if_version)
        try:
            return int(reply.version)
        except ValueError as error:
            raise errors.StoreOutcomeUnknown(
                f"put {key}: response has no valid Object-Version header"
            ) from error

    async def delete(self, key: str, *, if_version: int | None) -> None:
        """Deletes an object; has no effect if there is none."""
        await self._write("DELETE", key, None, if_version)

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> store.WatchBatch:
        """Waits for changes after a revision."""
        reply = await self._read(
            "/watch",
            {
                "prefix": prefix,
                "after": str(after_revision),
                "timeout_s": f"{timeout_s:g}",
            },
            wait_s=timeout_s,
        )
        _require_ok(reply)
        return _batch(reply.body)

    async def hosts(self) -> list[store.HostRecord]:
        """Returns the platform's list of live and leaving hosts; it lags."""
        reply = await self._read("/hosts")
        _require_ok(reply)
        try:
            items = json.loads(reply.body)["hosts"]
            return [store.HostRecord(**item) for item in items]
        except (ValueError, KeyError, TypeError) as error:
            raise errors.StoreUnavailable(
                f"hosts: malformed response: {error}"
            ) from error

    async def _read(
        self,
        path: str,
        query: dict[str, str] | None = None,
        *,
        wait_s: float = 0.0,
    ) -> _Reply:
        if self._read_session is None:
            # Unlimited, so that waiting watches don't block other reads.
            self._read_session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                auto_decompress=False,
            )
        try:
            async with self._read_session.get(
                self._url + path,
                params=query,
                timeout=self._timeout(wait_s),
            ) as response:
                body = await response.read()
                return _reply(response, body)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.StoreUnavailable(
                f"read {path}: {_reason(error)}"
            ) from error

    async def _write(
        self,
        method: str,
        key: str,
        value: bytes | None,
        if_version: int | None,
    ) -> _Reply:
        if self._write_session is None:
            self._write_session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=_MAX_CONNECTIONS, force_close=True
                ),
                trace_configs=[_send_once()],
            )
        call = f"{method.lower()} {key}"
        sent = _SendState()
        try:
            async with self._write_session.request(
                method,
                self._url + _object_path(key),
                data=value,
                headers=_conditions(if_version),
                timeout=self._timeout(0.0),
                allow_redirects=False,
                trace_request_ctx=sent,
            ) as response:
                # The status alone determines the outcome; a truncated body
                # must not make it unknown.
                reply = _reply(response, b"")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = f"{call}: {_reason(error)}"
            if sent.is_sent:
                raise errors.StoreOutcomeUnknown(detail) from error
            raise errors.StoreUnavailable(detail) from error
        _require_written(call, reply)
        return reply

    def _timeout(self, wait_s: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=self._timeout_s + wait_s,
            connect=self._timeout_s * _CONNECT_SHARE,
        )


def _send_once() -> aiohttp.TraceConfig:
    async def before_connection(session, context, params) -> None:
        if context.trace_request_ctx.is_sent:
            raise _ResendError("connection closed without a response")

    async def after_headers(session, context, params) -> None:
        context.trace_request_ctx.is_sent = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(before_connection)
    trace.on_request_headers_sent.append(after_headers)
    return trace


def _object_path(key: str) -> str:
    return "/objects/" + urllib.parse.quote(key)


def _conditions(if_version: int | None) -> dict[str, str]:
    if if_version is None:
        return {}
    if if_version == store.CREATE_ONLY:
        return {"If-None-Match": "*"}
    return {"If-Match": str(if_version)}


def _reply(response: aiohttp.ClientResponse, body: bytes) -> _Reply:
    return _Reply(
        status=response.status,
        version=response.headers.get(_VERSION_HEADER, ""),
        body=body,
    )


def _require_ok(reply: _Reply) -> None:
    if reply.status == _OK:
        return
    if reply.status == _RATE_LIMITED:
        raise errors.StoreRateLimited("platform rate limit exceeded")
    raise errors.StoreUnavailable(f"platform responded with {reply.status}")


def _require_written(call: str, reply: _Reply) -> None:
    if _OK <= reply.status < 300:
        return
    if reply.status == _CONFLICT:
        raise errors.VersionConflict(f"{call}: object has another version")
    if reply.status == _RATE_LIMITED:
        raise errors.StoreRateLimited(f"{call}: platform rate limit exceeded")
    if reply.status == _UNAVAILABLE:
        raise errors.StoreUnavailable(f"{call}: platform is unavailable")
    if reply.status >= _FIRST_SERVER_ERROR:
        raise errors.StoreOutcomeUnknown(
            f"{call}: platform responded with {reply.status}"
        )
    raise errors.StoreError(f"{call}: platform responded with {reply.status}")


def _version(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise errors.StoreUnavailable(
            "response has no valid Object-Version header"
        ) from error


def _batch(body: bytes) -> store.WatchBatch:
    try:
        content = json.loads(body)
        return store.WatchBatch(
            revision=int(content["revision"]),
            objects=[_stored(item) for item in content["objects"]],
        )
    except (ValueError, KeyError, TypeError) as error:
        raise errors.StoreUnavailable(
            f"malformed response: {error}"
        ) from error


def _stored(item: dict[str, typing.Any]) -> store.StoredObject:
    return store.StoredObject(
        key=item["key"],
        value=base64.b64decode(item.get("value", "")),
        version=int(item["version"]),
        deleted=bool(item.get("deleted", False)),
    )


def _reason(error: BaseException) -> str:
    return str(error) or type(error).__name__
