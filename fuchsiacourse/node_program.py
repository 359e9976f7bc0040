"""Process lifecycle of entry and dispatch: startup, signals and shutdown.

Connects a node to its real adapters: UDP, gRPC, HTTP and the system clock.
"""

from __future__ import annotations

import abc
import asyncio
import pathlib
import random
import signal
import sys
import typing

import typer
import uvloop

from fuchsiacourse import decision_log
from fuchsiacourse import errors
from fuchsiacourse import grpc_peers
from fuchsiacourse import grpc_server
from fuchsiacourse import http_server
from fuchsiacourse import http_store
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import metrics as metric_tables
from fuchsiacourse import node as nodes
from fuchsiacourse import settings as settings_files
from fuchsiacourse import status_app
from fuchsiacourse import system_clock
from fuchsiacourse import timers as timer_services
from fuchsiacourse import udp_endpoint

EXIT_BAD_INPUT = 2
# Seconds between the announcement of LEFT and the closing of the gossip
# socket, so that the last packets are sent.
GOSSIP_FLUSH_S = 0.3

Settings = typing.TypeVar("Settings", bound=settings_files.NodeSettings)


class NodeProgram(abc.ABC, typing.Generic[Settings]):
    """Base class of the programs entry and dispatch.

    Owns the adapters and the node, serves the status port and runs the
    startup and the graceful shutdown. Subclasses add the service.

    Args:
        settings: Validated settings.
        role: ``entry`` or ``dispatch``.
    """

    def __init__(self, *, settings: Settings, role: str) -> None:
        self.settings = settings
        self.clock = system_clock.SystemClock()
        self.rng = random.Random()
        self.metrics = metric_tables.Metrics(program=role)
        self.log = logs.configure(
            program=role,
            host=settings.host,
            processor=decision_log.DecisionLog(
                metrics=self.metrics, clock=self.clock
            ),
        )
        self.timers = timer_services.Timers(
            clock=self.clock, rng=self.rng, on_error=self._on_timer_error
        )
        self.store = http_store.HttpStore(
            url=settings.platform.url, timeout_s=settings.platform.timeout_s
        )
        self.peers = grpc_peers.GrpcPeers()
        self.rpc_server = grpc_server.GrpcServer(address=settings.rpc_address)
        self._datagram = udp_endpoint.UdpEndpoint(
            address=settings.gossip_address
        )
        self.node = nodes.Node(
            settings=settings,
            role=role,
            clock=self.clock,
            timers=self.timers,
            rng=self.rng,
            datagram=self._datagram,
            store=self.store,
            peers=self.peers,
            log=self.log,
            metrics=self.metrics,
        )
        self.node.members.subscribe(self._forget_departed_peer)
        self.rpc_server.add_config(fetch=self.node.config_agent.fetch)
        self._status_server = http_server.HttpServer(
            asgi_app=status_app.create(
                metrics=self.metrics,
                ready=lambda: self.node.is_ready,
                refresh=self._refresh_metrics,
            ),
            address=settings.status_address,
            log=self.log,
        )
        self._signals = 0
        self._stop_requested = asyncio.Event()
        self._abort_requested = asyncio.Event()

    @abc.abstractmethod
    async def start_service(self) -> None:
        """Starts the service of the program."""

    @abc.abstractmethod
    async def drain_service(self) -> None:
        """Finishes the requests in flight."""

    @abc.abstractmethod
    async def stop_service(self) -> None:
        """Releases the resources that start_service opened."""

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully.

        Raises:
            SettingsError: An address of the settings can't be bound.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        await self._start()
        await self._stop_requested.wait()
        logs.event(self.log, "stop_started")
        await self._drain()
        await self._close()
        logs.event(self.log, "stopped")

    async def _start(self) -> None:
        try:
            await self._datagram.open()
            await self.rpc_server.start()
        except OSError as error:
            raise errors.SettingsError(
                f"can't listen on {self.settings.gossip_address} and"
                f" {self.settings.rpc_address}: {error}"
            ) from error
        await self._status_server.start()
        await self.start_service()
        self.node.start()
        logs.event(
            self.log,
            "started",
            member=self.node.members.self.id,
            availability_zone=self.settings.availability_zone,
        )

    async def _drain(self) -> None:
        drain = asyncio.ensure_future(self.drain_service())
        abort = asyncio.ensure_future(self._abort_requested.wait())
        await asyncio.wait((drain, abort), return_when="FIRST_COMPLETED")
        abort.cancel()
        if not drain.done():
            drain.cancel()
            logs.warning(self.log, "drain_aborted", reason="second signal")
            return
        drain.result()

    async def _close(self) -> None:
        own = self.node.members.self
        if own.state is not member_rows.State.LEFT:
            self.node.set_state(member_rows.State.LEFT)
        await asyncio.sleep(GOSSIP_FLUSH_S)
        await self.stop_service()
        self.node.close()
        self.timers.close()
        await self.rpc_server.stop()
        self.peers.close()
        await self.store.close()
        await self._status_server.stop()
        self._datagram.close()

    def _on_signal(self) -> None:
        self._signals += 1
        self._stop_requested.set()
        if self._signals > 1 and self.settings.second_signal == "stop":
            self._abort_requested.set()

    def _on_timer_error(self, error: Exception) -> None:
        self.log.error("timer_callback_failed", exc_info=error)
        self.metrics.count(
            "timer_callback_failures_total", "Timer callbacks that failed."
        )

    def _refresh_metrics(self) -> None:
        node = self.node
        self.metrics.count_invariants(node.invariants)
        self.metrics.gauge(
            "config_number",
            "Number of the configuration in force.",
            node.config.number,
        )
        for state in member_rows.State:
            count = sum(
                row.state is state for row in node.members.by_id.values()
            )
            self.metrics.gauge(
                "members", "Members by state.", count, state=state.value
            )

    def _forget_departed_peer(self, row: member_rows.Member) -> None:
        if row.is_gone:
            self.peers.forget(row.rpc_address)


def run(
    path: pathlib.Path,
    model: type[Settings],
    program: typing.Callable[[Settings], NodeProgram[Settings]],
) -> None:
    """Loads the settings and runs a program until a signal stops it.

    Args:
        path: Settings file.
        model: Settings class of the program.
        program: Creates the program; called inside the event loop.

    Raises:
        typer.Exit: With EXIT_BAD_INPUT if the settings are wrong or an
            address can't be bound; the reason goes to stderr.
    """

    async def main(checked: Settings) -> None:
        await program(checked).run()

    try:
        uvloop.run(main(settings_files.load(path, model)))
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_BAD_INPUT) from error
