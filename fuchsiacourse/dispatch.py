"""The dispatch program: owns shards and sends requests to targets."""

from __future__ import annotations

import pathlib
import typing

import typer

from fuchsiacourse import aiohttp_target_client
from fuchsiacourse import burn_collector
from fuchsiacourse import dispatch_service
from fuchsiacourse import member
from fuchsiacourse import members
from fuchsiacourse import node_program
from fuchsiacourse import settings

# Seconds for which a drained process goes on answering RPCs. Gossip of its
# state reaches every member within this time.
LINGER_S = 2.0

app = typer.Typer(add_completion=False)


class DispatchProgram(node_program.NodeProgram[settings.DispatchSettings]):
    """Dispatch process with its shards and connections to targets.

    Args:
        options: Validated settings.
    """

    def __init__(self, options: settings.DispatchSettings) -> None:
        super().__init__(settings=options, role=members.DISPATCH)
        self._target_client = aiohttp_target_client.AiohttpTargetClient(
            clock=self.clock
        )
        self.service = dispatch_service.DispatchService(
            settings=options,
            clock=self.clock,
            timers=self.timers,
            rng=self.rng,
            members=self.node.members,
            config=self.node.config,
            target_client=self._target_client,
            store=self.store,
            invariants=self.node.invariants,
            log=self.log,
            metrics=self.metrics,
        )
        self._burn_collector = burn_collector.BurnCollector(
            clock=self.clock,
            timers=self.timers,
            members=self.node.members,
            store=self.store,
            log=self.log,
        )
        self.rpc_server.add_burn(report=self._burn_collector.report)
        self.rpc_server.add_dispatch(
            execute=self.service.execute, withdraw=self.service.withdraw
        )

    async def start_service(self) -> None:
        """Starts the timers of the shards and the burn collector."""
        self.service.start()
        self._burn_collector.start()

    async def drain_service(self) -> None:
        """Drains the shards and flushes the burn counters.

        Queued requests are refused; those in flight at targets finish.
        """
        self.node.set_state(member.State.LEAVING)
        await self.service.drain()
        await self._burn_collector.flush()
        # Entries that have not learned of the shutdown yet get a refusal
        # that says the request has not run. A closed connection would leave
        # that unknown.
        await self.clock.sleep(LINGER_S)

    async def stop_service(self) -> None:
        """Closes the connections to targets."""
        await self._target_client.close()


@app.command()
def main(
    settings_path: typing.Annotated[
        pathlib.Path,
        typer.Option("--settings", help="JSON settings of this dispatch."),
    ],
) -> None:
    """Owns shards of services and sends their requests to targets.

    Runs until SIGTERM or SIGINT, then stops gracefully. Exits with 2 if the
    settings are wrong.
    """
    node_program.run(settings_path, settings.DispatchSettings, DispatchProgram)


if __name__ == "__main__":
    app()
