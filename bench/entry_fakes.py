"""Entries with an in-memory network and dispatch that records runs."""

from __future__ import annotations

import asyncio
import collections
import random
import typing

from bench import virtual_loop
from fuchsiacourse import body_digest
from fuchsiacourse import caller_request
from fuchsiacourse import config_table
from fuchsiacourse import entry_service
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import idempotency_key
from fuchsiacourse import identity
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import peers
from fuchsiacourse import service_file
from fuchsiacourse import settings as setting_models
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services
from fuchsiacourse import verdict as verdicts

REGIONS = {"tayside": "tay-a", "lothian": "lot-a"}
SERVICE = "larder"


def service(**changes: typing.Any) -> service_file.ServiceFile:
    """Returns a service with a lookup and a booking in two regions."""
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


class MemoryStore(stores.Store):
    """Objects in memory; the next errors of each call can be set."""

    def __init__(self) -> None:
        self.objects_by_key: dict[str, stores.StoredObject] = {}
        self.errors_by_call: dict[str, list[Exception]] = {}
        # Whether a write whose reply is lost takes effect.
        self.takes_effect = True
        self._revision = 0

    def _error(self, call: str) -> Exception | None:
        pending = self.errors_by_call.get(call)
        return pending.pop(0) if pending else None

    async def get(self, key: str) -> stores.StoredObject | None:
        """Returns an object or None."""
        error = self._error("get")
        if error is not None:
            raise error
        return self.objects_by_key.get(key)

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object."""
        error = self._error("put")
        if error is not None and not (
            isinstance(error, errors.StoreUnsure) and self.takes_effect
        ):
            raise error
        found = self.objects_by_key.get(key)
        version = found.version if found is not None else 0
        if if_version is not None and if_version != version:
            raise errors.VersionConflict(key)
        self._revision += 1
        self.objects_by_key[key] = stores.StoredObject(
            key=key, value=value, version=self._revision
        )
        if error is not None:
            raise error
        return self._revision

    async def delete(self, key: str, *, if_version: int | None) -> None:
        """Deletes an object."""
        self.objects_by_key.pop(key, None)

    async def list(self, prefix: str) -> list[stores.StoredObject]:
        """Not used by entries."""
        raise NotImplementedError

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> stores.WatchBatch:
        """Not used by entries."""
        raise NotImplementedError

    async def hosts(self) -> list[stores.HostRecord]:
        """Not used by entries."""
        raise NotImplementedError


class FakeDispatch:
    """Dispatch process that keeps its own record of what ran.

    A request waits ``queue_s``, runs for ``run_s`` and is answered with
    its own body.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.queue_s = (0.0, 0.0)
        self.run_s = (0.02, 0.02)
        # Refusals of the next requests, then of a share of all.
        self.refusals: list[str] = []
        self.refusal_share = 0.0
        self.owner = ""
        self.status = 200
        # Changes the next replies before they are sent.
        self.corrupt: typing.Callable[[typing.Any], None] | None = None
        self.runs_by_body: collections.Counter[bytes] = collections.Counter()
        self.requests: list[fleet_pb2.ExecuteRequest] = []
        self._state_by_id: dict[str, str] = {}

    async def execute(
        self, request: fleet_pb2.ExecuteRequest
    ) -> fleet_pb2.ExecuteReply:
        """Runs a request once."""
        self.requests.append(request)
        known = self._state_by_id.get(request.request_id)
        if known == "withdrawn":
            return self._refuse(request, "withdrawn")
        if known is not None:
            return self._refuse(request, "duplicate")
        refusal = self._next_refusal()
        if refusal:
            return self._refuse(request, refusal)
        self._state_by_id[request.request_id] = "queued"
        await asyncio.sleep(self._rng.uniform(*self.queue_s))
        if self._state_by_id[request.request_id] == "withdrawn":
            return self._refuse(request, "withdrawn")
        self._state_by_id[request.request_id] = "started"
        self.runs_by_body[request.body] += 1
        await asyncio.sleep(self._rng.uniform(*self.run_s))
        reply = fleet_pb2.ExecuteReply(
            request_id=request.request_id,
            verdict=fleet_pb2.RAN,
            status=self.status,
            body=request.body,
            body_digest=body_digest.digest(request.body),
        )
        if self.corrupt is not None:
            self.corrupt(reply)
        return reply

    async def withdraw(
        self, request: fleet_pb2.WithdrawRequest
    ) -> fleet_pb2.WithdrawReply:
        """Withdraws a request that has not started."""
        outcome = self._state_by_id.get(request.request_id, "queued")
        if outcome != "started":
            outcome = "withdrawn"
            self._state_by_id[request.request_id] = outcome
        return fleet_pb2.WithdrawReply(
            request_id=request.request_id, outcome=outcome
        )

    def _next_refusal(self) -> str:
        if self.refusals:
            return self.refusals.pop(0)
        if self._rng.random() < self.refusal_share:
            return self._rng.choice(
                ["draining", "overload", "no_target", "not_owner"]
            )
        return ""

    def _refuse(
        self, request: fleet_pb2.ExecuteRequest, refusal: str
    ) -> fleet_pb2.ExecuteReply:
        return fleet_pb2.ExecuteReply(
            request_id=request.request_id,
            verdict=fleet_pb2.NOT_RUN,
            refusal=refusal,
            owner=self.owner,
            retry_after_ms=100,
        )


