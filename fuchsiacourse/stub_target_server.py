"""HTTP server of a stub target, with its control and record paths."""

from __future__ import annotations

import asyncio
import json
import typing

from aiohttp import web
import pydantic

from fuchsiacourse.platform import wire_headers
from fuchsiacourse import service_file
from fuchsiacourse import stub_target

CONTROL_PATH = "/control"
RECORD_PATH = "/record"
_MAX_BODY_BYTES = 4 * 1024 * 1024
# Longest wait of the shutdown for requests in flight, in seconds.
_SHUTDOWN_S = 1.0
# Deadline of a request whose header has none, in seconds.
_NO_DEADLINE_S = 3600.0
_UNAVAILABLE = 503


class StubTargetServer:
    """Serves one stub target over HTTP.

    ``GET /control`` returns the injected faults, ``PUT /control`` replaces
    them, and ``GET /record`` returns the executions. It uses aiohttp, which
    can truncate an answer and abort a connection.

    Args:
        target: Model of the target.
    """

    def __init__(self, *, target: stub_target.StubTarget) -> None:
        self.target = target
        self._server = web.Server(
            self._handle, handler_cancellation=True, access_log=None
        )
        self._runner = web.ServerRunner(
            self._server,
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_S,
        )
        self._site: web.TCPSite | None = None
        self._restarts: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts to listen on the target's address.

        Raises:
            OSError: The address can't be bound.
        """
        await self._runner.setup()
        await self._listen()

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        for task in self._restarts:
            task.cancel()
        await self._runner.cleanup()

    async def _listen(self) -> None:
        ip, _, port = self.target.target.address.rpartition(":")
        self._site = web.TCPSite(
            self._runner,
            ip,
            int(port),
            reuse_address=True,
        )
        await self._site.start()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == self.target.service.probe_path:
            return web.json_response(
                self.target.report(), headers=self._wish_headers()
            )
        if request.path == CONTROL_PATH:
            return await self._control(request)
        if request.path == RECORD_PATH:
            return self._record()
        return await self._run(request)

    async def _control(self, request: web.BaseRequest) -> web.Response:
        if request.method == "GET":
            return web.json_response(self.target.faults.model_dump())
        try:
            faults = stub_target.StubFaults.model_validate_json(
                await request.read()
            )
        except pydantic.ValidationError as error:
            return web.Response(
                status=422,
                text=service_file.describe(error, source="faults"),
            )
        self.target.set_faults(faults)
        return web.json_response(faults.model_dump())

    def _record(self) -> web.Response:
        return web.json_response(
            {
                "target": self.target.target.id,
                "incarnation": self.target.incarnation,
                "in_flight": self.target.in_flight,
                "most_in_flight": self.target.most_in_flight,
                "shed": self.target.shed,
                "runs": [run.as_json() for run in self.target.runs],
            }
        )

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.content.read(_MAX_BODY_BYTES)
        while not request.content.at_eof():
            body += await request.content.read(_MAX_BODY_BYTES)
            if len(body) > _MAX_BODY_BYTES:
                return self._answer(request, 413, {"error": "body too large"})
        kind = self.target.find_kind(request.method, request.path)
        if kind is None:
            return self._answer(request, 404, {"error": "unknown path"})
        if self.target.faults.retry_after_s is not None:
            return self._turn_away(request)
        run = self.target.try_start(
            request_id=request.headers.get("Request-Id", ""),
            kind=kind,
            body=body,
        )
        if run is None:
            status = self.target.service.shed_statuses[:1] or [503]
            return self._answer(request, status[0], {"error": "no free slot"})
        if self.target.crashes(body):
            self._crash(run)
        in_time = await self.target.execute(run, kind, _deadline_s(request))
        if not in_time:
            return self._answer(request, 504, {"error": "deadline passed"})
        return await self._finish(request, run, kind)

    def _turn_away(self, request: web.BaseRequest) -> web.Response:
        return self._answer(
            request,
            _UNAVAILABLE,
            {"error": "no requests wanted"},
            retry_after_s=self.target.faults.retry_after_s,
        )

    async def _finish(
        self,
        request: web.BaseRequest,
        run: stub_target.StubRun,
        kind: service_file.RequestKind,
    ) -> web.StreamResponse:
        target = self.target
        content = target.answer(run, kind)
        if target.draws_fault(target.faults.lost_share):
            request.transport.abort()
        if target.draws_fault(target.faults.truncated_share):
            return await self._send_truncated(request, content)
        if target.draws_fault(target.faults.error_share):
            return self._answer(request, 500, {"error": "internal"})
        if target.draws_fault(target.faults.wrong_share):
            return self._answer(
                request, 200, {"request": "another"}, request_id="another"
            )
        media_type = kind.answer_checks.content_type or "application/json"
        return self._answer(request, 200, content, media_type=media_type)

    def _answer(
        self,
        request: web.BaseRequest,
        status: int,
        content: dict[str, typing.Any],
        *,
        request_id: str | None = None,
        media_type: str = "application/json",
        retry_after_s: float | None = None,
    ) -> web.Response:
        return web.Response(
            status=status,
            body=json.dumps(content).encode(),
            headers={
                **self._headers(request, request_id),
                **self._wish_headers(retry_after_s),
                "Content-Type": media_type,
            },
        )

    def _headers(
        self, request: web.BaseRequest, request_id: str | None = None
    ) -> dict[str, str]:
        headers = {
            "Request-Id": request_id or request.headers.get("Request-Id", ""),
            "Target-Incarnation": self.target.incarnation,
        }
        if self.target.faults.draining:
            headers["Target-State"] = "draining"
        return headers

    def _wish_headers(
        self, retry_after_s: float | None = None
    ) -> dict[str, str]:
        return {
            name.decode(): value.decode()
            for name, value in wire_headers.wish_headers(
                is_leaving=self.target.faults.leaving,
                retry_after_s=retry_after_s,
            )
        }

    async def _send_truncated(
        self, request: web.BaseRequest, content: dict[str, typing.Any]
    ) -> web.StreamResponse:
        body = json.dumps(content).encode()
        response = web.StreamResponse(
            headers={
                **self._headers(request),
                **self._wish_headers(),
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            }
        )
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        request.transport.close()
        return response

    def _crash(self, run: stub_target.StubRun) -> None:
        """Aborts all connections and schedules the restart."""
        task = asyncio.ensure_future(self._restart())
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def _restart(self) -> None:
        await self._site.stop()
        await asyncio.sleep(self.target.faults.restart_s)
        self.target.restart()
        await self._listen()


def _deadline_s(request: web.BaseRequest) -> float:
    text = request.headers.get("Request-Deadline-Ms", "")
    return int(text) / 1000.0 if text.isdecimal() else _NO_DEADLINE_S
