"""HTTP application of an entry for its callers."""

from __future__ import annotations

import asyncio
import contextlib
import typing
import urllib.parse

import falcon
import falcon.asgi

from fuchsiacourse import caller_request
from fuchsiacourse import entry_service
from fuchsiacourse import errors
from fuchsiacourse import settings as setting_models
from fuchsiacourse import verdict as verdicts

ADDRESSES_PATH = "/fleet/addresses"
MAX_KEY_LENGTH = 255
# Largest value of the fleet's numeric headers.
_MAX_NUMBER = 2**31 - 1

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Request headers that the fleet reads or sets itself and does not forward.
_FLEET_REQUEST_HEADERS = frozenset(
    (
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "request-attempt",
        "request-deadline-ms",
        "request-id",
    )
)
_FLEET_ANSWER_HEADERS = frozenset(
    (
        "content-length",
        "date",
        "request-id",
        "request-verdict",
        "server",
        "target-incarnation",
        "target-state",
    )
)


class EntryApp(falcon.asgi.App):
    """Serves the address list and the proxied routes.

    Args:
        service: Entry service that answers requests.
        settings: Settings with the limits of headers and bodies.
    """

    def __init__(
        self,
        *,
        service: entry_service.EntryService,
        settings: setting_models.EntrySettings,
    ) -> None:
        super().__init__()
        proxy = _Proxy(service=service, settings=settings)
        self.add_route(ADDRESSES_PATH, _Addresses(service=service))
        self.add_sink(proxy.handle, prefix="/")
        # falcon's own handlers for its two classes would take precedence
        # over one for Exception.
        for error_class in (Exception, falcon.HTTPError, falcon.HTTPStatus):
            self.add_error_handler(error_class, proxy.handle_error)

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serves a request.

        Marks in the scope that the caller disconnected, so that a truncated
        body can be recognized.
        """

        async def receive_event() -> typing.Any:
            event = await receive()
            if event["type"] == "http.disconnect":
                scope["fuchsiacourse.cut_off"] = True
            return event

        await super().__call__(scope, receive_event, send)


class _Addresses:
    def __init__(self, *, service: entry_service.EntryService) -> None:
        self._service = service

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        request_id = req.get_header("Request-Id") or ""
        try:
            listed = self._service.address_list(req.get_param("caller") or "")
        except errors.RequestRefused as error:
            _write(resp, self._service.refuse(error, request_id=request_id))
            return
        resp.media = listed.as_json()
        resp.set_header("cache-control", f"max-age={int(listed.ttl_s)}")
        resp.set_header("request-id", request_id)
        resp.set_header("request-verdict", verdicts.Verdict.RAN.value)

    on_head = on_get


class _Proxy:
    def __init__(
        self,
        *,
        service: entry_service.EntryService,
        settings: setting_models.EntrySettings,
    ) -> None:
        self._service = service
        self._settings = settings

    async def handle(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answers a request of any route except the fleet's own."""
        headers = _decode_headers(req.scope["headers"])
        request = _build_request(req, headers)
        try:
            _read_headers(request, headers)
            _check_path(request)
            self._check_headers(request, headers)
            request.body = await self._read_body(req, request)
        except errors.RequestRefused as error:
            _write(
                resp,
                self._service.refuse(error, request_id=request.request_id),
            )
            return
        _write(resp, await self._service.handle(request))

    async def handle_error(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        error: Exception,
        params: typing.Any,
    ) -> None:
        """Answers requests that falcon rejects or whose handling fails."""
        headers = _decode_headers(req.scope["headers"])
        request = _build_request(req, headers)
        refusal = errors.RequestRefused(
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
            status=500,
            title="Internal error",
        )
        if isinstance(error, falcon.HTTPError):
            # falcon raises its own errors before the request is sent on.
            status = falcon.http_status_to_code(error.status)
            with contextlib.suppress(errors.RequestRefused):
                _read_headers(request, headers)
            refusal = request.unsent_refusal(
                status, error.title or "Bad request"
            )
        _write(
            resp, self._service.refuse(refusal, request_id=request.request_id)
        )

    def _check_headers(
        self,
        request: caller_request.CallerRequest,
        headers: list[tuple[str, str]],
    ) -> None:
        # 4 bytes per header: colon, space and line end.
        size_bytes = len(request.full_path) + sum(
            len(name) + len(value) + 4 for name, value in headers
        )
        if size_bytes > self._settings.max_header_bytes:
            raise request.unsent_refusal(
                431,
                "Headers are too large",
                detail=f"They take {size_bytes} bytes.",
            )

    async def _read_body(
        self,
        req: falcon.asgi.Request,
        request: caller_request.CallerRequest,
    ) -> bytes:
        # In HTTP/1.1 a request has a body only with one of these headers.
        if not req.content_length and not req.get_header("Transfer-Encoding"):
            return b""
        limit = self._settings.max_body_bytes
        if (req.content_length or 0) > limit:
            raise _too_large(request, limit)
        chunks: list[bytes] = []
        size_bytes = 0
        try:
            async with asyncio.timeout(self._settings.body_timeout_s):
                async for chunk in req.stream:
                    size_bytes += len(chunk)
                    if size_bytes > limit:
                        raise _too_large(request, limit)
                    chunks.append(chunk)
        except TimeoutError:
            raise request.unsent_refusal(408, "Body did not arrive") from None
        if req.scope.get("fuchsiacourse.cut_off") or (
            req.content_length is not None and size_bytes < req.content_length
        ):
            raise request.unsent_refusal(400, "Body is truncated")
        return b"".join(chunks)


