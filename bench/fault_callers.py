"""Callers of the fault soak, with persistent connections."""

from __future__ import annotations

import asyncio
import collections
import random

from bench import fault_checker
from bench import fault_target
from bench import fault_testbed
from bench import fault_wire

# Time within which an answer must arrive, in seconds; twice the deadline that
# the requests state.
ANSWER_TIMEOUT_S = 6.0
DEADLINE_MS = 3000
# Sizes of request bodies: none, a short one, and one that fronts stream while
# it arrives.
BODY_BYTES = (0, 9, 400_000)
# Mean pause between the batches of a caller, and pause after a failure to
# connect, in seconds.
PAUSE_S = 0.08
CONNECT_TIMEOUT_S = 1.0
# Time after which all fronts use a new configuration, in seconds.
CONFIG_IN_FORCE_S = fault_checker.CONFIG_S + fault_checker.SLACK_S
# Share of the requests whose body is as long as the limit allows.
FULL_BODY_SHARE = 0.02
# Batches of requests on a connection before a new one is opened.
MAX_BATCHES_PER_CONNECTION = 60
# Share of the batches that are two pipelined requests, and share of the
# batches that are these or a request in another uncommon form.
PAIR_SHARE = 0.05
UNCOMMON_SHARE = 0.3
UNCOMMON = tuple(
    form
    for form in fault_wire.Form
    if form
    not in (
        fault_wire.Form.PLAIN,
        fault_wire.Form.UPGRADE,
        fault_wire.Form.PAUSED,
        fault_wire.Form.STREAMED,
    )
)
# Forms that may have a long body.
LONG_BODIED = (
    fault_wire.Form.PLAIN,
    fault_wire.Form.CHUNKED,
    fault_wire.Form.EXPECT,
)
# Pause between the pieces of a request in seconds, far below the fronts'
# timeout for a head.
PIECE_PAUSE_S = 0.005
# Time after the end of a connection until it is checked, in seconds; what the
# target and the machine did before the end is known by then.
CHECK_AFTER_S = 0.1


class Call:
    """A request and its encoding."""

    __slots__ = (
        "id",
        "sent",
        "body",
        "form",
        "pieces",
        "limits",
        "pause_s",
        "read_pause_s",
        "has_answer_begun",
    )

    def __init__(
        self,
        *,
        id: str,
        sent: fault_checker.SentRequest,
        body: bytes,
        form: fault_wire.Form,
        pieces: list[bytes],
        limits: dict[str, int],
        pause_s: float = PIECE_PAUSE_S,
        read_pause_s: float = 0.0,
    ) -> None:
        self.id = id
        self.sent = sent
        self.body = body
        self.form = form
        self.pieces = pieces
        # Limits on callers that the request keeps to.
        self.limits = limits
        # Pauses between two writes and between two reads, in seconds.
        self.pause_s = pause_s
        self.read_pause_s = read_pause_s
        self.has_answer_begun = False


