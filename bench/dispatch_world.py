"""One dispatch process with fake targets on the virtual loop."""

from __future__ import annotations

import asyncio
import collections.abc
import itertools
import random
import typing

from bench import fake_store
from bench import fake_targets
from bench import paused_clock
from bench import plain_health
from bench import process_gate
from bench import virtual_loop
from fuchsiacourse import config_table
from fuchsiacourse import dispatch_service
from fuchsiacourse import fleet_pb2
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import metrics as metric_tables
from fuchsiacourse import platform_model
from fuchsiacourse import service_file
from fuchsiacourse import settings as settings_files
from fuchsiacourse import shard as shards
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_service

# Warm-up in seconds; longer than dispatch waits for reports on new targets.
_WARM_UP_S = 0.6
REGION = "tayside"
SERVICE = "larder"
LOOKUP = service_file.RequestKind(
    name="lookup",
    method="GET",
    path_prefix="/lookup",
    idempotent=True,
    worth=1.0,
    deadline_ms=1000,
    length=service_file.Length.SHORT,
    expected_ms=50,
)
SEARCH = service_file.RequestKind(
    name="search",
    method="GET",
    path_prefix="/search",
    idempotent=True,
    worth=2.0,
    deadline_ms=3000,
    length=service_file.Length.LONG,
    expected_ms=150,
)
BOOKING = service_file.RequestKind(
    name="booking",
    method="POST",
    path_prefix="/booking",
    idempotent=False,
    worth=5.0,
    deadline_ms=3000,
    length=service_file.Length.SHORT,
    expected_ms=50,
)
KINDS = (LOOKUP, SEARCH, BOOKING)


def service(
    *,
    targets: int = 2,
    slots: int = 3,
    kinds: collections.abc.Sequence[service_file.RequestKind] = KINDS,
    connection_limit: int = 400,
) -> service_file.ServiceFile:
    """Returns a service with targets at fictitious addresses."""
    return service_file.ServiceFile(
        service=SERVICE,
        targets=[
            service_file.Target(
                id=f"target-{number}",
                address=f"10.0.0.{number}:80",
                availability_zone=("tay-a", "tay-b")[number % 2],
                region=REGION,
                slots=slots,
                connection_limit=connection_limit,
            )
            for number in range(1, targets + 1)
        ],
        floor_slots=1,
        kinds=list(kinds),
    )


def member(id: str, *, port: int) -> member_rows.Member:
    """Returns a dispatch member of ``REGION``."""
    return member_rows.Member(
        id=id,
        role=member_tables.DISPATCH,
        host="10.0.1.1",
        availability_zone="tay-a",
        region=REGION,
        gossip_address=f"10.0.1.1:{port}",
        rpc_address=f"10.0.1.1:{port + 1}",
    )


def leaving_host(target: service_file.Target) -> stores.HostRecord:
    """Returns the host list's record of a leaving target."""
    return stores.HostRecord(
        host=target.address.partition(":")[0],
        availability_zone=target.availability_zone,
        region=target.region,
        leaving=True,
        address=target.address,
    )


def other_owner(members: member_tables.Members) -> member_rows.Member:
    """Adds a member that becomes the shard's owner, and returns it."""
    numbers = itertools.count()
    while True:
        other = member(f"other-{next(numbers)}", port=7100)
        members.by_id[other.id] = other
        if members.owner(SERVICE, REGION) is other:
            members.notify(other)
            return other
        del members.by_id[other.id]


