"""Tests of a front process whose targets say that they want no requests."""

import asyncio
import json

from tests import front_process_case
from tests import test_platform_codecs
from tests import test_pooled_sender
from tests import test_target_follower

IP = front_process_case.IP
CALLERS = 6
PAUSE_S = 0.02
WORK_S = 0.02
# Time after an answer in which requests may still be on their way, in seconds.
ON_ITS_WAY_S = 0.5
HOLD_S = 1.5


class TargetWishesProcessTest(front_process_case.FrontProcessCase):
    """Callers with kept connections use one front before two targets."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.work_s = WORK_S
        # Header lines of the answers, by port of the target.
        self.headers_by_port: dict[int, str] = {}
        # Whether a target turns its requests away, by its port.
        self.declines_by_port: dict[int, bool] = {}
        # Loop times of the arrivals and of the first answer with a wish.
        self.arrivals_by_port: dict[int, list[float]] = {}
        self.wished_s: float | None = None
        self.statuses: list[int] = []
        self.first = self.target.sockets[0].getsockname()[1]
        self.other_target = await asyncio.start_server(self.serve, IP, 0)
        self.other = self.other_target.sockets[0].getsockname()[1]
        spec = json.loads(test_target_follower.target_object("t2"))["spec"]
        spec["address"] = f"{IP}:{self.other}"
        spec["info"]["service"] = "s3"
        self.put("servers/t2", json.dumps({"spec": spec}).encode())
        config = json.loads(test_platform_codecs.config_value())["spec"]
        config["hosts"][0]["paths"][1].update(kind="safe", max_attempts=3)
        config["version"] = "r13"
        self.put("config/main", json.dumps({"spec": config}).encode())
        await asyncio.sleep(1.5)
        self.callers = [
            asyncio.ensure_future(self.run_caller(number))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(1.0)

    async def asyncTearDown(self) -> None:
        for caller in self.callers:
            caller.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)
        self.other_target.close()
        await super().asyncTearDown()

    async def serve(self, reader, writer) -> None:
        """Answers the requests of one connection as its target does."""
        self.tasks.add(asyncio.current_task())
        port = writer.get_extra_info("sockname")[1]
        loop = asyncio.get_running_loop()
        try:
            while True:
                head = await test_pooled_sender.read_request(reader)
                id = head.lower().split(b"request-id: ")[1].split()[0].decode()
                await reader.readexactly(2)
                self.arrivals_by_port.setdefault(port, []).append(loop.time())
                await asyncio.sleep(self.work_s)
                headers = self.headers_by_port.get(port, "")
                if headers and self.wished_s is None:
                    self.wished_s = loop.time()
                status = "200 OK"
                if self.declines_by_port.get(port):
                    status = "503 Busy"
                    headers += "X-Fuchsiacourse-Not-Executed: 1\r\n"
                writer.write(
                    test_pooled_sender.answer(
                        id,
                        status=status,
                        headers=headers,
                        is_signed=status == "200 OK",
                    )
                )
        except (asyncio.IncompleteReadError, OSError):
            # The front has closed the connection.
            pass
        finally:
            writer.close()

    async def run_caller(self, number: int) -> None:
        reader, writer = await asyncio.open_connection(IP, self.ports[0])
        try:
            for count in range(1_000_000):
                writer.write(
                    f"POST {front_process_case.PATH} HTTP/1.1\r\n"
                    "Host: one.example\r\n"
                    f"X-Fuchsiacourse-Request-Id: c{number}n{count}\r\n"
                    "X-Fuchsiacourse-Request-Deadline: 2000\r\n"
                    "Content-Length: 2\r\n\r\nab".encode()
                )
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.split(b"content-length: ")[1].split()[0])
                await reader.readexactly(length)
                self.statuses.append(int(head.split()[1]))
                await asyncio.sleep(PAUSE_S)
        finally:
            writer.close()

    def arrivals_between(self, port: int, begin_s: float, end_s: float) -> int:
        assert self.wished_s is not None
        return sum(
            begin_s < at_s - self.wished_s < end_s
            for at_s in self.arrivals_by_port[port]
        )

    async def check_leaving_target(self) -> None:
        self.assertGreater(len(self.arrivals_by_port[self.first]), 10)
        self.headers_by_port[self.first] = "Server-Leaving: 1\r\n"
        await asyncio.sleep(3.0)
        self.assertEqual(
            0, self.arrivals_between(self.first, ON_ITS_WAY_S, 3.0)
        )
        self.assertGreater(self.arrivals_between(self.other, 0.5, 3.0), 30)
        self.assertEqual({200}, set(self.statuses))

    async def test_leaving_target_under_load(self):
        """Guards against requests over pooled connections to it."""
        await self.check_leaving_target()

    async def test_leaving_target_while_the_store_is_silent(self):
        """Guards against a front that waits for the registration."""
        self.model.faults.outage = True
        await asyncio.sleep(1.0)
        await self.check_leaving_target()

    async def test_target_that_wants_nothing_for_some_time(self):
        """Guards against requests, trials and probes before that time."""
        self.declines_by_port[self.first] = True
        self.headers_by_port[self.first] = f"Retry-After: {HOLD_S}\r\n"
        while self.wished_s is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        self.declines_by_port.clear()
        self.headers_by_port.clear()
        await asyncio.sleep(HOLD_S + 1.5)
        held = self.arrivals_between(self.first, ON_ITS_WAY_S, HOLD_S)
        self.assertLessEqual(held, 2)
        self.assertGreater(
            self.arrivals_between(self.first, HOLD_S, HOLD_S + 1.5), 0
        )
        self.assertEqual({200}, set(self.statuses))
