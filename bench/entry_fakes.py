"""Entry processes on an in-memory network with a recording dispatch."""

from __future__ import annotations

import asyncio
import collections
import random
import typing

from bench import entry_network
from bench import memory_store
from bench import recording_dispatch
from bench import virtual_loop
from fuchsiacourse import caller_request
from fuchsiacourse import config_table
from fuchsiacourse import entry_service
from fuchsiacourse import idempotency_key
from fuchsiacourse import identity
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import service_file
from fuchsiacourse import settings as setting_models
from fuchsiacourse import timers as timer_services
from fuchsiacourse import verdict as verdicts

REGIONS = {"tayside": "tay-a", "lothian": "lot-a"}
SERVICE = "larder"


def service(**changes: typing.Any) -> service_file.ServiceFile:
    """Returns a service in two regions with a lookup and a booking.

    Args:
        **changes: Fields of the service file to replace.
    """
    content: dict[str, typing.Any] = {
        "service": SERVICE,
        "targets": [
            {
                "id": f"{SERVICE}-{region}",
                "address": f"127.0.0.1:{9000 + number}",
                "availability_zone": zone,
                "region": region,
                "slots": 3,
                "connection_limit": 400,
            }
            for number, (region, zone) in enumerate(REGIONS.items())
        ],
        "floor_slots": 2,
        "kinds": [
            _kind("lookup", "GET", idempotent=True, worth=1.0),
            _kind("book", "POST", idempotent=False, worth=5.0),
        ],
    }
    return service_file.ServiceFile.model_validate({**content, **changes})


def _kind(
    name: str, method: str, *, idempotent: bool, worth: float
) -> dict[str, typing.Any]:
    return {
        "name": name,
        "method": method,
        "path_prefix": "/larder",
        "idempotent": idempotent,
        "worth": worth,
        "deadline_ms": 1000,
        "length": "short",
    }


