"""Tests of the transfer of copies between fronts over loopback."""

import unittest

from bench import front_fakes
from fuchsiacourse import errors
from fuchsiacourse.front import body_budget
from fuchsiacourse.front import caller_server
from fuchsiacourse.front import copy_exchange
from fuchsiacourse.front import front_program
from fuchsiacourse.front import object_copy
from fuchsiacourse.front import peer_client
from fuchsiacourse import store as stores
from fuchsiacourse import system_clock

IP = "127.0.0.1"


class CopyExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Changes must arrive unaltered, and a missing copy is an error."""

    async def asyncSetUp(self) -> None:
        self.copy = object_copy.ObjectCopy()
        copies = {"servers/": self.copy}
        self.failures: list[Exception] = []
        self.server = caller_server.CallerServer(
            clock=system_clock.SystemClock(),
            address=(IP, 0),
            handler=copy_exchange.CopyHandler(find=copies.get).handle,
            limits=lambda: front_program.DEFAULT_LIMITS,
            budget=body_budget.BodyBudget(),
            rejections=front_fakes.rejections(),
            on_error=self.failures.append,
        )
        await self.server.start()
        port = self.server.address[1]
        self.source = copy_exchange.HttpCopySource(
            client=peer_client.PeerClient(
                port=port, limits=front_fakes.limits_on_answers()
            )
        )

    async def asyncTearDown(self) -> None:
        self.server.stop_listening()
        self.assertEqual([], self.failures)

    async def test_changes_of_a_copy_arrive(self):
        """Guards against objects that are altered on the way."""
        value = '{"n": "ü"}'.encode()
        self.copy.replace(5, [])
        self.copy.update(
            7, [stores.StoredObject(key="servers/a", value=value, version=6)]
        )
        update = await self.source.fetch(IP, "servers/", (0, 5))
        self.assertEqual((7, False), (update.revision, update.is_snapshot))
        found = update.objects[0]
        self.assertEqual(
            ("servers/a", value, 6, False),
            (found.key, found.value, found.version, found.deleted),
        )

    async def test_copy_of_another_era_arrives_whole(self):
        """Guards against changes of one history applied to another's copy."""
        item = stores.StoredObject(key="servers/a", value=b"{}", version=4)
        self.copy.replace(5, [item], era=3)
        same = await self.source.fetch(IP, "servers/", (3, 5))
        other = await self.source.fetch(IP, "servers/", (2, 5))
        self.assertEqual((3, False), (same.era, same.is_snapshot))
        self.assertEqual((3, True), (other.era, other.is_snapshot))
        self.assertEqual(["servers/a"], [found.key for found in other.objects])

    async def test_unknown_copy_is_an_error(self):
        """Guards against a missing copy that is taken for an empty one."""
        with self.assertRaises(errors.PeerError):
            await self.source.fetch(IP, "boxes/", (0, 0))

    async def test_front_that_is_gone_is_an_error(self):
        """Guards against a connection error that ends the follower."""
        self.server.stop_listening()
        with self.assertRaises(errors.PeerError):
            await self.source.fetch(IP, "servers/", (0, 0))
