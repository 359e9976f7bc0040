"""Faulty target of the fault soak, over HTTP on loopback."""

from __future__ import annotations

import asyncio
import enum
import hashlib
import json
import random

from bench import fault_checker
from bench import fault_limits
from bench import fault_proxy
from bench import fault_wire
from bench import fault_wishes
from fuchsiacourse import clock as clocks

# Time from a request to its answer, usual and in mode SLOW, in seconds.
WORK_S = 0.05
SLOW_S = 1.5
# Digests in a body; fronts stream a long body while it arrives.
SHORT_BODY_DIGESTS = 3
LONG_BODY_DIGESTS = 20_000
# Number of answers in 256 that have a long body.
LONG_BODIES_OF_256 = 8
# Number of parts of an answer that a target writes slowly.
STREAM_PARTS = 10
# Size of a request body above which it is rejected before it is read.
LONG_BODY_BYTES = 100_000
REJECTIONS = (301, 400, 403, 404)
# Block and pause of an endless answer; the rate of 30 MB/s is one that the
# test machine's processors can sustain.
FILLER = b"X-Filler: " + b"f" * 30_000 + b"\r\n"
FILLER_PAUSE_S = 0.001
# Blocks of endless answers in tiny parts.
ONE_BYTE_CHUNKS = b"1\r\nf\r\n" * 5_000
HEADER_LINES = b"X: f\r\n" * 5_000
_PREFIX = "x-fuchsiacourse-"
_SIGNATURE = "response-signature: s"
_NOT_RUN = "not-executed: 1"
_NO_LENGTH = b"Content-Length: 0\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"


class Mode(enum.Enum):
    """Behaviour of a target."""

    HEALTHY = "well"
    FAILS = "fails"
    SLOW = "slow"
    HANGS = "hangs"
    RESETS = "resets"
    # The answer is truncated.
    CUTS = "cuts"
    DECLINES = "declines"
    # An answer to an earlier request precedes the answer.
    MIXES = "mixes"
    # Extra bytes follow the answer.
    ADDS = "adds"
    # Rejections without a signature, with or without a request id; they
    # don't prove that the target has answered.
    REJECTS = "rejects"
    REJECTS_WITHOUT_ID = "rejects without id"
    REJECTS_EARLY = "rejects long bodies unread"
    LATE_WITHOUT_ID = "late answer without id"
    ENDLESS_HEAD = "endless head"
    ENDLESS_BODY = "endless body"
    ENDLESS_CHUNKS = "endless chunks of one byte"
    ENDLESS_LINES = "endless short header lines"


# Modes in which a target rejects valid requests or answers without end.
INVALID_ANSWER_MODES = (
    Mode.REJECTS,
    Mode.REJECTS_WITHOUT_ID,
    Mode.REJECTS_EARLY,
    Mode.LATE_WITHOUT_ID,
    Mode.ENDLESS_HEAD,
    Mode.ENDLESS_BODY,
    Mode.ENDLESS_CHUNKS,
    Mode.ENDLESS_LINES,
)
# Blocks of the modes that answer without end.
_FILLERS = {
    Mode.ENDLESS_HEAD: FILLER,
    Mode.ENDLESS_BODY: FILLER,
    Mode.ENDLESS_CHUNKS: ONE_BYTE_CHUNKS,
    Mode.ENDLESS_LINES: HEADER_LINES,
}


def is_long(id: str, sent: bytes) -> bool:
    """Returns whether the answer to a request has a long body."""
    digest = hashlib.sha256(id.encode() + sent).digest()
    return digest[0] < LONG_BODIES_OF_256


def body_for(id: str, sent: bytes) -> bytes:
    """Returns the body of the answer to a request.

    Args:
        id: Request id.
        sent: Body of the request.

    Returns:
        A body derived from both; ``LONG_BODIES_OF_256`` in 256 are long.
    """
    digest = hashlib.sha256(id.encode() + sent).digest()
    return digest * (
        LONG_BODY_DIGESTS if is_long(id, sent) else SHORT_BODY_DIGESTS
    )