class EntryFleet:
    """Entries and dispatch processes on one virtual event loop.

    Args:
        entries: Number of entries in the region tayside.
        dispatchers: Number of dispatch processes in each region.
        seed: Seed of all randomness.
        service_changes: Fields of the service file to replace.
        **entry_settings: Settings of the entries to replace.

    Attributes:
        broken: Broken invariants and their evidence.
        failures: Exceptions of background tasks.
    """

    def __init__(
        self,
        *,
        entries: int = 1,
        dispatchers: int = 1,
        seed: int = 1,
        service_changes: dict[str, typing.Any] | None = None,
        **entry_settings: typing.Any,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = virtual_loop.VirtualClock()
        self.network = entry_network.Network(rng=self.rng)
        self.store = memory_store.MemoryStore()
        self.broken: list[typing.Any] = []
        self.failures: list[Exception] = []
        self.invariants = invariant_checks.Invariants(
            log=logs.silent(),
            on_broken=lambda id, evidence: self.broken.append((id, evidence)),
        )
        self.config = config_table.ConfigTable(invariants=self.invariants)
        self.config.adopt(1, {SERVICE: service(**(service_changes or {}))})
        self.timers = timer_services.Timers(
            clock=self.clock, rng=self.rng, on_error=self.failures.append
        )
        self.entry_rows = [self._row("entry", i) for i in range(entries)]
        self.dispatch_rows = [
            self._row("dispatch", i, region=region)
            for region in REGIONS
            for i in range(dispatchers)
        ]
        self.dispatchers = [
            recording_dispatch.FakeDispatch(rng=self.rng)
            for _ in self.dispatch_rows
        ]
        self.tables = [self._table(row) for row in self.entry_rows]
        self.entries = [
            self._entry(table, entry_settings) for table in self.tables
        ]
        for row, process in zip(
            [*self.entry_rows, *self.dispatch_rows],
            [*self.entries, *self.dispatchers],
        ):
            self.network.processes_by_address[row.rpc_address] = process

    @property
    def runs_by_body(self) -> collections.Counter[bytes]:
        """Number of runs at all dispatch processes by request body."""
        return sum(
            (process.runs_by_body for process in self.dispatchers),
            collections.Counter(),
        )

    def gossip(self, row: member_rows.Member) -> None:
        """Applies a row to every member table, as gossip would."""
        for table in self.tables:
            table.by_id[row.id] = row
            if table.self is not row:
                table.notify(row)

    def key(self, entry: int = 0, number: int = 0) -> str:
        """Returns a key from a new block of an entry.

        Args:
            entry: Index of the entry that issues the block.
            number: Number of the key within the block.
        """
        listed = self.entries[entry].address_list("")
        return f"{listed.keys.prefix}-{number}"

    async def book(
        self, key: str, *, entry: int = 0, **fields: typing.Any
    ) -> caller_request.CallerAnswer:
        """Sends a booking and returns its answer.

        Args:
            key: Idempotency key, by default also the body.
            entry: Index of the entry to send to.
            **fields: Fields of the request to replace.
        """
        request = caller_request.CallerRequest(
            **{
                "method": "POST",
                "path": "/larder",
                "body": key.encode(),
                "key": key,
                "attempt": 1,
                "account": "glen",
                **fields,
            }
        )
        return await self.entries[entry].handle(request)

    async def look_up(
        self, *, entry: int = 0, **fields: typing.Any
    ) -> caller_request.CallerAnswer:
        """Sends a lookup and returns its answer.

        Args:
            entry: Index of the entry to send to.
            **fields: Fields of the request to replace.
        """
        request = caller_request.CallerRequest(
            **{"method": "GET", "path": "/larder", "body": b"?", **fields}
        )
        return await self.entries[entry].handle(request)

    def _row(
        self, role: str, number: int, *, region: str = "tayside"
    ) -> member_rows.Member:
        index = list(REGIONS).index(region)
        ip = f"127.0.{index + (10 if role == 'entry' else 20)}.{number + 1}"
        return member_rows.Member(
            id=identity.new_incarnation(
                rng=self.rng, wall_s=virtual_loop.START_WALL_S
            ),
            role=role,
            host=ip,
            availability_zone=REGIONS[region],
            region=region,
            gossip_address=f"{ip}:7946",
            rpc_address=f"{ip}:7947",
            http_address=f"{ip}:8080" if role == "entry" else "",
        )

    def _table(self, row: member_rows.Member) -> member_tables.Members:
        table = member_tables.Members(self_row=row)
        for other in [*self.entry_rows, *self.dispatch_rows]:
            table.by_id[other.id] = other
        return table

    def _entry(
        self,
        table: member_tables.Members,
        changes: dict[str, typing.Any],
    ) -> entry_service.EntryService:
        row = table.self
        settings = setting_models.EntrySettings.model_validate(
            {
                "program": "entry",
                "host": row.host,
                "availability_zone": row.availability_zone,
                "region": row.region,
                "gossip_address": row.gossip_address,
                "rpc_address": row.rpc_address,
                "status_address": f"{row.host}:9090",
                "http_address": row.http_address,
                "deployment_key": "entry-fleet-test-key",
                "platform": {"url": "http://127.0.0.1:8500"},
                **changes,
            }
        )
        return entry_service.EntryService(
            settings=settings,
            clock=self.clock,
            timers=self.timers,
            rng=self.rng,
            members=table,
            config=self.config,
            peers=entry_network.NetworkPeers(network=self.network),
            store=self.store,
            invariants=self.invariants,
            log=logs.silent(),
        )


def run_fleet(
    scenario: typing.Callable[[EntryFleet], typing.Awaitable[typing.Any]],
    *,
    settle_s: float = 100.0,
    **options: typing.Any,
) -> typing.Any:
    """Runs a scenario on a new fleet and checks the invariants.

    Args:
        scenario: Coroutine function that is called with the fleet.
        settle_s: Seconds for background work after the scenario.
        **options: Options of the fleet.

    Returns:
        The scenario's result.

    Raises:
        AssertionError: An invariant broke, a background task failed or a
            booking ran twice.
    """

    async def main() -> typing.Any:
        fleet = EntryFleet(**options)
        result = await scenario(fleet)
        await asyncio.sleep(settle_s)
        faults = [*fleet.broken, *fleet.failures]
        faults += [
            f"{body!r} ran {runs} times"
            for body, runs in fleet.runs_by_body.items()
            if body.startswith(idempotency_key.PREFIX.encode()) and runs > 1
        ]
        if faults:
            raise AssertionError(faults)
        return result

    return virtual_loop.run(main())


def status_and_verdict(
    answer: caller_request.CallerAnswer,
) -> tuple[int, verdicts.Verdict]:
    """Returns the status and the verdict of an answer."""
    return answer.status, answer.verdict
