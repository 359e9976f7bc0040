"""Tests of fuchsiacourse.front.pooled_sender over loopback."""

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
    """Returns the bytes of a target's answer.

    Args:
        id: Id of the request, empty to leave the header out.
        body: The body.
        status: Status code and reason phrase.
        headers: Further header lines, each with its CRLF.
        is_signed: Whether to add the target's signature.
    """
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    if id:
        lines.append(f"X-Fuchsiacourse-Request-Id: {id}")
    if is_signed:
        lines.append("X-Fuchsiacourse-Response-Signature: s")
    return ("\r\n".join(lines) + f"\r\n{headers}\r\n").encode() + body


def refusal(id: str, status: str = "503 Busy") -> bytes:
    """Returns the bytes of an answer that marks the request as not run."""
    return answer(
        id,
        b"",
        status,
        headers="X-Fuchsiacourse-Not-Executed: 1\r\n",
        is_signed=False,
    )


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Reads and returns the head of the next request."""
    return await reader.readuntil(b"\r\n\r\n")


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class PooledSenderTest(unittest.IsolatedAsyncioTestCase):
    """The outcome must claim only what is certain about an attempt."""

    async def asyncSetUp(self) -> None:
        self.sender = pooled_sender.PooledSender(
            clock=system_clock.SystemClock(),
            protocol=wire_headers.WireHeaders(),
            limits=front_fakes.limits_on_answers(),
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
        """Starts a target that runs a script for each connection."""
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
                # The sender has closed the connection, or the test has
                # ended.
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
        """Returns the outcome if a target sends bytes and closes."""

        async def script(reader, writer):
            await read_request(reader)
            writer.write(data)
            await writer.drain()
            writer.close()

        return (await self.send(await self.target(script), **options)).outcome

    async def second_of(self, data: bytes, **options):
        """Returns the result of the second request on a connection.

        Args:
            data: Bytes that the target answers to the second request.
            options: Further arguments of ``send``.
        """

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

    async def test_request_carries_target_and_remaining_time(self):
        """Guards against a target that can't check its id or the deadline."""
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

    async def test_connection_is_reused(self):
        """Guards against a new connection for each request."""

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
        """Guards against pooling more connections than the limit allows."""

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
        """Guards against an answer that reaches the wrong request."""

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
        """Guards against reusing a connection with an unread answer."""

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

    async def test_close_without_an_answer_is_lost(self):
        """Guards against taking a lost request for one that hasn't run."""
        self.assertIs(Outcome.LOST, await self.outcome_of(b""))

    async def test_truncated_answer_is_bad(self):
        """Guards against taking a truncated answer for a complete one."""
        cut = answer("q1")[:-2]
        self.assertIs(Outcome.BAD_ANSWER, await self.outcome_of(cut))

    async def test_answer_that_ends_within_its_head_is_bad(self):
        """Guards against a success with a body that was never sent."""
        whole = answer("q1")
        head_length = whole.index(b"\r\n\r\n") + 4
        for length in range(1, head_length, 7):
            for is_idempotent in (False, True):
                found = await self.outcome_of(
                    whole[:length], is_idempotent=is_idempotent
                )
                self.assertIs(Outcome.BAD_ANSWER, found)

    async def test_reset_answer_without_length_is_bad(self):
        """Guards against taking a reset for an orderly close."""

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
        """Guards against forwarding a success without a signature."""
        data = answer("q1", is_signed=False)
        self.assertIs(Outcome.BAD_ANSWER, await self.outcome_of(data))

    async def test_encoded_success_is_bad(self):
        """Guards against forwarding a body in an unexpected encoding."""
        data = answer("q1", headers="Content-Encoding: gzip\r\n")
        self.assertIs(Outcome.BAD_ANSWER, await self.outcome_of(data))

    async def test_success_without_an_id_is_bad(self):
        """Guards against a success that may belong to another request."""
        self.assertIs(Outcome.BAD_ANSWER, await self.outcome_of(answer("")))

    async def test_refusal_marked_as_not_run_is_declined(self):
        """Guards against missing that a request certainly hasn't run."""
        data = answer(
            "q1",
            status="503 Busy",
            headers="X-Fuchsiacourse-Not-Executed: 1\r\n",
            is_signed=False,
        )
        self.assertIs(Outcome.DECLINED, await self.outcome_of(data))

    async def test_refusal_without_the_mark_is_a_failure(self):
        """Guards against taking any 503 as a promise that nothing ran."""
        data = answer("q1", status="503 Busy", is_signed=False)
        self.assertIs(Outcome.FAILED, await self.outcome_of(data))

    async def test_other_target_at_the_address(self):
        """Guards against blaming a target whose address was reassigned."""
        data = answer("q1", status="421 Misdirected", is_signed=False)
        self.assertIs(Outcome.MISDIRECTED, await self.outcome_of(data))

    async def test_timeout_at_the_deadline_is_no_failure(self):
        """Guards against blaming a target that stops at the deadline."""

        async def script(reader, writer):
            await read_request(reader)
            await asyncio.sleep(0.15)
            writer.write(answer("q1", status="504 Timeout"))

        result = await self.send(await self.target(script), wait_s=0.2)
        self.assertIs(Outcome.TIMED_OUT, result.outcome)
        self.assertIsNotNone(result.answer)

    async def test_silence_ends_with_the_deadline(self):
        """Guards against waiting beyond the deadline."""

        async def script(reader, writer):
            await reader.read()

        result = await self.send(await self.target(script), wait_s=0.1)
        self.assertIs(Outcome.TIMED_OUT, result.outcome)

    async def test_cancelled_attempt_closes_the_connection(self):
        """Guards against a target that works on after a cancellation."""
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
        """Guards against taking an unsent request for a sent one."""

        async def script(reader, writer):
            writer.close()

        target = await self.target(script)
        self.server.close()
        await self.server.wait_closed()
        result = await self.send(target)
        self.assertIs(Outcome.UNREACHED, result.outcome)

    async def test_stale_connection_is_replaced_if_idempotent(self):
        """Guards against failing a request on a stale connection."""

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
        self.assertEqual(1, result.resends)

    async def test_loss_while_the_target_works_is_reported(self):
        """Guards against taking a crash for a stale connection."""

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

    async def test_non_idempotent_request_has_its_own_connection(self):
        """Guards against a stale connection and answers to others on it."""

        async def script(reader, writer):
            while await read_request(reader):
                writer.write(answer("q1"))

        target = await self.target(script)
        await self.send(target, is_idempotent=True)
        await self.send(target, is_idempotent=False)
        await self.send(target, is_idempotent=False)
        self.assertEqual(3, self.accepted)

    async def test_second_copy_of_a_refusal_is_no_answer_to_a_retry(self):
        """Guards against a request that runs though it was refused."""
        for status in ("503 Busy", "429 Busy", "421 Misdirected"):
            for id in ("q1", ""):
                await self.check_second_copy(refusal(id, status))

    async def check_second_copy(self, copied: bytes) -> None:
        """Refuses a request, accepts its retry, and sends the copy then."""
        count = 0

        async def script(reader, writer):
            nonlocal count
            is_first = True
            while await read_request(reader):
                count += 1
                if count == 1:
                    writer.write(copied)
                else:
                    writer.write(b"" if is_first else copied)
                    await asyncio.sleep(0.02)
                    writer.write(answer("q1"))
                is_first = False

        target = await self.target(script)
        result = await self.send(target, is_idempotent=False)
        self.assertTrue(result.outcome.is_not_run)
        result = await self.send(target, is_idempotent=False)
        self.assertIs(Outcome.ANSWERED, result.outcome)

    async def test_later_answer_without_an_id_is_bad(self):
        """Guards against taking a late rejection for this request's."""
        for status in ("400 Bad", "404 Gone", "301 Moved", "500 Broken"):
            for is_signed in (False, True):
                with self.subTest(status=status, is_signed=is_signed):
                    late = answer("", status=status, is_signed=is_signed)
                    result = await self.second_of(late)
                    self.assertIs(Outcome.BAD_ANSWER, result.outcome)

    async def test_rejection_without_an_id_is_bad(self):
        """Guards against forwarding a rejection that names no request."""
        for status in ("301 Moved", "304 Same", "404 Gone"):
            data = answer("", b"", status=status)
            self.assertIs(Outcome.BAD_ANSWER, await self.outcome_of(data))

    async def test_refusal_without_an_id_is_trusted(self):
        """Guards against distrusting a refusal that can only be this one's."""
        for status, expected_outcome in (
            ("503 Busy", Outcome.DECLINED),
            ("429 Busy", Outcome.DECLINED),
            ("421 Misdirected", Outcome.MISDIRECTED),
        ):
            for is_idempotent in (False, True):
                options = {"is_idempotent": is_idempotent}
                with self.subTest(status=status, **options):
                    data = refusal("", status)
                    first = await self.outcome_of(data, **options)
                    self.assertIs(expected_outcome, first)
            result = await self.second_of(data, is_idempotent=True)
            self.assertIs(expected_outcome, result.outcome)

    async def test_late_refusal_without_an_id_is_not_trusted(self):
        """Guards against a late refusal that makes a request run twice."""

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

    async def test_refusal_after_a_late_answer_is_not_trusted(self):
        """Guards against trusting a refusal on a connection out of sync."""
        late = answer("q1", b"again") + refusal("")
        found = await self.outcome_of(late, id="q2", is_idempotent=False)
        self.assertIs(Outcome.BAD_ANSWER, found)

    async def test_refusal_before_an_answer_is_not_trusted(self):
        """Guards against trusting a refusal that an answer follows."""
        both = refusal("") + answer("q2")
        found = await self.outcome_of(both, id="q2", is_idempotent=False)
        self.assertIs(Outcome.BAD_ANSWER, found)
