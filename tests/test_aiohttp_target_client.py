"""Tests of the target client against raw socket servers."""

import asyncio
import socket
import unittest

from fuchsiacourse import aiohttp_target_client
from fuchsiacourse import errors
from fuchsiacourse import system_clock
from fuchsiacourse import target_client


def answer(body: bytes, *, length: int | None = None, id: str = "a-1"):
    """Returns the bytes of an answer."""
    size = len(body) if length is None else length
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode() + body


class RawServer:
    """Records requests and writes scripted answers.

    Args:
        *answers: Bytes of the answers in order; None closes the connection.
    """

    def __init__(self, *answers: bytes | None) -> None:
        self.answers = list(answers)
        self.requests: list[bytes] = []
        self.open = 0
        self.most_open = 0
        self.delay_s = 0.0
        self.closes_after_answer = False
        self.closed = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, family=socket.AF_INET
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *error):
        self.server.close()

    async def serve(self, reader, writer):
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                await asyncio.sleep(self.delay_s)
                content = self.answers.pop(0) if self.answers else None
                if content is None:
                    return
                writer.write(content)
                await writer.drain()
                if self.closes_after_answer:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            self.open -= 1
            writer.close()


class AiohttpTargetClientTest(unittest.IsolatedAsyncioTestCase):
    """A request must be sent once and its answer must be complete."""

    async def asyncSetUp(self):
        self.client = aiohttp_target_client.AiohttpTargetClient(
            clock=system_clock.SystemClock()
        )
        self.addAsyncCleanup(self.client.close)

    async def send(self, address, method="GET", *, id="a-1", limit=10):
        return await self.client.send(
            target_client.TargetCall(
                target_id="target-1",
                address=address,
                request_id=id,
                method=method,
                path="/larder/slots?day=%7E1",
                headers=[("Accept", "text/html"), ("Connection", "close")],
                body=b"",
                deadline_s=5.0,
                connection_limit=limit,
            )
        )

    async def test_broken_connection_is_not_retried(self):
        """Guards against a PUT or DELETE booking that runs twice.

        The connection must break after it was used before, because that is
        when aiohttp itself retries requests.
        """
        for method in ("GET", "PUT", "DELETE"):
            async with RawServer(answer(b"one"), None) as server:
                await self.send(server.address, method)
                with self.assertRaises(errors.TargetOutcomeUnknown):
                    await self.send(server.address, method)
                await asyncio.sleep(0.05)
                self.assertEqual(2, len(server.requests))

    async def test_refused_connection_is_unreachable(self):
        """Guards against MAY_HAVE_RUN for a request that was not sent."""
        async with RawServer() as server:
            address = server.address
        with self.assertRaises(errors.TargetUnreachable):
            await self.send(address)

    async def test_connection_closed_without_answer_is_outcome_unknown(self):
        """Guards against NOT_RUN after the request was written."""
        async with RawServer(None) as server:
            with self.assertRaises(errors.TargetOutcomeUnknown):
                await self.send(server.address)

    async def test_truncated_answer_is_rejected(self):
        """Guards against forwarding a truncated answer."""
        async with RawServer(answer(b"half", length=8)) as server:
            server.closes_after_answer = True
            with self.assertRaises(errors.TargetBadAnswer):
                await self.send(server.address)

    async def test_answer_without_length_is_rejected(self):
        """Guards against taking a lost connection for the answer's end."""
        content = b"HTTP/1.1 200 OK\r\nRequest-Id: a-1\r\n\r\nhalf"
        async with RawServer(content) as server:
            server.closes_after_answer = True
            with self.assertRaises(errors.TargetBadAnswer):
                await self.send(server.address)

    async def test_request_is_forwarded_unchanged(self):
        """Guards against rewritten paths and forwarded hop-by-hop headers."""
        async with RawServer(answer(b"one")) as server:
            reply = await self.send(server.address)
        self.assertEqual(b"one", reply.body)
        self.assertEqual("a-1", reply.request_id)
        request = server.requests[0]
        self.assertIn(b"GET /larder/slots?day=%7E1 HTTP/1.1", request)
        self.assertIn(b"Request-Id: a-1\r\n", request)
        self.assertIn(b"Request-Deadline-Ms: 5000\r\n", request)
        self.assertNotIn(b"Connection: close", request)

    async def test_another_requests_answer_closes_the_connection(self):
        """Guards against answers that stay shifted by one request."""
        async with RawServer(
            answer(b"one", id="other"), answer(b"two")
        ) as server:
            reply = await self.send(server.address)
            self.assertEqual("other", reply.request_id)
            await asyncio.wait_for(server.closed.wait(), 1)

    async def test_cancellation_closes_the_connection(self):
        """Guards against a target that can't notice a cancellation."""
        async with RawServer(answer(b"one")) as server:
            server.delay_s = 0.05
            task = asyncio.ensure_future(self.send(server.address))
            while not server.requests:
                await asyncio.sleep(0.005)
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task
            await asyncio.wait_for(server.closed.wait(), 1)

    async def test_connection_limit_holds(self):
        """Guards against more connections than the target's limit."""
        async with RawServer(*[answer(b"one")] * 8) as server:
            server.delay_s = 0.01
            await asyncio.gather(
                *(self.send(server.address, limit=2) for _ in range(8))
            )
            self.assertEqual(2, server.most_open)

    async def test_malformed_report(self):
        """Guards against unexpected exceptions for a malformed report."""
        report = b'{"healthy": true, "load": "x", "draining": true}'
        async with RawServer(answer(report), answer(b"[]")) as server:
            seen = await self.client.probe(server.address, path="/health")
            self.assertTrue(seen.healthy and seen.draining)
            self.assertEqual(0, seen.load)
            with self.assertRaises(errors.TargetOutcomeUnknown):
                await self.client.probe(server.address, path="/health")
