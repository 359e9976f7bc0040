"""Stand-in callers of a flooding target, or that flood, as a program.

python -m bench.flood_callers --form FORM --front IP:PORT --callers 5
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import os
import sys
import typing

import typer

from bench import flood_form
from bench import flood_source

# Time after which a caller that leaves closes its connection, pause before
# the next connection, and longest wait for one, in seconds.
LEAVE_S = 0.5
PAUSE_S = 0.05
CONNECT_S = 1.0


class Role(enum.Enum):
    """What a caller does while an answer or its upload goes on."""

    READS = "reads"
    IGNORES = "doesn't read"
    LEAVES = "leaves"


class FloodCallers:
    """Callers that connect again until the flood ends.

    Args:
        form: Form of the uploads, or of the answers to short requests.
        source: Sends the uploads and bounds them.
        host: Host of the routes.
        routes: Path prefixes; the callers use them in turn.
    """

    def __init__(
        self,
        *,
        form: flood_form.Form,
        source: flood_source.FloodSource,
        host: str,
        routes: list[str],
    ) -> None:
        self.read_bytes = 0
        # Requests sent, and connections that could not be opened in time.
        self.requests = 0
        self.refused = 0
        self._form = form
        self._source = source
        self._host = host
        self._routes = routes

    async def run(self, fronts: list[tuple[str, int]], callers: int) -> None:
        """Runs the callers of all fronts until the flood ends.

        Args:
            fronts: IP address and port of each front.
            callers: Number of callers a front.
        """
        await asyncio.gather(
            *(
                self._run_caller(front, number)
                for front in fronts
                for number in range(callers)
            )
        )

    async def _run_caller(self, front: tuple[str, int], number: int) -> None:
        role = list(Role)[number % len(Role)]
        route = self._routes[number // len(Role) % len(self._routes)]
        while not self._source.has_ended:
            with contextlib.suppress(OSError, TimeoutError):
                await self._use_connection(front, role, route)
            await asyncio.sleep(PAUSE_S)

    async def _use_connection(
        self, front: tuple[str, int], role: Role, route: str
    ) -> None:
        try:
            async with asyncio.timeout(min(CONNECT_S, self._source.left_s)):
                reader, writer = await asyncio.open_connection(*front)
        except (OSError, TimeoutError):
            self.refused += 1
            return
        self.requests += 1
        id = f"{os.getpid():x}-{self.requests:x}"
        writer.write(
            flood_form.request_begin(
                self._form, host=self._host, path=f"{route}{id}", id=id
            )
        )
        sending = None
        if self._form in flood_form.UPLOADS:
            sending = asyncio.ensure_future(self._source.send(writer))
        try:
            await self._stay(reader, role, sending)
        finally:
            if sending is not None:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)
            writer.transport.abort()

    async def _stay(
        self,
        reader: asyncio.StreamReader,
        role: Role,
        sending: asyncio.Future[None] | None,
    ) -> None:
        if role is Role.LEAVES:
            await asyncio.sleep(min(LEAVE_S, self._source.left_s))
        elif role is Role.READS:
            async with asyncio.timeout(self._source.left_s):
                await self._read(reader)
        elif sending is not None:
            await sending
        else:
            await asyncio.sleep(self._source.left_s)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while data := await reader.read(flood_form.BLOCK_BYTES):
            self.read_bytes += len(data)


async def _run(
    form: flood_form.Form,
    fronts: list[tuple[str, int]],
    host: str,
    routes: list[str],
    callers: int,
    seconds: float,
) -> None:
    print("ready", flush=True)
    # The flood begins with a line on stdin, after the start of the program.
    sys.stdin.readline()
    source = flood_source.FloodSource(
        block=flood_form.block(form), seconds=seconds
    )
    flood = FloodCallers(form=form, source=source, host=host, routes=routes)
    await flood.run(fronts, callers)
    print(
        json.dumps(
            {
                "requests": flood.requests,
                "refused": flood.refused,
                "sent_bytes": source.sent_bytes,
                "read_bytes": flood.read_bytes,
            }
        ),
        flush=True,
    )


def main(
    form: typing.Annotated[flood_form.Form, typer.Option()],
    front: typing.Annotated[list[str], typer.Option()],
    host: typing.Annotated[str, typer.Option()],
    route: typing.Annotated[list[str], typer.Option()],
    callers: int = 5,
    seconds: float = 5.0,
) -> None:
    """Calls fronts until the flood ends and prints what was sent and read.

    The flood begins with a line on stdin.

    Args:
        form: Form of the uploads or of the answers.
        front: IP address and port of each front.
        host: Host of the routes.
        route: Path prefixes, used by the callers in turn.
        callers: Number of callers a front.
        seconds: Time until the program ends.
    """
    fronts = [
        (ip, int(port))
        for ip, _, port in (item.rpartition(":") for item in front)
    ]
    asyncio.run(_run(form, fronts, host, route, callers, seconds))


if __name__ == "__main__":
    typer.run(main)
