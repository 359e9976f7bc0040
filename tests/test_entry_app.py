"""Tests of the callers' HTTP application on loopback."""

import asyncio
import json
import unittest

from bench import entry_fakes
from fuchsiacourse import body_digest
from fuchsiacourse import entry_app
from fuchsiacourse import http_server
from fuchsiacourse import logs
from fuchsiacourse import settings as setting_models
from tests import test_grpc_peers

MAX_BODY_BYTES = 1000
BODY_TIMEOUT_S = 0.2


class Response:
    """Status, headers and body of an HTTP answer."""

    def __init__(self, content):
        head, _, self.body = content.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1])
        self.headers = {
            line.partition(": ")[0].lower(): line.partition(": ")[2]
            for line in lines[1:]
        }

    @property
    def verdict(self):
        return self.headers["request-verdict"]


class EntryAppTest(unittest.IsolatedAsyncioTestCase):
    """Invalid input must get a status and a verdict and never be run."""

    async def asyncSetUp(self):
        self.fleet = entry_fakes.EntryFleet()
        self.address = test_grpc_peers.free_address()
        settings = setting_models.EntrySettings.model_construct(
            max_body_bytes=MAX_BODY_BYTES,
            max_header_bytes=2000,
            body_timeout_s=BODY_TIMEOUT_S,
        )
        self.server = http_server.HttpServer(
            asgi_app=entry_app.EntryApp(
                service=self.fleet.entries[0], settings=settings
            ),
            address=self.address,
            log=logs.silent(),
        )
        await self.server.start()

    async def asyncTearDown(self):
        await self.server.stop()
        self.fleet.timers.close()

    async def send(
        self, target, *headers, body=b"", length=None, closes=False
    ):
        """Sends a raw request.

        Args:
            target: Method and path.
            *headers: Header lines.
            body: Bytes of the body.
            length: Content-Length; by default that of the body.
            closes: Whether to half-close the connection after the body.

        Returns:
            The response, or None if the connection was closed without any.
        """
        ip, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        if length is None:
            length = len(body)
        lines = [f"{target} HTTP/1.1", "Host: x", "Connection: close"]
        if length:
            lines.append(f"Content-Length: {length}")
        text = "\r\n".join([*lines, *headers, "", ""])
        writer.write(text.encode("latin-1") + body)
        if closes:
            writer.write_eof()
        content = await reader.read()
        writer.close()
        return Response(content) if content else None

    def assert_refused(self, response, status, verdict="not-run"):
        self.assertEqual(status, response.status, response.body)
        self.assertEqual(verdict, response.verdict)
        problem = json.loads(response.body)
        self.assertEqual(verdict, problem["verdict"])
        self.assertEqual(
            "application/problem+json", response.headers["content-type"]
        )
        self.assertFalse(self.fleet.runs_by_body)

    async def test_booking_and_its_retry(self):
        """Guards against a retry that gets a different answer."""
        listed = await self.send("GET /fleet/addresses?caller=glen")
        content = json.loads(listed.body)
        key = content["keys"]["prefix"] + "-0"
        for attempt in (1, 2):
            response = await self.send(
                "POST /larder/orders?week=7",
                f'Idempotency-Key: "{key}"',
                f"Request-Attempt: {attempt}",
                "Request-Id: mine",
                "X-Note: kept",
                "X-Hop: dropped",
                "Connection: x-hop",
                body=b"kilos",
            )
            self.assertEqual((200, b"kilos"), (response.status, response.body))
            self.assertEqual("ran", response.verdict)
            self.assertEqual("mine", response.headers["request-id"])
        self.assertEqual(1, self.fleet.runs_by_body[b"kilos"])
        sent = self.fleet.dispatchers[0].requests[0]
        names = {item.name for item in sent.headers}
        self.assertEqual("/larder/orders?week=7", sent.path)
        self.assertIn("x-note", names)
        self.assertFalse({"x-hop", "connection", "host"} & names)

    async def test_body_over_the_limit(self):
        """Guards against bodies that use up the memory."""
        body = b"x" * (MAX_BODY_BYTES + 1)
        self.assert_refused(await self.send("POST /larder", body=body), 413)
        chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        response = await self.send(
            "POST /larder",
            "Transfer-Encoding: chunked",
            body=chunked,
            length=0,
        )
        self.assert_refused(response, 413)

    async def test_truncated_body_is_not_run(self):
        """Guards against running a request with a truncated body."""
        key = self.fleet.key()
        await self.send(
            "POST /larder",
            f"Idempotency-Key: {key}",
            body=b"half",
            length=8,
            closes=True,
        )
        await self.send(
            "POST /larder",
            f"Idempotency-Key: {key}",
            "Transfer-Encoding: chunked",
            body=b"4\r\nhalf\r\n",
            length=0,
            closes=True,
        )
        await asyncio.sleep(BODY_TIMEOUT_S)
        self.assertEqual([], self.fleet.dispatchers[0].requests)

    async def test_slow_body_times_out(self):
        """Guards against callers that hold a connection forever."""
        response = await self.send("POST /larder", body=b"half", length=8)
        self.assert_refused(response, 408)

    async def test_headers_too_large(self):
        """Guards against headers that use up the memory."""
        response = await self.send("GET /larder", "X-Long: " + "x" * 2000)
        self.assert_refused(response, 431)

    async def test_malformed_fleet_headers(self):
        """Guards against accepting malformed or repeated headers."""
        for line in (
            "Request-Attempt: 0",
            "Request-Attempt: one",
            "Request-Deadline-Ms: -5",
            "Request-Deadline-Ms: 0",
            "Idempotency-Key: a\r\nIdempotency-Key: b",
            "Idempotency-Key: " + "k" * 300,
            'Idempotency-Key: ""',
        ):
            response = await self.send("POST /larder", line, body=b"?")
            self.assertEqual(400, response.status, line)
            self.assertIn(response.verdict, ("not-run", "may-have-run"))
        self.assertFalse(self.fleet.runs_by_body)

    async def test_unknown_route_and_method(self):
        """Guards against answers of the HTTP framework without a verdict."""
        self.assert_refused(await self.send("GET /nothing"), 404)
        self.assert_refused(await self.send("GET /larderous"), 404)
        self.assert_refused(await self.send("POST /fleet/addresses"), 405)
        for target, status in (
            ("GET /nothing", 404),
            ("POST /fleet/addresses", 405),
        ):
            again = await self.send(target, "Request-Attempt: 2")
            self.assert_refused(again, status, "may-have-run")

    async def test_dot_segments(self):
        """Guards against paths that resolve outside the matched route."""
        for path in ("/larder/../admin", "/larder/%2e%2E/x", "/larder/./x"):
            self.assert_refused(await self.send(f"GET {path}"), 400)

    async def test_booking_without_key(self):
        """Guards against a booking that could run twice."""
        response = await self.send("POST /larder", body=b"kilos")
        self.assert_refused(response, 428)
        self.assertEqual(64, json.loads(response.body)["keys"]["count"])

    async def test_head_has_no_body(self):
        """Guards against a body after HEAD, which shifts later answers."""

        def with_body(reply):
            reply.body = b"answer"
            reply.body_digest = body_digest.digest(b"answer")
            # Unencodable header values must not lose the answer.
            reply.headers.add(name="x-note", value="caf\u00e9 \u0107")
            reply.headers.add(name="set-cookie", value="a=\u00e9")

        self.fleet.dispatchers[0].corrupt = with_body
        response = await self.send("HEAD /larder")
        self.assertEqual((200, b""), (response.status, response.body))
        self.assertEqual("6", response.headers["content-length"])
        self.assertEqual("ran", response.verdict)
        self.assertEqual("GET", self.fleet.dispatchers[0].requests[0].method)
