"""Callers of the fault soak that use a front until its process is gone."""

from __future__ import annotations

import asyncio

from bench import fault_callers
from bench import fault_checker
from bench import fault_testbed
from bench import fault_wire

# Time that a request waits at most, in seconds; longer than a stop lasts.
DEADLINE_S = 8.0
ANSWER_TIMEOUT_S = 12.0
# Range of the work of a request, in seconds, and share of the requests whose
# work is short.
LONG_WORK_S = (0.5, 4.0)
SHORT_WORK_S = 0.02
SHORT_SHARE = 0.7
# Range of the time for which a connection is idle between two requests, in
# seconds.
IDLE_S = (0.0, 1.5)
# Pause after a failure to connect, in seconds.
RECONNECT_S = 0.1


class LateCallers(fault_callers.FaultCallers):
    """Callers that each stay with one front, also while it shuts down.

    They open connections as long as the front accepts them, use idle ones
    whenever they like, and some of their work outlasts a stop.
    """

    def start(self) -> None:
        """Starts the callers, the same number for each front."""
        self._tasks = [
            asyncio.ensure_future(self._stay_with(front))
            for front in self._testbed.fronts
            for _ in range(self._count)
        ]

    async def _stay_with(self, front: fault_testbed.FaultFront) -> None:
        while not self.is_stopped:
            connection = await self._connect(front)
            if connection is None:
                await asyncio.sleep(RECONNECT_S)
                continue
            reader, writer = connection
            try:
                await self._use(front, reader, writer)
            finally:
                writer.close()

    async def _use(
        self,
        front: fault_testbed.FaultFront,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        keeps_alive = True
        while keeps_alive and not self.is_stopped:
            await asyncio.sleep(self._rng.uniform(*IDLE_S))
            if reader.at_eof():
                return
            call = self._late_call(front)
            self._testbed.checker.record_request(call.id, call.sent)
            keeps_alive = await self._exchange_all(
                [call], reader, writer, ANSWER_TIMEOUT_S
            )

    def _late_call(
        self, front: fault_testbed.FaultFront
    ) -> fault_callers.Call:
        id = self._next_id()
        route = self._rng.choice(list(fault_testbed.LONG_ROUTES))
        work_s = SHORT_WORK_S
        if self._rng.random() > SHORT_SHARE:
            work_s = self._rng.uniform(*LONG_WORK_S)
        path = f"/{route}/{id}/work/{int(work_s * 1000)}"
        now_s = self._testbed.clock.now()
        limits = self._testbed.lowest_limits_since(
            now_s - fault_callers.CONFIG_IN_FORCE_S
        )
        self._testbed.checker.checked["late caller"] += 1
        return fault_callers.Call(
            id=id,
            sent=fault_checker.SentRequest(
                front=front.ip,
                path=path,
                body=b"",
                is_safe=route.startswith("safe"),
                at_s=now_s,
            ),
            body=b"",
            form=fault_wire.Form.PLAIN,
            pieces=fault_wire.pieces_of(
                fault_wire.Form.PLAIN,
                path=path,
                host=fault_testbed.HOST,
                fields={
                    "X-Fuchsiacourse-Request-Id": id,
                    "X-Fuchsiacourse-Request-Deadline": str(
                        int(DEADLINE_S * 1000)
                    ),
                },
                body=b"",
                max_head_bytes=limits["max_header_bytes"],
            ),
            limits=limits,
        )
