"""Program that simulates the targets of a service."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import typing

import typer

from fuchsiacourse import errors
from fuchsiacourse import logs
from fuchsiacourse import service_file
from fuchsiacourse import stub_target
from fuchsiacourse import stub_target_server

EXIT_BAD_INPUT = 2

app = typer.Typer(add_completion=False)


@app.command()
def main(
    service_path: typing.Annotated[
        pathlib.Path, typer.Option("--service", help="Service file.")
    ],
    target_ids: typing.Annotated[
        list[str] | None,
        typer.Option("--target", help="Only this target; repeatable."),
    ] = None,
    straggler_share: typing.Annotated[
        float, typer.Option(min=0.0, max=1.0)
    ] = 0.01,
    time_scale: typing.Annotated[float, typer.Option(min=0.001)] = 1.0,
    seed: typing.Annotated[int, typer.Option()] = 1,
) -> None:
    """Serves the targets of a service until SIGTERM or SIGINT."""
    try:
        service = service_file.load(service_path)
        targets = _select_targets(service, target_ids or [])
        stubs = [
            stub_target.StubTarget(
                target=target,
                service=service,
                rng=random.Random(f"{seed}/{target.id}"),
                straggler_share=straggler_share,
                time_scale=time_scale,
            )
            for target in targets
        ]
        asyncio.run(serve(stubs))
    except (errors.FuchsiacourseError, OSError) as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_BAD_INPUT) from error


def _select_targets(
    service: service_file.ServiceFile, target_ids: list[str]
) -> list[service_file.Target]:
    for target_id in target_ids:
        if target_id not in service.targets_by_id:
            raise errors.ServiceFileError(
                f"service {service.service} has no target {target_id}"
            )
    return [
        target
        for target in service.targets
        if not target_ids or target.id in target_ids
    ]


async def serve(stubs: list[stub_target.StubTarget]) -> None:
    """Serves stub targets until SIGTERM or SIGINT.

    Raises:
        OSError: The address of a target can't be bound.
    """
    log = logs.configure(program="target-stub")
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    servers = [
        stub_target_server.StubTargetServer(target=stub) for stub in stubs
    ]
    for server in servers:
        await server.start()
    logs.event(log, "targets_listening", count=len(servers))
    await stopping.wait()
    for server in servers:
        await server.stop()


if __name__ == "__main__":
    app()
