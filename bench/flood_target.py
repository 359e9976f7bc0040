"""Stand-in target that answers without end, as a program.

python -m bench.flood_target --form FORM --address IP:PORT --seconds S
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import typing

import typer

from bench import fault_wire
from bench import flood_form
from bench import flood_source

_ID_FIELD = "x-fuchsiacourse-request-id"


class FloodTarget:
    """Answers each request without end; reads an upload and never answers.

    Args:
        form: Form of the answers or of the uploads.
        source: Sends the answers and bounds them.
    """

    def __init__(
        self, *, form: flood_form.Form, source: flood_source.FloodSource
    ) -> None:
        self.read_bytes = 0
        self._form = form
        self._source = source
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, ip: str, port: int) -> tuple[str, int]:
        """Listens on one more address.

        Args:
            ip: IP address.
            port: Port, 0 for any.

        Returns:
            The IP address and the port.
        """
        server = await asyncio.start_server(self._serve, ip, port)
        self._servers.append(server)
        return server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Closes the servers and resets the connections."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            _, fields = await fault_wire.read_head(reader)
            if self._form in flood_form.UPLOADS:
                await self._read(reader)
                return
            id = fields.get(_ID_FIELD, "")
            writer.write(flood_form.answer_begin(self._form, id))
            await self._source.send(writer)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The front has closed the connection, or the flood ends.
            pass
        finally:
            writer.transport.abort()
            self._tasks.discard(task)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while data := await reader.read(flood_form.BLOCK_BYTES):
            self.read_bytes += len(data)


async def _run(
    form: flood_form.Form, addresses: list[str], seconds: float
) -> None:
    source = flood_source.FloodSource(
        block=flood_form.block(form), seconds=seconds
    )
    target = FloodTarget(form=form, source=source)
    for address in addresses:
        ip, _, port = address.rpartition(":")
        await target.listen(ip, int(port))
    has_ended = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, has_ended.set
    )
    print("listening", flush=True)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(has_ended.wait(), source.left_s)
    await target.stop()
    print(
        json.dumps(
            {
                "connections": source.connections,
                "sent_bytes": source.sent_bytes,
                "read_bytes": target.read_bytes,
            }
        ),
        flush=True,
    )


def main(
    form: typing.Annotated[flood_form.Form, typer.Option()],
    address: typing.Annotated[list[str], typer.Option()],
    seconds: float = 5.0,
) -> None:
    """Answers without end and prints what was sent and read.

    The flood also ends with SIGTERM.

    Args:
        form: Form of the answers or of the uploads.
        address: IP addresses and ports to listen on.
        seconds: Time until the program ends.
    """
    asyncio.run(_run(form, address, seconds))


if __name__ == "__main__":
    typer.run(main)
