"""Program that simulates the object API of the platform."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import typing

import typer

from fuchsiacourse import errors
from fuchsiacourse import http_server
from fuchsiacourse import logs
from fuchsiacourse import platform_app
from fuchsiacourse import platform_model
from fuchsiacourse import settings
from fuchsiacourse import store
from fuchsiacourse import system_clock

EXIT_BAD_INPUT = 2
# Seconds that a shutdown waits for open watches before it closes them;
# clients open them again.
_DRAIN_TIMEOUT_S = 1

app = typer.Typer(add_completion=False)


class PlatformStub:
    """HTTP server with a platform model.

    Args:
        options: Address, rate limits and hosts.
        log: Logger.
    """

    def __init__(
        self, *, options: settings.PlatformStubSettings, log: typing.Any
    ) -> None:
        clock = system_clock.SystemClock()
        self.model = platform_model.PlatformModel(
            clock=clock,
            writes_per_s=options.writes_per_s,
            reads_per_s=options.reads_per_s,
            host_lag_s=options.host_lag_s,
        )
        self._options = options
        self._app = platform_app.PlatformApp(model=self.model, clock=clock)
        self._server = http_server.HttpServer(
            asgi_app=self._app.asgi,
            address=options.http_address,
            log=log,
            drain_timeout_s=_DRAIN_TIMEOUT_S,
        )

    async def start(self) -> None:
        """Adds the hosts of the settings and starts the server.

        Raises:
            SettingsError: The address can't be bound.
        """
        for item in self._options.hosts:
            self.model.set_host(
                store.HostRecord(**item.model_dump()), lag_s=0.0
            )
        await self._server.start()

    async def stop(self) -> None:
        """Releases withheld replies and stops the server."""
        self._app.close()
        await self._server.stop()


@app.command()
def main(
    settings_path: typing.Annotated[
        pathlib.Path,
        typer.Option("--settings", help="Settings file of the stub."),
    ],
) -> None:
    """Serves the object API from memory until SIGTERM or SIGINT."""
    try:
        options = settings.load(settings_path, settings.PlatformStubSettings)
        asyncio.run(_serve(options))
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_BAD_INPUT) from error


async def _serve(options: settings.PlatformStubSettings) -> None:
    log = logs.configure(program="platform-stub", host=options.http_address)
    stub = PlatformStub(options=options, log=log)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stub.start()
    await stopping.wait()
    await stub.stop()


if __name__ == "__main__":
    app()
