"""Program of an entry, which serves callers."""

from __future__ import annotations

import pathlib
import typing

import typer

from fuchsiacourse import burn_sender
from fuchsiacourse import entry_app
from fuchsiacourse import entry_service
from fuchsiacourse import http_server
from fuchsiacourse import members
from fuchsiacourse import node_program
from fuchsiacourse import settings

app = typer.Typer(add_completion=False)


class EntryProgram(node_program.NodeProgram[settings.EntrySettings]):
    """Entry process: serves callers and relays, and holds a ledger.

    Args:
        options: Checked settings.
    """

    def __init__(self, options: settings.EntrySettings) -> None:
        super().__init__(settings=options, role=members.ENTRY)
        self.service = entry_service.EntryService(
            settings=options,
            clock=self.clock,
            timers=self.timers,
            rng=self.rng,
            members=self.node.members,
            config=self.node.config,
            peers=self.peers,
            store=self.store,
            invariants=self.node.invariants,
            log=self.log,
            metrics=self.metrics,
        )
        self._burn_sender = burn_sender.BurnSender(
            counters=self.service.burn,
            members=self.node.members,
            peers=self.peers,
            timers=self.timers,
            log=self.log,
        )
        self.rpc_server.add_entry(
            relay=self.service.relay, hand_over=self.service.hand_over
        )
        self._http_server = http_server.HttpServer(
            asgi_app=entry_app.EntryApp(
                service=self.service, settings=options
            ),
            address=options.http_address,
            log=self.log,
        )

    def _refresh_metrics(self) -> None:
        super()._refresh_metrics()
        self.service.refresh_metrics()

    async def start_service(self) -> None:
        """Opens the caller port and starts the reports of error budgets."""
        await self._http_server.start()
        self._burn_sender.start()

    async def drain_service(self) -> None:
        """Drains requests, hands the ledger over and sends a last report."""
        await self.service.drain()
        await self._burn_sender.send()

    async def stop_service(self) -> None:
        """Closes the caller port."""
        await self._http_server.stop()


@app.command()
def main(
    settings_path: typing.Annotated[
        pathlib.Path,
        typer.Option("--settings", help="JSON settings of this entry."),
    ],
) -> None:
    """Serves callers: the address list and the routes of all services.

    Runs until SIGTERM or SIGINT, then stops gracefully. Exits with 2 if the
    settings are wrong.
    """
    node_program.run(settings_path, settings.EntrySettings, EntryProgram)


if __name__ == "__main__":
    app()