class FaultTarget:
    """Target with a selectable fault, behind a fault proxy.

    Args:
        id: Id in the registration.
        service: Service of the target.
        availability_zone: Zone of the target.
        ip: IP address on which the target and its proxy listen.
        checker: Records the requests that the target runs.
        clock: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        *,
        id: str,
        service: str,
        availability_zone: str,
        ip: str,
        checker: fault_checker.FaultChecker,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.id = id
        self.service = service
        self.availability_zone = availability_zone
        self.mode = Mode.HEALTHY
        # Monotonic time at which the store accepted the registration as
        # draining, in seconds.
        self.draining_s: float | None = None
        # Check of the rate limit that the target states, None without one.
        self.limit: fault_limits.LimitCheck | None = None
        # Check of what the target says of itself, None if it says nothing.
        self.wish: fault_wishes.WishCheck | None = None
        self._ip = ip
        self._checker = checker
        self._rng = rng
        self._clock = clock
        self._started_ms = int(clock.wall() * 1000)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.proxy = fault_proxy.FaultProxy(ip=ip, server=(ip, 0))

    async def start(self) -> None:
        """Starts the target and its proxy."""
        self._server = await asyncio.start_server(self._serve, self._ip, 0)
        self.proxy.server = self._server.sockets[0].getsockname()[:2]
        await self.proxy.start()

    async def stop(self) -> None:
        """Stops the target and its proxy and resets the connections."""
        if self._server is not None:
            self._server.close()
        await self.proxy.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def registration(self) -> bytes:
        """Returns the registration that the target writes to the store."""
        spec = {
            "address": "%s:%d" % self.proxy.address,
            "born": self._started_ms,
            "info": {
                "service": self.service,
                "zone": self.availability_zone,
                "slots": 8,
                "version": "v1",
            },
            "status": {
                "state": "ready" if self.draining_s is None else "draining",
                "sequence": 1,
                "cold_remaining_ms": 0,
            },
        }
        return json.dumps({"spec": spec, "status": None}).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The front has closed the connection, or the target stops.
            writer.transport.abort()
        finally:
            writer.close()
            self._tasks.discard(task)

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line, fields = await fault_wire.read_head(reader)
        arrived_s = self._clock.now()
        id = fields.get(_PREFIX + "request-id", "")
        is_long = int(fields.get("content-length", 0)) > LONG_BODY_BYTES
        if self.mode is Mode.REJECTS_EARLY and is_long:
            return await self._reject_early(id, fields, reader, writer)
        body = await fault_wire.read_body(reader, fields)
        expected = fields.get(_PREFIX + "expected-instance", self.id)
        if expected != self.id:
            writer.write(_answer(421, id, b"", _NOT_RUN))
            return True
        if self.limit is not None:
            self._checker.record_limited_arrival(
                id, self.id, self.limit, arrived_s
            )
        if self.wish is not None:
            self._checker.record_wish_arrival(
                id, self.id, self.wish, arrived_s
            )
        is_held = self.wish is not None and self.wish.hold_s is not None
        is_declining = self.mode is Mode.DECLINES and self._rng.random() < 0.5
        if is_held or is_declining:
            declined = self._with_limit(id, _answer(503, id, b"", _NOT_RUN))
            writer.write(self._with_wish(id, declined))
            return True
        if self.mode in (Mode.REJECTS, Mode.REJECTS_WITHOUT_ID):
            writer.write(self._rejection(id))
            return True
        self._checker.record_run(
            id,
            service=self.service,
            path=line.split()[1],
            body=body,
            draining_s=self.draining_s,
            target=self.id,
            arrived_s=arrived_s,
        )
        try:
            return await self._run(
                id, body_for(id, body), writer, path=line.split()[1]
            )
        finally:
            self._checker.record_work_end(id, self.id)

    def _with_limit(self, id: str, answer: bytes) -> bytes:
        """Returns an answer that states the rate limit, if there is one."""
        if self.limit is None:
            return answer
        self._checker.record_limited_answer(id, self.limit)
        line, _, rest = answer.partition(b"\r\n")
        header = b"Server-Limit: %g" % self.limit.rate_per_s
        return b"\r\n".join((line, header, rest))

    def _with_wish(self, id: str, answer: bytes) -> bytes:
        """Returns an answer that states the wish, if there is one."""
        if self.wish is None:
            return answer
        self._checker.record_wish_answer(id, self.wish)
        line, _, rest = answer.partition(b"\r\n")
        return b"\r\n".join((line, self.wish.header, rest))

    def _rejection(self, id: str) -> bytes:
        status = self._rng.choice(REJECTIONS)
        if self.mode is Mode.REJECTS:
            return _answer(status, id, b"no", "")
        # Even without a request id the answer may state that the request
        # has not run.
        return _answer(status, "", b"no", self._rng.choice(("", _NOT_RUN)))

    async def _reject_early(
        self,
        id: str,
        fields: fault_wire.Fields,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(_answer(413, self._rng.choice((id, "")), b"no", ""))
        if self._rng.random() < 0.5:
            return False
        # The rest of the body must arrive before another request.
        body = await fault_wire.read_body(reader, fields)
        self._checker.record_late_body(id, body)
        return True

    async def _answer_endlessly(
        self, mode: Mode, id: str, writer: asyncio.StreamWriter
    ) -> None:
        head = _answer(200, id, b"")[: -len(b"\r\n")]
        if mode is Mode.ENDLESS_BODY:
            head = head.replace(_NO_LENGTH, b"") + b"\r\n"
        if mode is Mode.ENDLESS_CHUNKS:
            head = head.replace(_NO_LENGTH, _CHUNKED) + b"\r\n"
        filler = _FILLERS[mode]
        self._checker.record_aborted_answer(id)
        writer.write(head)
        while True:
            writer.write(filler)
            await writer.drain()
            await asyncio.sleep(FILLER_PAUSE_S)

    async def _run(
        self,
        id: str,
        body: bytes,
        writer: asyncio.StreamWriter,
        *,
        path: str,
    ) -> bool:
        mode = self.mode
        if mode is Mode.FAILS:
            failed = self._with_limit(id, _answer(500, id, b"failed"))
            writer.write(self._with_wish(id, failed))
            return True
        await asyncio.sleep(
            {Mode.SLOW: SLOW_S, Mode.HANGS: 60.0}.get(
                mode, _stated_s(path, "/work/", WORK_S)
            )
        )
        if mode in _FILLERS:
            await self._answer_endlessly(mode, id, writer)
        signed = _answer(200, id, body)
        stream_s = _stated_s(path, "/stream/", 0.0)
        if not stream_s:
            # A front may give up an answer in parts before it is told.
            signed = self._with_limit(id, signed)
        if mode is Mode.RESETS:
            writer.transport.abort()
            return False
        if mode is Mode.CUTS:
            self._checker.record_aborted_answer(id)
            writer.write(signed[: len(signed) // 2])
            return False
        if mode is Mode.MIXES:
            # A late answer to an earlier request precedes the answer.
            writer.write(_answer(200, f"{id}-old", b"other"))
        if mode is Mode.LATE_WITHOUT_ID:
            writer.write(_answer(404, "", b"other", ""))
        if not stream_s:
            signed = self._with_wish(id, signed)
        await _write_slowly(signed, writer, stream_s)
        if mode is Mode.ADDS:
            writer.write(b"more bytes")
        return True


def _stated_s(path: str, mark: str, usual_s: float) -> float:
    """Returns a time that the path of a request states, in seconds.

    Args:
        path: Path of the request; one that ends in ``/work/MS`` or
            ``/stream/MS`` states how long the work takes before the answer,
            or the answer itself, in milliseconds.
        mark: One of these marks.
        usual_s: Time of a path without the mark, in seconds.
    """
    _, found, stated_ms = path.rpartition(mark)
    return int(stated_ms) / 1000.0 if found else usual_s


async def _write_slowly(
    data: bytes, writer: asyncio.StreamWriter, length_s: float
) -> None:
    """Writes an answer in parts over some time."""
    if not length_s:
        writer.write(data)
        return
    step = max(1, len(data) // STREAM_PARTS)
    for at in range(0, len(data), step):
        if not writer.is_closing():
            writer.write(data[at : at + step])
        await asyncio.sleep(length_s / STREAM_PARTS)


def _answer(
    status: int, id: str, body: bytes, extra: str = _SIGNATURE
) -> bytes:
    """Returns the bytes of an answer.

    Args:
        status: Status of the answer.
        id: Request id, no header if empty.
        body: Body of the answer.
        extra: Further header without its prefix, none if empty.
    """
    lines = [
        f"HTTP/1.1 {status} Status",
        f"Content-Length: {len(body)}",
    ]
    if id:
        lines.append(f"{_PREFIX}request-id: {id}")
    if extra:
        lines.append(_PREFIX + extra)
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
