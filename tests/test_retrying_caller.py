"""Tests of the retrying caller against a scripted entry."""

import random
import unittest

import aiohttp
from aiohttp import test_utils
from aiohttp import web

from fuchsiacourse import retrying_caller
from fuchsiacourse import system_clock
from fuchsiacourse import verdict


class RetryingCallerTest(unittest.IsolatedAsyncioTestCase):
    """A retry under the wrong key runs a booking twice or not at all."""

    async def asyncSetUp(self) -> None:
        self.verdicts: list[str] = []
        self.more_headers: dict[str, str] = {}
        self.seen: list[tuple[str, str]] = []
        app = web.Application()
        app.router.add_get("/fleet/addresses", self.list_addresses)
        app.router.add_post("/orders", self.book)
        self.server = test_utils.TestServer(app, host="127.0.0.1")
        await self.server.start_server()
        self.address = f"127.0.0.1:{self.server.port}"
        self.session = aiohttp.ClientSession()
        self.caller = retrying_caller.RetryingCaller(
            session=self.session,
            start_addresses=[self.address],
            account="deli",
            clock=system_clock.SystemClock(),
            rng=random.Random(1),
        )

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.server.close()

    async def list_addresses(self, request: web.Request) -> web.Response:
        keys = {"prefix": "fc1-0-0", "count": 8, "expires_in_s": 900}
        item = {"address": self.address}
        return web.json_response(
            {"addresses": [item], "ttl_s": 5, "keys": keys}
        )

    async def book(self, request: web.Request) -> web.Response:
        headers = request.headers
        self.seen.append(
            (headers["Idempotency-Key"], headers["Request-Attempt"])
        )
        answer = self.verdicts.pop(0)
        return web.Response(
            status=503,
            headers={"Request-Verdict": answer, **self.more_headers},
        )

    async def send(self, *answers: str) -> retrying_caller.CallResult:
        self.verdicts = list(answers)
        return await self.caller.send(
            "POST", "/orders", deadline_ms=1000, is_idempotent=False
        )

    async def test_same_key_after_may_have_run(self):
        """Guards against a second run under a new key."""
        result = await self.send("may-have-run", "ran")
        self.assertEqual([("fc1-0-0-0", "1"), ("fc1-0-0-0", "2")], self.seen)
        self.assertIs(verdict.Verdict.RAN, result.verdict)

    async def test_new_key_after_not_run(self):
        """Guards against reusing a key that was answered not-run."""
        result = await self.send("not-run", "ran")
        self.assertEqual([("fc1-0-0-0", "1"), ("fc1-0-0-1", "1")], self.seen)
        self.assertEqual(("fc1-0-0-0",), result.not_run_keys)

    async def test_answer_without_verdict_is_may_have_run(self):
        """Guards against taking an answer without verdict for not-run."""
        result = await self.send("", "ran")
        self.assertEqual(("fc1-0-0-0", "2"), self.seen[1])
        self.assertEqual(2, result.attempts)

    async def test_time_to_return_of_the_last_answer_is_kept(self):
        """Guards against odd times to return that break a load run."""
        for text, expected_s in (
            ("1.5", 1.5),
            ("soon", None),
            ("nan", None),
            ("1e999", None),
        ):
            with self.subTest(text=text):
                self.more_headers = {"Retry-After": text}
                result = await self.send("ran")
                self.assertEqual(expected_s, result.retry_after_s)
