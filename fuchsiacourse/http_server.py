"""HTTP server that runs in the process's event loop."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import uvicorn

from fuchsiacourse import errors
from fuchsiacourse import logs

# Seconds after which an idle connection is closed.
KEEP_ALIVE_S = 75
# Default of the longest wait for requests in flight, in seconds.
DRAIN_TIMEOUT_S = 30
# Seconds between checks of whether uvicorn accepts connections.
_START_POLL_S = 0.01
# Seconds between renewals of the Date header. uvicorn's own main loop wakes
# ten times a second, because it also polls for the shutdown.
_HEADERS_INTERVAL_S = 1.0


class _Server(uvicorn.Server):
    """uvicorn server without signal handlers and without polling."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit_requested = asyncio.Event()

    def request_exit(self) -> None:
        """Wakes and ends the main loop."""
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        """Renews the default headers until an exit is requested."""
        # on_tick renews the headers only at multiples of ten.
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_HEADERS_INTERVAL_S):
                    await self._exit_requested.wait()

    def capture_signals(self) -> typing.Any:
        return contextlib.nullcontext()


class HttpServer:
    """Serves an ASGI application with uvicorn in this process.

    Args:
        asgi_app: Application to serve.
        address: Address to listen on, ``ip:port``.
        log: Logger.
        drain_timeout_s: Longest wait of the shutdown for requests in
            flight, in seconds.
    """

    def __init__(
        self,
        *,
        asgi_app: typing.Any,
        address: str,
        log: typing.Any,
        drain_timeout_s: int = DRAIN_TIMEOUT_S,
    ) -> None:
        ip, _, port = address.rpartition(":")
        self._address = address
        self._log = log
        self._task: asyncio.Task | None = None
        self._server = _Server(
            uvicorn.Config(
                asgi_app,
                host=ip,
                port=int(port),
                http="httptools",
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                server_header=False,
                proxy_headers=False,
                timeout_keep_alive=KEEP_ALIVE_S,
                timeout_graceful_shutdown=drain_timeout_s,
            )
        )

    async def start(self) -> None:
        """Starts the server and returns once it accepts connections.

        Raises:
            SettingsError: The address can't be bound.
        """
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                raise errors.SettingsError(
                    f"can't listen on {self._address}"
                ) from self._task.exception()
            await asyncio.sleep(_START_POLL_S)
        logs.event(self._log, "http_listening", address=self._address)

    async def stop(self) -> None:
        """Closes the listener and finishes the requests in flight."""
        if self._task is None:
            return
        self._server.request_exit()
        await self._task
        logs.event(self._log, "http_stopped", address=self._address)

    async def _serve(self) -> None:
        # uvicorn calls sys.exit if it can't bind the address.
        try:
            await self._server.serve()
        except SystemExit as error:
            raise errors.SettingsError(
                f"can't listen on {self._address}"
            ) from error
