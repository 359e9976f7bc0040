"""A configuration whose version number has more than 32 bits."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin_case as case  # noqa: E402
import standin_fleet as fleets  # noqa: E402
import standin_record as records  # noqa: E402
import standin_upstream as upstreams  # noqa: E402
import standin_wire as wire  # noqa: E402

OLD_SERVICE = "larder"
NEW_SERVICE = "kettlebook"
UPSTREAMS = 3
RATE_PER_S = 20.0
DEADLINE_MS = 10_000
CONFIG_APPLY_S = 2.0
# Time after the change in which requests are sent, in seconds.
AFTER_S = 20.0
GRACE_S = 6.0


class NamedUpstream(upstreams.Upstream):
    """Records which service ran a request, and when each run ended."""

    service_by_id: dict[str, str] = {}
    ended_s_by_id: dict[str, float] = {}

    def __init__(self, *, notes: records.Record, **options: object) -> None:
        super().__init__(record=notes, **options)
        self._notes = notes

    async def run(self, message: wire.Message) -> bytes | None:
        id = message.headers.get("x-fuchsiacourse-request-id", "")
        self.service_by_id[id] = self.service
        data = await super().run(message)
        self.ended_s_by_id[id] = self._notes.now_s()
        return data


def configuration(version: int, service: str) -> dict:
    """Returns a configuration with one route to a service."""
    return fleets.configuration(
        [OLD_SERVICE, NEW_SERVICE],
        [
            {
                "name": "r-times",
                "path_prefix": "/times/",
                "kind": "safe",
                "timeout_ms": 5000,
                "target_latency_ms": 2000,
                "priority": 2,
                "service": service,
                "max_attempts": 2,
            }
        ],
        version=version,
    )


class Sent:
    """A request of a client."""

    def __init__(self, *, id: str, front: fleets.Front, at_s: float) -> None:
        self.id = id
        self.front = front
        self.at_s = at_s
        self.ended_s = 0.0
        self.status = 0


async def read_times(
    fleet: fleets.Fleet, record: records.Record, sent: Sent
) -> None:
    """Sends one read on a new connection."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(sent.front.ip, fleet.ports["front"]), 1.0
        )
        sent.at_s = record.now_s()
        record.sent(sent.id, sent.front.name, "read")
        writer.write(
            wire.request(
                "GET",
                f"/times/{sent.id}",
                "shop.example",
                {
                    wire.PREFIX + "Request-Id": sent.id,
                    wire.PREFIX + "Request-Deadline": str(DEADLINE_MS),
                },
            )
        )
        found = await asyncio.wait_for(
            wire.read_message(reader), DEADLINE_MS / 1000.0
        )
        sent.status = found.status
    except (OSError, EOFError, asyncio.TimeoutError):
        pass
    finally:
        sent.ended_s = record.now_s()
        ran = NamedUpstream.service_by_id.get(sent.id, "none")
        record.answered(sent.id, sent.status, f"run by {ran}")
        if writer is not None:
            writer.close()


async def send_for(
    fleet: fleets.Fleet,
    record: records.Record,
    length_s: float,
    fronts: list[fleets.Front],
) -> list[tuple[Sent, asyncio.Task]]:
    """Sends reads to some machines for some time."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + length_s
    found = []
    while loop.time() < end_s:
        await asyncio.sleep(random.expovariate(RATE_PER_S))
        sent = Sent(
            id=f"{random.getrandbits(64):016x}",
            front=random.choice(fronts),
            at_s=record.now_s(),
        )
        task = asyncio.ensure_future(read_times(fleet, record, sent))
        found.append((sent, task))
    return found


async def play(
    fleet: fleets.Fleet, record: records.Record, has_trouble: bool
) -> list[str]:
    """Moves a route to another service, then stops a machine."""
    zones = list(fleet.regions_by_zone)
    for index, service in enumerate((OLD_SERVICE, NEW_SERVICE)):
        for number in range(UPSTREAMS):
            await NamedUpstream(
                notes=record,
                store=fleet.store,
                service=service,
                zone=zones[number % len(zones)],
                address=(fleet.ip(2 + index, number + 1), fleet.port),
                slots=6,
                queue=24,
                work_s=lambda message: random.uniform(0.3, 0.8),
            ).start()
    fleet.store.put("config", "main", configuration(7, OLD_SERVICE))
    await fleet.start_all()
    await asyncio.sleep(4.0)
    tasks = await send_for(fleet, record, 3.0, fleet.fronts)
    # An operator who numbers versions by the Unix time in milliseconds.
    version = int(time.time() * 1000) if has_trouble else 8
    fleet.store.put("config", "main", configuration(version, NEW_SERVICE))
    changed_s = record.now_s()
    record.note(f"config    r{version} acknowledged")
    tasks += await send_for(fleet, record, AFTER_S, fleet.fronts)
    front = fleet.fronts[0]
    sending = asyncio.ensure_future(send_for(fleet, record, 1.0, fleet.fronts))
    await asyncio.sleep(0.9)
    stop_s = record.now_s()
    fleet.send_signal(front, signal.SIGTERM)
    assert front.process is not None
    try:
        await asyncio.wait_for(front.process.wait(), GRACE_S)
    except asyncio.TimeoutError:
        fleet.send_signal(front, signal.SIGKILL)
        await front.process.wait()
    record.note(f"ended     {front.name} exit {front.process.returncode}")
    print(
        f"{front.name} ended {record.now_s() - stop_s:.2f} s after SIGTERM"
        f" with exit code {front.process.returncode}"
    )
    tasks += await sending
    await asyncio.gather(*(task for _, task in tasks))
    return check([sent for sent, _ in tasks], changed_s, front, stop_s)


def check(
    found: list[Sent], changed_s: float, front: fleets.Front, stop_s: float
) -> list[str]:
    """Returns what breaks CONFIG or LOST."""
    stale = [
        sent
        for sent in found
        if sent.at_s > changed_s + CONFIG_APPLY_S
        and NamedUpstream.service_by_id.get(sent.id) == OLD_SERVICE
    ]
    broken = []
    if stale:
        names = sorted({sent.front.name for sent in stale})
        broken.append(
            f"CONFIG: {len(stale)} requests were run by the old service, the"
            f" last {max(s.at_s for s in stale) - changed_s:.1f} s after the"
            f" acknowledgement, through {', '.join(names)}"
        )
    for sent in found:
        if (
            sent.front is front
            and not sent.status
            and sent.id in NamedUpstream.service_by_id
            and sent.at_s <= stop_s + 3.0
            and stop_s <= sent.ended_s <= stop_s + GRACE_S * 5.0 / 6.0
        ):
            broken.append(
                f"LOST: request {sent.id}, sent {sent.at_s - stop_s:+.2f} s"
                " from the SIGTERM and passed on, was cut at"
                f" {sent.ended_s - stop_s:+.2f} s without an answer"
            )
    return broken


if __name__ == "__main__":
    case.main(FOLDER, play, {"tayside": ["tay-a", "tay-a", "tay-b"]})
