"""Target client over HTTP with a pool for each target."""

from __future__ import annotations

import functools
import json
import typing

import aiohttp
import yarl

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import target_client

# Includes the wait for a free connection of the pool.
_CONNECT_TIMEOUT_S = 1.0
_PROBE_TIMEOUT_S = 1.0
# Shorter than the targets' own time, so that a connection isn't used while
# its target closes it.
_KEEP_ALIVE_S = 10.0
# The caller of send() cancels at the deadline; this guards against a
# caller that doesn't.
_DEADLINE_MARGIN_S = 1.0
# Of a target that has been probed only.
_DEFAULT_CONNECTION_LIMIT = 100
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_MAX_REPORT_BYTES = 16 * 1024
_POOL_IDLE_S = 300.0
# Targets are probed twice a second, so their URLs are parsed once.
_MAX_PROBE_URLS = 4096
_BODYLESS_STATUSES = (204, 304)

# Replaced here or valid for the caller's connection only.
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "request-deadline-ms",
        "request-id",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SKIPPED_DEFAULTS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


class _Pool:
    __slots__ = ("session", "limit", "used_s", "users")

    def __init__(self, *, session: aiohttp.ClientSession, limit: int) -> None:
        self.session = session
        self.limit = limit
        self.used_s = 0.0
        self.users = 0


class AiohttpTargetClient(target_client.TargetClient):
    """Calls targets over HTTP/1.1 and never repeats a request.

    aiohttp repeats GET, PUT and DELETE by itself when a pooled connection
    breaks. Such a request may be a booking and may have run, so a client
    middleware turns the errors that aiohttp would retry on into errors of
    this package.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_pools_by_address", "_pruned_s")

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._pools_by_address: dict[str, _Pool] = {}
        self._pruned_s = 0.0

    async def close(self) -> None:
        """Closes every connection."""
        pools = list(self._pools_by_address.values())
        self._pools_by_address.clear()
        for pool in pools:
            await pool.session.close()

    async def send(
        self, call: target_client.TargetCall
    ) -> target_client.TargetAnswer:
        """Sends a request once and returns the complete answer.

        Raises:
            TargetUnreachable: No connection could be made.
            TargetOutcomeUnknown: The request was sent and no answer came.
            TargetBadAnswer: The answer is not known to be whole.
        """
        pool = await self._pool(call.address, call.connection_limit)
        pool.users += 1
        try:
            answer = await self._exchange(pool.session, call)
            if answer.request_id != call.request_id:
                # The connection may be out of step with its requests.
                self._pools_by_address.pop(call.address, None)
            return answer
        except aiohttp.ClientPayloadError as error:
            raise errors.TargetBadAnswer(_text(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.TargetOutcomeUnknown(_text(error)) from error
        finally:
            await self._leave(call.address, pool)

    async def _exchange(
        self, session: aiohttp.ClientSession, call: target_client.TargetCall
    ) -> target_client.TargetAnswer:
        async with session.request(
            call.method,
            yarl.URL(f"http://{call.address}{call.path}", encoded=True),
            headers=_headers(call),
            data=call.body or None,
            timeout=_timeout(call.deadline_s + _DEADLINE_MARGIN_S),
            allow_redirects=False,
        ) as response:
            _require_length(response)
            body = await _read(response, _MAX_ANSWER_BYTES)
            return target_client.TargetAnswer(
                request_id=response.headers.get("Request-Id", ""),
                status=response.status,
                headers=list(response.headers.items()),
                body=body,
            )

    async def probe(
        self, address: str, *, path: str
    ) -> target_client.TargetReport:
        """Asks a target for its health and load report.

        Raises:
            TargetUnreachable: No connection could be made.
            TargetOutcomeUnknown: No usable report came.
        """
        pool = await self._pool(address, None)
        pool.users += 1
        try:
            async with pool.session.get(
                _probe_url(address, path),
                timeout=_PROBE_TIMEOUT,
                allow_redirects=False,
            ) as response:
                content = await _read(response, _MAX_REPORT_BYTES)
            return _report(json.loads(content))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise errors.TargetOutcomeUnknown(_text(error)) from error
        finally:
            await self._leave(address, pool)

    async def _pool(self, address: str, limit: int | None) -> _Pool:
        await self._prune()
        pool = self._pools_by_address.get(address)
        if pool is not None and limit in (None, pool.limit):
            return pool
        if pool is not None and not pool.users:
            await pool.session.close()
        limit = limit or _DEFAULT_CONNECTION_LIMIT
        pool = _Pool(session=_session(limit), limit=limit)
        self._pools_by_address[address] = pool
        return pool

    async def _leave(self, address: str, pool: _Pool) -> None:
        pool.users -= 1
        pool.used_s = self._clock.now()
        # A replaced pool is closed by its last user.
        if not pool.users and self._pools_by_address.get(address) is not pool:
            await pool.session.close()

    async def _prune(self) -> None:
        now = self._clock.now()
        if now - self._pruned_s < _POOL_IDLE_S:
            return
        self._pruned_s = now
        for address, pool in list(self._pools_by_address.items()):
            if not pool.users and now - pool.used_s > _POOL_IDLE_S:
                del self._pools_by_address[address]
                await pool.session.close()


async def _without_retry(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    try:
        return await handler(request)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        # The only errors that come before the first byte is written.
        raise errors.TargetUnreachable(_text(error)) from error
    except (aiohttp.ClientError, OSError) as error:
        raise errors.TargetOutcomeUnknown(_text(error)) from error


def _session(limit: int) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=limit, keepalive_timeout=_KEEP_ALIVE_S
        ),
        middlewares=(_without_retry,),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_SKIPPED_DEFAULTS,
        auto_decompress=False,
    )


@functools.lru_cache(maxsize=_MAX_PROBE_URLS)
def _probe_url(address: str, path: str) -> yarl.URL:
    return yarl.URL(f"http://{address}{path}", encoded=True)


def _timeout(total_s: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=total_s, connect=_CONNECT_TIMEOUT_S)


_PROBE_TIMEOUT = _timeout(_PROBE_TIMEOUT_S)


def _headers(call: target_client.TargetCall) -> list[tuple[str, str]]:
    kept = [
        (name, value)
        for name, value in call.headers
        if name.lower() not in _DROPPED_HEADERS
    ]
    return [
        *kept,
        ("Request-Id", call.request_id),
        ("Request-Deadline-Ms", str(max(1, int(call.deadline_s * 1000)))),
    ]


def _require_length(response: aiohttp.ClientResponse) -> None:
    if response.method == "HEAD" or response.status in _BODYLESS_STATUSES:
        return
    coding = response.headers.get("Transfer-Encoding", "").lower()
    if "Content-Length" not in response.headers and coding != "chunked":
        raise errors.TargetBadAnswer("the answer's length is not known")


async def _read(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > max_bytes:
            raise errors.TargetBadAnswer(f"more than {max_bytes} bytes")
        parts.append(part)
    return b"".join(parts)


def _report(content: typing.Any) -> target_client.TargetReport:
    if not isinstance(content, dict):
        raise ValueError("the report is not a JSON object")
    load = content.get("load", 0)
    return target_client.TargetReport(
        healthy=content.get("healthy") is True,
        draining=content.get("draining") is True,
        load=load if isinstance(load, int) else 0,
        incarnation=str(content.get("incarnation", "")),
        warming=content.get("warming") is True,
    )


def _text(error: BaseException) -> str:
    return str(error) or type(error).__name__
