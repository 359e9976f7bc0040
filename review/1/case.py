"""Second copies of "not executed" answers, late, while orders are retried."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import typing

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin_case as case  # noqa: E402
import standin_fleet as fleets  # noqa: E402
import standin_record as records  # noqa: E402
import standin_upstream as upstreams  # noqa: E402
import standin_wire as wire  # noqa: E402

SERVICE = "dispatch"
UPSTREAMS = 5
SLOTS = 6
QUEUE = 3
WORK_S = 0.25
# Orders a second; the upstreams can run 120.
RATE_PER_S = 140.0
LENGTH_S = 90.0
DEADLINE_MS = 12_000
# Limits of the disruption: garble, "extra late", in the site file.
SHARE = 0.6
EXTRA = 0.03
FOR_S = 5.0
GAP_S = 1.0
SETTLE_S = 4.0


class Faults:
    """When upstreams send second copies of their answers."""

    def __init__(self, *, has_trouble: bool, rng: random.Random) -> None:
        self.has_trouble = has_trouble
        self.rng = rng
        self.start_s = 0.0

    def strikes(self) -> bool:
        """Whether an answer that is sent now is sent a second time."""
        age_s = asyncio.get_running_loop().time() - self.start_s
        return (
            self.has_trouble
            and age_s % (FOR_S + GAP_S) < FOR_S
            and self.rng.random() < EXTRA
        )


class RepeatingUpstream(upstreams.Upstream):
    """Sends some answers twice.

    The second copy comes late: at the point where the next answer on the
    connection is expected, after its request has been read.
    """

    def __init__(
        self,
        *,
        faults: Faults | None,
        notes: records.Record,
        **options: typing.Any,
    ) -> None:
        super().__init__(record=notes, **options)
        self._faults = faults
        self._notes = notes
        self.answers = 0
        self.extras = 0
        self._copies: dict[asyncio.StreamWriter, bytes] = {}

    async def on_request(self, writer: asyncio.StreamWriter) -> None:
        """Sends a second copy of the answer before."""
        copy = self._copies.pop(writer, None)
        if copy is not None:
            self._notes.note(f"extra     from {self.id}")
            self.extras += 1
            writer.write(copy)

    async def send(
        self, message: wire.Message, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Sends an answer, and keeps some for a second copy."""
        self.answers += 1
        if self._faults is not None and self._faults.strikes():
            self._copies[writer] = data
        await super().send(message, data, writer)


async def order(
    fleet: fleets.Fleet, record: records.Record, number: int, ip: str
) -> None:
    """Sends one order on a new connection and reads its answer."""
    id = f"{number:08x}{random.getrandbits(32):08x}"
    record.sent(id, ip, "order")
    status, writer = 0, None
    try:
        reader, writer = await asyncio.open_connection(
            ip, fleet.ports["front"]
        )
        writer.write(
            wire.request(
                "POST",
                f"/book/{number}",
                "shop.example",
                {
                    wire.PREFIX + "Request-Id": id,
                    wire.PREFIX + "Request-Deadline": str(DEADLINE_MS),
                    "Content-Type": "application/octet-stream",
                },
                b"b" * 1200,
            )
        )
        found = await asyncio.wait_for(
            wire.read_message(reader), DEADLINE_MS / 1000.0
        )
        status = found.status
    except (OSError, EOFError, asyncio.TimeoutError):
        pass
    finally:
        record.answered(id, status)
        if writer is not None:
            writer.close()


async def play(
    fleet: fleets.Fleet, record: records.Record, has_trouble: bool
) -> list[str]:
    """Sends orders beyond the capacity while copies of answers come late."""
    rng = random.Random()
    faults = Faults(has_trouble=has_trouble, rng=rng)
    zones = list(fleet.regions_by_zone)
    found = [
        RepeatingUpstream(
            faults=faults if number < int(SHARE * UPSTREAMS) else None,
            notes=record,
            store=fleet.store,
            service=SERVICE,
            zone=zones[number % len(zones)],
            address=(fleet.ip(2, number + 1), fleet.port),
            slots=SLOTS,
            queue=QUEUE,
            work_s=lambda message: WORK_S * rng.uniform(0.7, 1.3),
        )
        for number in range(UPSTREAMS)
    ]
    for upstream in found:
        await upstream.start()
    fleet.store.put(
        "config",
        "main",
        fleets.configuration(
            [SERVICE],
            [
                {
                    "name": "r-book",
                    "path_prefix": "/book/",
                    "kind": "unsafe",
                    "timeout_ms": 6000,
                    "target_latency_ms": 2000,
                    "priority": 1,
                    "service": SERVICE,
                    "max_attempts": 1,
                }
            ],
        ),
    )
    await fleet.start_all()
    await asyncio.sleep(5.0)
    loop = asyncio.get_running_loop()
    faults.start_s = loop.time()
    tasks = []
    next_s = loop.time()
    while loop.time() < faults.start_s + LENGTH_S:
        next_s += rng.expovariate(RATE_PER_S)
        await asyncio.sleep(max(0.0, next_s - loop.time()))
        ip = rng.choice(fleet.fronts).ip
        tasks.append(
            asyncio.ensure_future(order(fleet, record, len(tasks), ip))
        )
    await asyncio.wait(tasks, timeout=DEADLINE_MS / 1000.0)
    await asyncio.sleep(SETTLE_S)
    for upstream in found:
        record.note(
            f"upstream  {upstream.id} answers={upstream.answers}"
            f" extras={upstream.extras}"
        )
    return check(record)


def check(record: records.Record) -> list[str]:
    """Returns what breaks TWICE or REFUSED."""
    found = []
    statuses = list(record.status_by_id.values())
    print({status: statuses.count(status) for status in set(statuses)})
    for id, runs in record.runs_by_id.items():
        if len(runs) > 1:
            found.append(f"TWICE: order {id} ran {len(runs)} times")
        if record.status_by_id.get(id) in (408, 421, 429, 503):
            found.append(
                f"REFUSED: order {id} was answered"
                f" {record.status_by_id[id]} and ran {len(runs)} times"
            )
    return found


if __name__ == "__main__":
    ZONES = ["tay-a"] * 3 + ["tay-b"] * 3
    case.main(FOLDER, play, {"tayside": ZONES})
