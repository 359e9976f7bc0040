"""Tests of entries of other writers among the targets' registrations."""

import asyncio
import contextlib
import json
import unittest

from bench import front_fakes
from fuchsiacourse import errors
from fuchsiacourse.platform import object_store
from fuchsiacourse.platform import target_codec
from tests import test_target_follower

DEEP = "[" * 100_000 + "]" * 100_000
# Below the parser's limit, but beyond that of code that walks through it.
NESTED = "[" * 900 + "]" * 900
LONG_NUMBER = "9" * 5000


def entry(name: str, **changes) -> dict:
    """Returns an entry of the store with some fields of its spec replaced."""
    value = json.loads(test_target_follower.target_object(name, **changes))
    return {"metadata": {"name": name, "revision": 5}, **value}


class OddListTest(unittest.IsolatedAsyncioTestCase):
    """An entry that can't be read must not hide the others of its list."""

    async def asyncSetUp(self) -> None:
        self.body = b""
        self.server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        address = self.server.sockets[0].getsockname()
        self.store = object_store.ObjectStore(
            address=address, limits=front_fakes.limits_on_answers()
        )

    async def asyncTearDown(self) -> None:
        self.store.close()
        self.server.close()
        await self.server.wait_closed()

    async def answer(self, reader, writer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                length = len(self.body)
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
                writer.write(head.encode() + self.body)
                await writer.drain()
        writer.close()

    async def check(self, odd: bytes) -> None:
        good = json.dumps(entry("t1")).encode()
        self.body = b'{"as_of": 7, "items": [%s, %s, %s]}' % (
            good,
            odd,
            json.dumps(entry("t2")).encode(),
        )
        batch = await self.store.watch(
            "servers/", after_revision=0, timeout_s=1.0
        )
        readable = set()
        for item in batch.objects:
            try:
                readable.add(target_codec.decode(item.key, item.value).id)
            except errors.TargetRegistrationRejected:
                continue
        self.assertEqual({"t1", "t2"}, readable)

    def odd(self, spec: str) -> bytes:
        text = '{"metadata": {"name": "odd", "revision": 6}, "spec": %s}'
        return (text % spec).encode()

    async def test_deeply_nested_entry(self):
        """Guards against a list that overflows the parser's stack."""
        await self.check(self.odd(DEEP))

    async def test_entry_nested_almost_too_deeply(self):
        """Guards against an entry that is read but can't be written."""
        await self.check(self.odd(NESTED))

    async def test_number_too_long_to_read(self):
        """Guards against a list that is refused for one number."""
        await self.check(self.odd('{"slots": %s}' % LONG_NUMBER))

    async def test_bytes_that_are_no_text(self):
        """Guards against a list that is refused for one string."""
        await self.check(self.odd('{"a": "X"}').replace(b"X", b"\xff\xfe"))

    async def test_entry_without_a_name(self):
        """Guards against a list that is refused for one entry's shape."""
        for odd in (b"null", b"[]", b'{"metadata": {"revision": 6}}'):
            await self.check(odd)


class OddRegistrationTest(unittest.TestCase):
    """A value that can't be used must be found where it enters."""

    def test_values_out_of_range_are_rejected(self):
        """Guards against targets on which requests fail in this front."""
        info = entry("t1")["spec"]["info"]
        status = entry("t1")["spec"].get("status") or entry("t1")["status"]
        cases = [
            {"address": "10.0.8.1:65536"},
            {"address": "10.0.8.1:0"},
            {"address": "10.0.8.1:-1"},
            {"address": "10.0.8.1:" + "9" * 400},
            {"address": "10.0.8.999:80"},
            {"address": ":80"},
            {"info": {**info, "slots": 0}},
            {"info": {**info, "slots": -3}},
            {"info": {**info, "slots": 10**400}},
            {"info": {**info, "service": "\ud800"}},
            {"info": {**info, "zone": "\ud800"}},
            {"status": {**status, "cold_remaining_ms": 10**400}},
            {"status": {**status, "cold_remaining_ms": float("nan")}},
            {"status": {**status, "cold_remaining_ms": float("inf")}},
            {"born": 10**400},
            {"born": -1},
        ]
        for changes in cases:
            value = json.dumps(entry("t1", **changes)).encode()
            with self.subTest(changes=repr(changes)[:60]):
                with self.assertRaises(errors.TargetRegistrationRejected):
                    target_codec.decode("servers/t1", value)

    def test_id_that_fits_into_no_header_is_rejected(self):
        """Guards against ids that end a header or can't be sent."""
        value = json.dumps(entry("t1")).encode()
        for id in ("\ud800", "a\r\nb", "a b", "\u4e00", ""):
            with self.assertRaises(errors.TargetRegistrationRejected):
                target_codec.decode(f"servers/{id}", value)

    def test_nested_registration_is_rejected(self):
        """Guards against nesting that ends the task that reads it."""
        value = ('{"spec": ' + DEEP + "}").encode()
        with self.assertRaises(errors.TargetRegistrationRejected):
            target_codec.decode("servers/t1", value)