def _too_large(
    request: caller_request.CallerRequest, limit: int
) -> errors.RequestRefused:
    return request.unsent_refusal(
        413, "Body is too large", detail=f"The limit is {limit} bytes."
    )


def _build_request(
    req: falcon.asgi.Request, headers: list[tuple[str, str]]
) -> caller_request.CallerRequest:
    return caller_request.CallerRequest(
        method=req.method,
        path=_raw_path(req),
        query=req.scope.get("query_string", b"").decode("latin-1"),
        headers=_forwarded_headers(headers, _FLEET_REQUEST_HEADERS),
        request_id=_first_value(headers, "request-id") or "",
    )


def _check_path(request: caller_request.CallerRequest) -> None:
    """Rejects paths that a target may resolve to another route's path.

    Raises:
        RequestRefused: The decoded path has a segment ``.`` or ``..``.
    """
    segments = urllib.parse.unquote(request.path).split("/")
    if "." in segments or ".." in segments:
        raise request.unsent_refusal(400, "Path has dot segments")


def _read_headers(
    request: caller_request.CallerRequest, headers: list[tuple[str, str]]
) -> None:
    """Sets the fields of a request from the fleet's headers.

    Raises:
        RequestRefused: A header is malformed or repeated.
    """
    key = _first_value(headers, "idempotency-key")
    # The IETF draft defines the header as a structured-field string, which
    # is quoted.
    if key and len(key) > 1 and key[0] == key[-1] == '"':
        key = key[1:-1]
    request.key = key or ""
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        raise request.unsent_refusal(400, "Idempotency-Key is malformed")
    if _count(headers, "idempotency-key") > 1:
        raise request.unsent_refusal(400, "Idempotency-Key is repeated")
    request.account = _first_value(headers, "caller-account") or ""
    request.deadline_ms = _read_number(request, headers, "request-deadline-ms")
    attempt = _read_number(request, headers, "request-attempt")
    request.attempt = attempt or caller_request.UNKNOWN_ATTEMPT


def _read_number(
    request: caller_request.CallerRequest,
    headers: list[tuple[str, str]],
    name: str,
) -> int | None:
    text = _first_value(headers, name)
    if text is None:
        return None
    if text.isascii() and text.isdigit() and 0 < int(text) <= _MAX_NUMBER:
        return int(text)
    raise request.unsent_refusal(400, f"{name.title()} is malformed")


def _decode_headers(
    headers: typing.Iterable[tuple[bytes, bytes]],
) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in headers
    ]


def _first_value(headers: list[tuple[str, str]], name: str) -> str | None:
    return next((value for key, value in headers if key == name), None)


def _count(headers: list[tuple[str, str]], name: str) -> int:
    return sum(key == name for key, _ in headers)


def _forwarded_headers(
    headers: typing.Iterable[tuple[str, str]], dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Returns the headers that a proxy forwards.

    Hop-by-hop headers are left out, also those named by Connection.

    Args:
        headers: Header names and values.
        dropped: Lower-case names of other headers to leave out.
    """
    lowered = [(key.lower(), key, value) for key, value in headers]
    named = {
        name.strip().lower()
        for lower, _, value in lowered
        if lower == "connection"
        for name in value.split(",")
    }
    return [
        (key, value)
        for lower, key, value in lowered
        if lower not in _HOP_BY_HOP
        and lower not in dropped
        and lower not in named
    ]


def _raw_path(req: falcon.asgi.Request) -> str:
    raw = req.scope.get("raw_path") or req.scope["path"].encode()
    return raw.partition(b"?")[0].decode("latin-1")


def _write(
    resp: falcon.asgi.Response, answer: caller_request.CallerAnswer
) -> None:
    resp.status = falcon.code_to_http_status(answer.status)
    resp.data = answer.body
    # Otherwise falcon sets its default content type.
    resp.content_type = None
    for name, value in _forwarded_headers(
        answer.headers, _FLEET_ANSWER_HEADERS
    ):
        value = _encodable(name, value)
        if name.lower() == "content-type":
            resp.content_type = value
        else:
            resp.append_header(name, value)
    resp.set_header("request-id", answer.request_id)
    resp.set_header("request-verdict", answer.verdict.value)


def _encodable(name: str, value: str) -> str:
    """Returns a header value with characters that falcon can encode.

    An unencodable character must not lose the answer to a request that ran.
    """
    encoding = "ascii" if name.lower() == "set-cookie" else "latin-1"
    return value.encode(encoding, "replace").decode(encoding)