class FaultCallers:
    """Sends requests to the fronts and checks the answers.

    Args:
        testbed: Fronts, targets and routes.
        count: Number of concurrent callers.
        rng: Source of randomness, apart from that of the faults.
    """

    def __init__(
        self,
        *,
        testbed: fault_testbed.FaultTestbed,
        count: int,
        rng: random.Random,
    ) -> None:
        self._testbed = testbed
        self._rng = rng
        self._count = count
        self._ids = 0
        self._tasks: list[asyncio.Task] = []
        self.is_stopped = False
        # Monotonic end in seconds and success of each request.
        self.results: list[tuple[float, bool]] = []

    def start(self) -> None:
        """Starts the callers."""
        self._tasks = [
            asyncio.ensure_future(self._run_caller())
            for _ in range(self._count)
        ]

    async def stop(self) -> None:
        """Stops the callers after their current requests."""
        self.is_stopped = True
        await asyncio.gather(*self._tasks)

    def served_share(self, since_s: float) -> float:
        """Returns the share of requests that were answered with 200.

        Args:
            since_s: Monotonic time in seconds; earlier ends are left out.
        """
        found = [
            is_served for at_s, is_served in self.results if at_s > since_s
        ]
        return sum(found) / len(found) if found else 0.0

    async def _run_caller(self) -> None:
        while not self.is_stopped:
            running = [front for front in self._testbed.fronts if front.is_up]
            if not running:
                await asyncio.sleep(PAUSE_S)
                continue
            front = self._rng.choice(running)
            connection = await self._connect(front)
            if connection is None:
                self._record_result(False)
                await asyncio.sleep(PAUSE_S)
                continue
            reader, writer = connection
            try:
                await self._use_connection(front, reader, writer)
            finally:
                writer.close()

    async def _connect(
        self, front: fault_testbed.FaultFront
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Returns a connection, None if the front accepts none.

        It has just stopped then, or not started yet.
        """
        try:
            return await asyncio.wait_for(
                asyncio.open_connection(front.ip, fault_testbed.FRONT_PORT),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, TimeoutError):
            return None

    async def _use_connection(
        self,
        front: fault_testbed.FaultFront,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_first = True
        for _ in range(MAX_BATCHES_PER_CONNECTION):
            if self.is_stopped:
                return
            batch = self._batch(front, is_first=is_first)
            is_first = False
            for call in batch:
                self._testbed.checker.record_request(call.id, call.sent)
            if not await self._exchange_all(batch, reader, writer):
                return
            await asyncio.sleep(self._rng.uniform(0.0, 2.0 * PAUSE_S))

    def _batch(
        self, front: fault_testbed.FaultFront, *, is_first: bool
    ) -> list[Call]:
        """Returns the requests to write before the next answer is read."""
        draw = self._rng.random()
        if draw < PAIR_SHARE:
            return [
                self._new_call(front, fault_wire.Form.PLAIN) for _ in range(2)
            ]
        if draw > UNCOMMON_SHARE:
            return [self._new_call(front, fault_wire.Form.PLAIN)]
        if is_first:
            # Clients offer a protocol upgrade on their first request.
            return [self._new_call(front, fault_wire.Form.UPGRADE)]
        return [self._new_call(front, self._rng.choice(UNCOMMON))]

    def _new_call(
        self, front: fault_testbed.FaultFront, form: fault_wire.Form
    ) -> Call:
        id = self._next_id()
        route = self._rng.choice(list(self._testbed.service_by_route))
        sizes = BODY_BYTES if form in LONG_BODIED else BODY_BYTES[:2]
        now_s = self._testbed.clock.now()
        limits = self._testbed.lowest_limits_since(now_s - CONFIG_IN_FORCE_S)
        count = self._rng.choice(sizes)
        if form in LONG_BODIED and self._rng.random() < FULL_BODY_SHARE:
            count = limits["max_body_bytes"]
        body = self._rng.randbytes(count)
        max_head_bytes = limits["max_header_bytes"]
        path = fault_wire.path_of(form, f"/{route}/{id}", max_head_bytes)
        sent = fault_checker.SentRequest(
            front=front.ip,
            path=path,
            body=body,
            is_safe=route.startswith("safe"),
            at_s=now_s,
            form=form.value,
            time_s=min(DEADLINE_MS, fault_testbed.TIMEOUT_MS) / 1000.0,
        )
        pieces = fault_wire.pieces_of(
            form,
            path=path,
            host=fault_testbed.HOST,
            fields={
                "X-Fuchsiacourse-Request-Id": id,
                "X-Fuchsiacourse-Request-Deadline": str(DEADLINE_MS),
            },
            body=body,
            max_head_bytes=max_head_bytes,
        )
        self._testbed.checker.checked[f"form {form.value}"] += 1
        return Call(
            id=id,
            sent=sent,
            body=body,
            form=form,
            pieces=pieces,
            limits=limits,
        )

    async def _exchange_all(
        self,
        batch: list[Call],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> bool:
        """Sends a batch and reads its answers.

        Returns:
            Whether the connection can be reused.
        """
        left = collections.deque(batch)
        try:
            if len(batch) > 1:
                writer.write(b"".join(call.pieces[0] for call in batch))
                self._record_whole(batch, writer)
            while left:
                is_written = len(batch) > 1
                keeps_alive = await asyncio.wait_for(
                    self._exchange(left[0], reader, writer, is_written),
                    timeout_s,
                )
                left.popleft()
                if not keeps_alive:
                    break
        except TimeoutError:
            self._testbed.checker.record_timeout(left.popleft().id)
            self._record_result(False)
            return False
        except (asyncio.IncompleteReadError, OSError):
            keeps_alive = False
        ended_s = self._testbed.clock.now()
        if left:
            await asyncio.sleep(CHECK_AFTER_S)
        for call in left:
            self._testbed.checker.record_lost_connection(
                call.id,
                ended_s=ended_s,
                has_answer_begun=call.has_answer_begun,
            )
            self._record_result(False)
        return keeps_alive

    async def _exchange(
        self,
        call: Call,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_written: bool,
    ) -> bool:
        to_write = collections.deque([] if is_written else call.pieces)
        if call.form is fault_wire.Form.EXPECT:
            writer.write(to_write.popleft())
            status, fields = await fault_wire.read_answer_head(reader)
            if fault_wire.is_final(status):
                await self._finish(call, status, fields, reader)
                return False
        while to_write:
            writer.write(to_write.popleft())
            if not to_write:
                self._record_whole([call], writer)
            await asyncio.sleep(PIECE_PAUSE_S if to_write else 0.0)
        status, fields = await fault_wire.read_answer_head(reader)
        await self._finish(call, status, fields, reader)
        return fields.get("connection", "").lower() != "close"

    async def _finish(
        self,
        call: Call,
        status: int,
        fields: fault_wire.Fields,
        reader: asyncio.StreamReader,
    ) -> None:
        call.has_answer_begun = True
        got = await fault_wire.read_body(reader, fields, call.read_pause_s)
        self._testbed.checker.record_answer(
            call.id,
            status,
            is_whole=got == fault_target.body_for(call.id, call.body),
            is_signed="x-fuchsiacourse-response-signature" in fields,
            is_allowed=self._testbed.lowest_limits_since(
                call.sent.at_s - CONFIG_IN_FORCE_S
            )
            == call.limits,
        )
        route = call.sent.path.split("/")[1]
        if status == 404 and route in self._testbed.service_by_route:
            self._testbed.checker.record_missing_route(
                call.sent.front,
                call.sent.path,
                self._testbed.stored_s_by_route[route],
            )
        self._record_result(status == 200)

    def _record_whole(
        self, batch: list[Call], writer: asyncio.StreamWriter
    ) -> None:
        """Records that all bytes were sent, if the connection took them."""
        if writer.transport.get_write_buffer_size():
            return
        for call in batch:
            call.sent.whole_s = self._testbed.clock.now()

    def _next_id(self) -> str:
        self._ids += 1
        return f"{self._rng.getrandbits(32):08x}{self._ids:08x}"

    def _record_result(self, is_served: bool) -> None:
        self.results.append((self._testbed.clock.now(), is_served))
