"""Tests of sendings to targets over loopback."""

import asyncio
import socket
import struct
import typing
import unittest

from bench import front_fakes
from fuchsiacourse.front import outcome
from fuchsiacourse.front import pooled_sender
from fuchsiacourse.front import target as targets
from fuchsiacourse.platform import wire_headers
from fuchsiacourse import system_clock

Outcome = outcome.Outcome
Script = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], typing.Awaitable[None]
]


def answer(
    id: str,
    body: bytes = b"whole",
    status: str = "200 OK",
    *,
    headers: str = "",
    is_signed: bool = True,
) -> bytes:
    """Returns the bytes of a target's answer."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    if id:
        lines.append(f"X-Fuchsiacourse-Request-Id: {id}")
    if is_signed:
        lines.append("X-Fuchsiacourse-Response-Signature: s")
    return ("\r\n".join(lines) + f"\r\n{headers}\r\n").encode() + body


def refusal(id: str, status: str = "503 Busy") -> bytes:
    """Returns the bytes of an answer that a request has not run."""
    return answer(
        id,
        b"",
        status,
        headers="X-Fuchsiacourse-Not-Executed: 1\r\n",
        is_signed=False,
    )


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Returns the head of the next request."""
    return await reader.readuntil(b"\r\n\r\n")


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class PooledSenderTest(unittest.IsolatedAsyncioTestCase):
    """The outcome must say what is certain of a request."""

    async def asyncSetUp(self) -> None:
        self.sender = pooled_sender.PooledSender(
            clock=system_clock.SystemClock(),
            protocol=wire_headers.WireHeaders(),
            idle_limit=lambda service: self.idle_limit,
        )
        self.idle_limit = 2
        self.server: asyncio.Server | None = None
        self.accepted = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def asyncTearDown(self) -> None:
        self.sender.close()
        for writer in self.writers:
            writer.close()
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    async def target(self, script: Script) -> targets.Target:
        """Starts a target that serves each connection by a script."""
        self.sender.close()

        async def serve(reader, writer):
            self.accepted += 1
            self.writers.append(writer)
            try:
                await script(reader, writer)
            except (
                OSError,
                asyncio.CancelledError,
                asyncio.IncompleteReadError,
            ):
                # The sender has closed the connection, or the test is over.
                writer.close()

        self.server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = self.server.sockets[0].getsockname()
        record = front_fakes.record("t1", address=address)
        return targets.Target(record=record, now_s=0.0)

    async def send(
        self,
        target: targets.Target,
        id: str = "q1",
        *,
        is_idempotent: bool = True,
        wait_s: float = 1.0,
    ):
        now_s = asyncio.get_running_loop().time()
        return await self.sender.send(
            target,
            front_fakes.request(id=id),
            request_id=id,
            deadline_s=now_s + wait_s,
            is_idempotent=is_idempotent,
        )

    async def outcome_of(self, data: bytes, **options) -> Outcome:
        """Returns the outcome for a target that sends bytes and closes."""

        async def script(reader, writer):
            await read_request(reader)
            writer.write(data)
            await writer.drain()
            writer.close()

        return (await self.send(await self.target(script), **options)).outcome

    async def second_of(self, data: bytes, **options):
        """Returns the result on a connection that has served another."""

        async def script(reader, writer):
            await read_request(reader)
            writer.write(answer("q1"))
            await read_request(reader)
            writer.write(data)
            await reader.read()

        target = await self.target(script)
        await self.send(target, "q1", **options)
        before = self.accepted
        result = await self.send(target, "q2", **options)
        self.assertEqual(before, self.accepted)
        return result

    async def test_request_carries_target_and_time_left(self):
        heads = []

        async def script(reader, writer):
            heads.append((await read_request(reader)).decode().lower())
            writer.write(answer("q1"))

        result = await self.send(await self.target(script))
        self.assertIs(Outcome.ANSWERED, result.outcome)
        self.assertIn("expected-instance: t1\r\n", heads[0])
        self.assertIn("request-id: q1\r\n", heads[0])
        left_ms = int(heads[0].split("deadline: ")[1].split("\r")[0])
        self.assertTrue(900 < left_ms <= 1000, left_ms)
        self.assertEqual(1, heads[0].count("deadline:"))

    async def test_connection_is_used_again(self):
        async def script(reader, writer):
            for id in ("q1", "q2"):
                await read_request(reader)
                writer.write(answer(id))

        target = await self.target(script)
        await self.send(target, "q1")
        result = await self.send(target, "q2")
        self.assertIs(Outcome.ANSWERED, result.outcome)
        self.assertEqual(1, self.accepted)

    async def test_connections_above_the_limit_are_closed(self):
        async def script(reader, writer):
            await read_request(reader)
            writer.write(answer("q1"))
            await reader.read()

        self.idle_limit = 0
        target = await self.target(script)
        await self.send(target, "q1")
        await self.send(target, "q1")
        self.assertEqual(2, self.accepted)

    async def test_late_answer_to_an_earlier_request_is_dropped(self):
        async def script(reader, writer):
            await read_request(reader)
            writer.write(answer("q1", b"one"))
            await read_request(reader)
            writer.write(answer("q1", b"again") + answer("q2", b"two"))

        target = await self.target(script)
        await self.send(target, "q1")
        result = await self.send(target, "q2")
        self.assertEqual(b"two", result.answer.body)

    async def test_extra_answer_ends_the_connection(self):
        async def script(reader, writer):
            await read_request(reader)
            writer.write(answer("q1") + answer("q1", b"extra"))
            await read_request(reader)

        target = await self.target(script)
        result = await self.send(target, "q1")
        self.assertEqual(b"whole", result.answer.body)
        result = await self.send(target, "q1")
        self.assertEqual(b"whole", result.answer.body)
        self.assertEqual(2, self.accepted)

    async def test_close_without_an_answer_is_unsure(self):
        self.assertIs(Outcome.LOST, await self.outcome_of(b""))

    async def test_answer_that_is_cut_off(self):
        cut = answer("q1")[:-2]
        self.assertIs(Outcome.BAD_ANSWER, await self.outcome_of(cut))

    async def test_reset_answer_without_length_is_not_whole(self):
        async def script(reader, writer):
            await read_request(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n")
            writer.write(b"X-Fuchsiacourse-Request-Id: q1\r\n\r\npart")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        result = await self.send(await self.target(script))
        self.assertIs(Outcome.BAD_ANSWER, result.outcome)

    async def test_unsigned_success_is_not_trusted(self):
        data = answer("q1", is_signed=False)
        self.assertIs(Outcome.BAD_ANSWER, await self.outcome_of(data))

    async def test_encoded_success_is_not_the_targets_body(self):
        data = answer("q1", headers="Content-Encoding: gzip\r\n")
        self.assertIs(Outcome.BAD_ANSWER, await self.outcome_of(data))

    async def test_success_for_nobody_is_not_taken(self):
        self.assertIs(Outcome.BAD_ANSWER, await self.outcome_of(answer("")))

    async def test_sure_refusal(self):
        data = answer(
            "q1",
            status="503 Busy",
            headers="X-Fuchsiacourse-Not-Executed: 1\r\n",
            is_signed=False,
        )
        self.assertIs(Outcome.DECLINED, await self.outcome_of(data))

    async def test_unsure_refusal(self):
        data = answer("q1", status="503 Busy", is_signed=False)
        self.assertIs(Outcome.FAILED, await self.outcome_of(data))

    async def test_other_target_at_the_address(self):
        data = answer("q1", status="421 Misdirected", is_signed=False)
        self.assertIs(Outcome.MISDIRECTED, await self.outcome_of(data))

    async def test_timeout_at_the_deadline_is_no_failure(self):
        async def script(reader, writer):
            await read_request(reader)
            await asyncio.sleep(0.15)
            writer.write(answer("q1", status="504 Timeout"))

        result = await self.send(await self.target(script), wait_s=0.2)
        self.assertIs(Outcome.TIMED_OUT, result.outcome)
        self.assertIsNotNone(result.answer)

    async def test_silence_ends_with_the_deadline(self):
        async def script(reader, writer):
            await reader.read()

        result = await self.send(await self.target(script), wait_s=0.1)
        self.assertIs(Outcome.TIMED_OUT, result.outcome)

    async def test_cancelled_sending_closes_the_connection(self):
        started, closed = asyncio.Event(), asyncio.Event()

        async def script(reader, writer):
            await read_request(reader)
            started.set()
            await reader.read()
            closed.set()

        task = asyncio.ensure_future(self.send(await self.target(script)))
        await asyncio.wait_for(started.wait(), 0.9)
        task.cancel()
        await asyncio.wait_for(closed.wait(), 0.5)

    async def test_refused_connection_has_sent_nothing(self):
        async def script(reader, writer):
            writer.close()

        target = await self.target(script)
        self.server.close()
        await self.server.wait_closed()
        result = await self.send(target)
        self.assertIs(Outcome.UNREACHED, result.outcome)

    async def test_dropped_idle_connection_costs_a_safe_request_nothing(self):
        async def script(reader, writer):
            await read_request(reader)
            writer.write(answer("q1" if self.accepted == 1 else "q2"))
            await writer.drain()
            if self.accepted == 1:
                await read_request(reader)
                reset(writer)

        target = await self.target(script)
        await self.send(target, "q1")
        result = await self.send(target, "q2")
        self.assertIs(Outcome.ANSWERED, result.outcome)
        self.assertEqual(2, self.accepted)

    async def test_loss_in_the_middle_of_the_work_is_told(self):
        async def script(reader, writer):
            await read_request(reader)
            writer.write(answer("q1"))
            await read_request(reader)
            await asyncio.sleep(3.0 * pooled_sender.STALE_RESET_S)
            reset(writer)

        target = await self.target(script)
        await self.send(target, "q1")
        result = await self.send(target, "q2")
        self.assertIs(Outcome.LOST, result.outcome)
        self.assertEqual(1, self.accepted)

    async def test_unsafe_request_avoids_idle_connections(self):
        async def script(reader, writer):
            await read_request(reader)
            writer.write(answer("q1" if self.accepted == 1 else "q2"))
            await reader.read()

        target = await self.target(script)
        await self.send(target, "q1", is_idempotent=False)
        await asyncio.sleep(pooled_sender.NON_IDEMPOTENT_IDLE_S + 0.05)
        result = await self.send(target, "q2", is_idempotent=False)
        self.assertIs(Outcome.ANSWERED, result.outcome)
        self.assertEqual(2, self.accepted)

    async def test_late_answer_without_an_id_denies_nothing(self):
        for status in ("400 Bad", "404 Gone", "301 Moved", "500 Broken"):
            for is_signed in (False, True):
                with self.subTest(status=status, is_signed=is_signed):
                    late = answer("", status=status, is_signed=is_signed)
                    result = await self.second_of(late)
                    self.assertIs(Outcome.BAD_ANSWER, result.outcome)

    async def test_denial_without_an_id_is_not_the_targets_own(self):
        for status in ("301 Moved", "304 Same", "404 Gone"):
            data = answer("", b"", status=status)
            self.assertIs(Outcome.BAD_ANSWER, await self.outcome_of(data))

    async def test_refusal_without_an_id_is_sure(self):
        for status, outcome_ in (
            ("503 Busy", Outcome.DECLINED),
            ("429 Busy", Outcome.DECLINED),
            ("421 Misdirected", Outcome.MISDIRECTED),
        ):
            for is_idempotent in (False, True):
                options = {"is_idempotent": is_idempotent}
                with self.subTest(status=status, **options):
                    data = refusal("", status)
                    result = await self.second_of(data, **options)
                    self.assertIs(outcome_, result.outcome)
                    first = await self.outcome_of(data, **options)
                    self.assertIs(outcome_, first)

    async def test_late_refusal_without_an_id_promises_nothing(self):
        async def script(reader, writer):
            await read_request(reader)
            writer.write(refusal(""))
            await read_request(reader)
            writer.write(refusal("") + answer("q2"))
            await reader.read()

        target = await self.target(script)
        result = await self.send(target, "q1", is_idempotent=False)
        self.assertIs(Outcome.DECLINED, result.outcome)
        await self.send(target, "q2", is_idempotent=False, wait_s=0.1)
        self.assertEqual(2, self.accepted)

    async def test_refusal_behind_a_late_answer_promises_nothing(self):
        late = answer("q1", b"again") + refusal("")
        result = await self.second_of(late, is_idempotent=False)
        self.assertIs(Outcome.BAD_ANSWER, result.outcome)

    async def test_refusal_before_an_answer_promises_nothing(self):
        both = refusal("") + answer("q2")
        result = await self.second_of(both, is_idempotent=False)
        self.assertIs(Outcome.BAD_ANSWER, result.outcome)