class Network:
    """Processes by address, with losses and delays."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.processes_by_address: dict[str, typing.Any] = {}
        self.unreachable: set[str] = set()
        self.delay_s = (0.001, 0.001)
        self.unreachable_share = 0.0
        self.request_loss_share = 0.0
        self.reply_loss_share = 0.0
        self.reset_share = 0.0
        # Losses of the next calls by name: "unreachable", "request",
        # "reply" or "reset"; an empty text loses nothing.
        self.losses_by_call: dict[str, list[str]] = {}
        self.calls: list[tuple[str, str]] = []

    async def call(
        self, address: str, name: str, request: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Calls a process; what it does goes on if the call ends."""
        self.calls.append((name, address))
        loss = self._loss(name)
        if loss == "unreachable" or address in self.unreachable:
            raise errors.PeerUnreachable(address)
        try:
            async with asyncio.timeout(timeout_s):
                await self._leg(loss == "request")
                copy = type(request).FromString(request.SerializeToString())
                process = self.processes_by_address[address]
                call = asyncio.ensure_future(getattr(process, name)(copy))
                if loss == "reset":
                    # The request has arrived; its connection breaks soon.
                    await self._leg(False)
                    raise errors.PeerUnsure(address)
                reply = await asyncio.shield(call)
                await self._leg(loss == "reply")
                return type(reply).FromString(reply.SerializeToString())
        except TimeoutError:
            raise errors.PeerUnsure(address) from None

    async def _leg(self, is_lost: bool) -> None:
        await asyncio.sleep(self._rng.uniform(*self.delay_s))
        if is_lost:
            await asyncio.sleep(3600)

    def _loss(self, name: str) -> str:
        pending = self.losses_by_call.get(name)
        if pending:
            return pending.pop(0)
        draw = self._rng.random()
        for loss, share in (
            ("unreachable", self.unreachable_share),
            ("request", self.request_loss_share),
            ("reply", self.reply_loss_share),
            ("reset", self.reset_share),
        ):
            if draw < share:
                return loss
            draw -= share
        return ""


class NetworkPeers(peers.Peers):
    """One process's calls over the network."""

    def __init__(self, *, network: Network) -> None:
        self._network = network

    async def execute(self, address, request, *, timeout_s):
        """Calls a dispatch process."""
        return await self._network.call(address, "execute", request, timeout_s)

    async def withdraw(self, address, request, *, timeout_s):
        """Calls a dispatch process."""
        return await self._network.call(
            address, "withdraw", request, timeout_s
        )

    async def relay(self, address, request, *, timeout_s):
        """Calls an entry."""
        return await self._network.call(address, "relay", request, timeout_s)

    async def hand_over(self, address, request, *, timeout_s):
        """Calls an entry."""
        return await self._network.call(
            address, "hand_over", request, timeout_s
        )

    async def fetch_config(self, address, request, *, timeout_s):
        """Not used by entries."""
        raise NotImplementedError


class EntryFleet:
    """Entries and dispatch processes on one virtual loop.

    Args:
        entries: Entries in the region tayside.
        dispatchers: Dispatch processes in each region.
        seed: Seed of all randomness.
        service_changes: Changed fields of the service file.
        **entry_settings: Changed settings of the entries.
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
        self.network = Network(rng=self.rng)
        self.store = MemoryStore()
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
            FakeDispatch(rng=self.rng) for _ in self.dispatch_rows
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
        """Runs at all dispatch processes by request body."""
        return sum(
            (process.runs_by_body for process in self.dispatchers),
            collections.Counter(),
        )

    def gossip(self, row: member_rows.Member) -> None:
        """Tells every entry of a row, as gossip would."""
        for table in self.tables:
            table.by_id[row.id] = row
            if table.self is not row:
                table.notify(row)

    def key(self, entry: int = 0, number: int = 0) -> str:
        """Returns a key of a new block of an entry."""
        listed = self.entries[entry].address_list("")
        return f"{listed.keys.prefix}-{number}"

    async def book(
        self, key: str, *, entry: int = 0, **fields: typing.Any
    ) -> caller_request.CallerAnswer:
        """Sends a booking whose body is its key unless given."""
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
        """Sends a lookup."""
        request = caller_request.CallerRequest(
            **{"method": "GET", "path": "/larder", "body": b"?", **fields}
        )
        return await self.entries[entry].handle(request)

    def _row(
        self, role: str, number: int, *, region: str = "tayside"
    ) -> member_rows.Member:
        place = list(REGIONS).index(region)
        ip = f"127.0.{place + (10 if role == 'entry' else 20)}.{number + 1}"
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
            peers=NetworkPeers(network=self.network),
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
    """Runs a scenario on a fleet of its own.

    Args:
        scenario: Coroutine function that is given the fleet.
        settle_s: Time for what goes on after the scenario.
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


def told(
    answer: caller_request.CallerAnswer,
) -> tuple[int, verdicts.Verdict]:
    """Returns status and verdict of an answer."""
    return answer.status, answer.verdict
