"""Callers of the fault soak that use a front until its process is gone."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from bench import fault_callers
from bench import fault_checker
from bench import fault_target
from bench import fault_testbed
from bench import fault_wire

# Time that a request waits at most, in seconds; longer than a stop lasts.
DEADLINE_S = 8.0
ANSWER_TIMEOUT_S = 12.0
# Range of the work of a request, in seconds, and share of the requests whose
# work is short.
LONG_WORK_S = (0.5, 4.0)
SHORT_WORK_S = 0.02
SHORT_SHARE = 0.7
# Range of the time for which a connection is idle between two requests, in
# seconds.
IDLE_S = (0.0, 1.5)
# Encodings of the requests, weighted.
FORMS = (
    fault_wire.Form.PLAIN,
    fault_wire.Form.PLAIN,
    fault_wire.Form.PAUSED,
    fault_wire.Form.STREAMED,
)
# Ranges of the size of a body that is sent with pauses, in bytes, by form, and
# range of the time that sending takes, in seconds. Fronts stream a body that
# is longer than LONG_BODY_BYTES while it arrives.
BODY_BYTES = {
    fault_wire.Form.PAUSED: ((100, 20_000), (300_000, 500_000)),
    fault_wire.Form.STREAMED: ((300_000, 600_000),),
}
LONG_BODY_BYTES = 262_144
SENDING_S = (0.2, 4.0)
# Share of the requests whose answer is long and arrives in parts, range of the
# time that it takes, and share of the answers that are read slowly.
STREAM_SHARE = 0.1
STREAM_S = (0.3, 3.0)
SLOW_READ_SHARE = 0.1
# Pause of a slow reader between two reads, in seconds, and size of the
# connections' receive buffers, in bytes.
READ_PAUSE_S = 0.02
RECEIVE_BYTES = 16_384
# Share of the callers that send on when they have an early answer.
SEND_ON_SHARE = 0.5
# Pause after a failure to connect, in seconds.
RECONNECT_S = 0.1


class LateCallers(fault_callers.FaultCallers):
    """Callers that each stay with one front, also while it shuts down.

    They open connections as long as the front accepts them, use idle ones
    whenever they like, and some of their work outlasts a stop. Some send
    their bodies, or read their answers, for seconds.
    """

    def start(self) -> None:
        """Starts the callers, the same number for each front."""
        self._tasks = [
            asyncio.ensure_future(self._stay_with(front))
            for front in self._testbed.fronts
            for _ in range(self._count)
        ]

    async def _stay_with(self, front: fault_testbed.FaultFront) -> None:
        while not self.is_stopped:
            connection = await self._connect(front)
            if connection is None:
                await asyncio.sleep(RECONNECT_S)
                continue
            reader, writer = connection
            try:
                await self._use(front, reader, writer)
            finally:
                writer.close()

    async def _connect(
        self, front: fault_testbed.FaultFront
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Returns a connection that takes few bytes, None if refused."""
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
        )
        address = front.ip, fault_testbed.FRONT_PORT
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(connection, address),
                fault_callers.CONNECT_TIMEOUT_S,
            )
        except (OSError, TimeoutError):
            connection.close()
            return None
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=RECEIVE_BYTES
        )
        writer.transport.set_write_buffer_limits(high=0)
        return reader, writer

    async def _exchange(
        self,
        call: fault_callers.Call,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_written: bool,
    ) -> bool:
        """Sends a request, and reads its answer meanwhile."""
        sender = asyncio.ensure_future(self._send(call, writer))
        try:
            status, fields = await fault_wire.read_answer_head(reader)
            is_early = not sender.done()
            await self._finish(call, status, fields, reader)
            if is_early:
                self._testbed.checker.checked[f"early answer {status}"] += 1
                if self._rng.random() > SEND_ON_SHARE:
                    return False
                with contextlib.suppress(OSError):
                    await sender
        finally:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)
        return fields.get("connection", "").lower() != "close"

    async def _send(
        self, call: fault_callers.Call, writer: asyncio.StreamWriter
    ) -> None:
        for number, piece in enumerate(call.pieces):
            if number:
                await asyncio.sleep(call.pause_s)
                # An answer that is there already is read first, because a
                # failed write would discard it.
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            writer.write(piece)
            await writer.drain()
        call.sent.whole_s = self._testbed.clock.now()

    async def _use(
        self,
        front: fault_testbed.FaultFront,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        keeps_alive = True
        while keeps_alive and not self.is_stopped:
            await asyncio.sleep(self._rng.uniform(*IDLE_S))
            if reader.at_eof():
                return
            call = self._late_call(front)
            self._testbed.checker.record_request(call.id, call.sent)
            keeps_alive = await self._exchange_all(
                [call], reader, writer, ANSWER_TIMEOUT_S
            )

    def _late_call(
        self, front: fault_testbed.FaultFront
    ) -> fault_callers.Call:
        route = self._rng.choice(list(fault_testbed.LONG_ROUTES))
        form = self._rng.choice(FORMS)
        now_s = self._testbed.clock.now()
        limits = self._testbed.lowest_limits_since(
            now_s - fault_callers.CONFIG_IN_FORCE_S
        )
        body = self._body(form, limits["max_body_bytes"])
        # Choosing the id hashes the body some dozen times.
        is_streamed = (
            len(body) <= LONG_BODY_BYTES and self._rng.random() < STREAM_SHARE
        )
        id = self._id_of_answer(body, is_long=is_streamed)
        path = f"/{route}/{id}/{self._work(is_streamed)}"
        kind = form.value
        if form is fault_wire.Form.PAUSED and len(body) > LONG_BODY_BYTES:
            kind = f"{fault_wire.Form.STREAMED.value} {kind}"
        self._testbed.checker.checked[f"late caller {kind}"] += 1
        pieces = fault_wire.pieces_of(
            form,
            path=path,
            host=fault_testbed.HOST,
            fields={
                "X-Fuchsiacourse-Request-Id": id,
                "X-Fuchsiacourse-Request-Deadline": str(
                    int(DEADLINE_S * 1000)
                ),
            },
            body=body,
            max_head_bytes=limits["max_header_bytes"],
        )
        is_slow = self._rng.random() < SLOW_READ_SHARE
        return fault_callers.Call(
            id=id,
            sent=fault_checker.SentRequest(
                front=front.ip,
                path=path,
                body=body,
                is_safe=route.startswith("safe"),
                at_s=now_s,
                form=f"{kind}, read slowly" if is_slow else kind,
                time_s=DEADLINE_S,
            ),
            body=body,
            form=form,
            pieces=pieces,
            limits=limits,
            pause_s=self._rng.uniform(*SENDING_S) / len(pieces),
            read_pause_s=READ_PAUSE_S if is_slow else 0.0,
        )

    def _body(self, form: fault_wire.Form, max_bytes: int) -> bytes:
        if form not in BODY_BYTES:
            return b""
        count = self._rng.randint(*self._rng.choice(BODY_BYTES[form]))
        return self._rng.randbytes(min(count, max_bytes))

    def _id_of_answer(self, body: bytes, *, is_long: bool) -> str:
        """Returns an id, one whose answer is long if that is asked for."""
        id = self._next_id()
        while is_long and not fault_target.is_long(id, body):
            id = self._next_id()
        return id

    def _work(self, is_streamed: bool) -> str:
        """Returns the end of a path that states the work."""
        if is_streamed:
            return f"stream/{int(self._rng.uniform(*STREAM_S) * 1000)}"
        work_s = SHORT_WORK_S
        if self._rng.random() > SHORT_SHARE:
            work_s = self._rng.uniform(*LONG_WORK_S)
        return f"work/{int(work_s * 1000)}"