class DispatchWorld:
    """A dispatch service with fake targets, store and membership.

    Create it inside a running virtual loop.

    Args:
        seed: Seed of every random choice.
        file: The only service; by default ``service()``.
        mean_s_by_prefix: Mean run times in seconds by path prefix; by
            default the kinds' expected run times.
        straggler_share: Share of requests that run 30 times longer.
        overrides: Settings that differ from their defaults.
        with_detection: Whether to use the real failure detection; by
            default ``PlainHealth``, which never ejects.
    """

    def __init__(
        self,
        *,
        seed: int = 1,
        file: service_file.ServiceFile | None = None,
        mean_s_by_prefix: dict[str, float] | None = None,
        straggler_share: float = 0.0,
        overrides: dict[str, typing.Any] | None = None,
        with_detection: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.gate = process_gate.ProcessGate()
        self.clock = paused_clock.PausedClock(gate=self.gate)
        self.file = file or service()
        self.broken: list[tuple[str, dict[str, typing.Any]]] = []
        self.invariants = invariant_checks.Invariants(
            log=logs.silent(),
            on_broken=lambda id, evidence: self.broken.append(
                (id.value, evidence)
            ),
        )
        self.failures: list[Exception] = []
        self.timers = timer_service.Timers(
            clock=self.clock, rng=self.rng, on_error=self.failures.append
        )
        self.config = config_table.ConfigTable(invariants=self.invariants)
        self.config.adopt(1, {self.file.service: self.file})
        self.members = member_tables.Members(
            self_row=member("self", port=7000)
        )
        self.targets = fake_targets.FakeTargets(
            clock=virtual_loop.VirtualClock(),
            gate=self.gate,
            rng=random.Random(seed + 1),
            run_time=fake_targets.exponential_by_prefix(
                mean_s_by_prefix
                or {
                    kind.path_prefix: kind.expected_ms / 1000.0
                    for kind in self.file.kinds
                }
            ),
            straggler_share=straggler_share,
        )
        for target in self.file.targets:
            self.targets.add(target.address, slots=target.slots)
        self.platform = platform_model.PlatformModel(clock=self.clock)
        self.store = fake_store.FakeStore(
            platform=self.platform,
            clock=self.clock,
            timers=self.timers,
            rng=self.rng,
        )
        self.metrics = metric_tables.Metrics(program="dispatch")
        self.dispatch = dispatch_service.DispatchService(
            settings=_settings(overrides or {}),
            clock=self.clock,
            timers=self.timers,
            rng=random.Random(seed + 2),
            members=self.members,
            config=self.config,
            target_client=self.targets,
            store=self.store,
            invariants=self.invariants,
            log=logs.silent(),
            metrics=self.metrics,
            health_factory=None if with_detection else _plain_health,
        )
        self.dispatch.start()
        self._requests = 0

    def target(self, number: int) -> fake_targets.FakeTarget:
        """Returns a fake target by its number, starting with 1."""
        address = self.file.targets[number - 1].address
        return self.targets.targets_by_address[address]

    def request(
        self,
        kind: service_file.RequestKind = LOOKUP,
        *,
        id: str = "",
        deadline_ms: int = 0,
        hops: int = 0,
        body: bytes = b"",
    ) -> fleet_pb2.ExecuteRequest:
        """Returns a request of a kind."""
        self._requests += 1
        return fleet_pb2.ExecuteRequest(
            request_id=id or f"entry-{self._requests}",
            service=self.file.service,
            kind=kind.name,
            region=REGION,
            method=kind.method,
            path=f"{kind.path_prefix}/{self._requests}",
            body=body,
            deadline_ms=deadline_ms or kind.deadline_ms,
            attempt=1,
            fingerprint=f"print-{self._requests}",
            hops=hops,
        )

    def execute(
        self, request: fleet_pb2.ExecuteRequest
    ) -> asyncio.Task[fleet_pb2.ExecuteReply]:
        """Starts an Execute call and returns its task."""
        return asyncio.ensure_future(self.dispatch.execute(request))

    async def warm_up(self) -> None:
        """Creates the shard's tables and waits for its targets' reports."""
        await self.execute(self.request())
        await asyncio.sleep(_WARM_UP_S)
        self.targets.clear_records()

    async def withdraw(self, request: fleet_pb2.ExecuteRequest) -> str:
        """Withdraws a request and returns the reply's outcome."""
        reply = await self.dispatch.withdraw(
            fleet_pb2.WithdrawRequest(
                request_id=request.request_id,
                service=request.service,
                region=request.region,
            )
        )
        return reply.outcome

    def close(self) -> None:
        """Closes the timers."""
        self.timers.close()


def _plain_health(shard: shards.Shard) -> plain_health.PlainHealth:
    return plain_health.PlainHealth(shard=shard)


def _settings(
    overrides: dict[str, typing.Any],
) -> settings_files.DispatchSettings:
    return settings_files.DispatchSettings.model_validate(
        {
            "program": "dispatch",
            "host": "10.0.1.1",
            "availability_zone": "tay-a",
            "region": REGION,
            "gossip_address": "10.0.1.1:7000",
            "rpc_address": "10.0.1.1:7001",
            "status_address": "10.0.1.1:7002",
            "deployment_key": "0123456789abcdef",
            "platform": {"url": "http://10.0.2.1:80"},
            **overrides,
        }
    )
