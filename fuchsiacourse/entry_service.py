"""Service of an entry: answers callers and the relays of other entries."""

from __future__ import annotations

import random
import typing

from fuchsiacourse import account_limits
from fuchsiacourse import account_owners
from fuchsiacourse import address_list
from fuchsiacourse import burn_counters
from fuchsiacourse import caller_request
from fuchsiacourse import claims as claim_records
from fuchsiacourse import clock as clocks
from fuchsiacourse import config_table
from fuchsiacourse import entry_stop
from fuchsiacourse import errors
from fuchsiacourse import execution as executions
from fuchsiacourse import executor as executors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import hand_over as hand_overs
from fuchsiacourse import invariants as invariant_checks
from fuchsiacourse import key_blocks
from fuchsiacourse import keyed_runs
from fuchsiacourse import ledger as ledgers
from fuchsiacourse import ledger_seal
from fuchsiacourse import logs
from fuchsiacourse import members as member_tables
from fuchsiacourse import metrics as metric_sets
from fuchsiacourse import owner_ranking
from fuchsiacourse import peers as peer_ports
from fuchsiacourse import problem
from fuchsiacourse import region_choice
from fuchsiacourse import relays as relay_calls
from fuchsiacourse import request_events
from fuchsiacourse import settings as setting_models
from fuchsiacourse import store as stores
from fuchsiacourse import timers as timer_services
from fuchsiacourse import verdict as verdicts

CLAIM_DELETION_INTERVAL_S = 60.0


class EntryService:
    """Answers requests of callers and of other entries.

    It must be constructed within a running event loop, because it starts a
    timer.

    Args:
        settings: Settings of the entry program.
        clock: Source of time.
        timers: Timer service; owns runs, which outlive their callers.
        rng: Source of randomness.
        members: Member table.
        config: Configuration in force.
        peers: Client for calls to other processes.
        store: Platform's object API.
        invariants: Run-time checks of the guarantees.
        log: Logger.
        metrics: Metrics of the process; by default none.

    Attributes:
        burn: Counters of answers, from which error budgets are reported.
    """

    def __init__(
        self,
        *,
        settings: setting_models.EntrySettings,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        members: member_tables.Members,
        config: config_table.ConfigTable,
        peers: peer_ports.Peers,
        store: stores.Store,
        invariants: invariant_checks.Invariants,
        log: typing.Any,
        metrics: metric_sets.Metrics | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._members = members
        self._config = config
        self._log = log
        self._metrics = metrics
        self._in_flight = 0
        self._request_count = 0
        self._limits = account_limits.AccountLimits(clock=clock)
        self.burn = burn_counters.BurnCounters(clock=clock)
        self._seal = ledger_seal.LedgerSeal()
        self._ledger = ledgers.Ledger(
            clock=clock,
            invariants=invariants,
            max_records=settings.ledger_max_records,
            max_bytes=settings.ledger_max_bytes,
            max_answer_bytes=settings.ledger_max_answer_bytes,
        )
        self._blocks = key_blocks.KeyBlocks(
            incarnation=members.self.id,
            clock=clock,
            block_size=settings.key_block_size,
            lifetime_s=settings.key_block_lifetime_s,
        )
        self._account_owners = account_owners.AccountOwners(
            members=members, count=settings.entries_per_account
        )
        self._executor = executors.Executor(
            clock=clock,
            members=members,
            owners=owner_ranking.OwnerRanking(members=members),
            peers=peers,
            regions=region_choice.RegionChoice(
                clock=clock,
                region=settings.region,
                spill_bytes_per_s=settings.spill_bytes_per_s,
            ),
            invariants=invariants,
            log=log,
        )
        claims = claim_records.Claims(
            clock=clock,
            store=store,
            incarnation=members.self.id,
            address=settings.http_address,
            writes_per_s=settings.claim_writes_per_s,
            lifetime_s=settings.claim_lifetime_s,
            log=log,
        )
        self._keyed_runs = keyed_runs.KeyedRuns(
            clock=clock,
            timers=timers,
            ledger=self._ledger,
            blocks=self._blocks,
            claims=claims,
            relays=relay_calls.Relays(
                clock=clock, members=members, peers=peers, log=log
            ),
            executor=self._executor,
            seal=self._seal,
            invariants=invariants,
        )
        self._stop = entry_stop.EntryStop(
            settings=settings,
            clock=clock,
            members=members,
            sender=hand_overs.HandOverSender(
                clock=clock,
                rng=rng,
                members=members,
                peers=peers,
                ledger=self._ledger,
                blocks=self._blocks,
                log=log,
            ),
            seal=self._seal,
            runs=lambda: self._ledger.in_progress,
            in_flight=lambda: self._in_flight,
            invariants=invariants,
            log=log,
        )
        self._receiver = hand_overs.HandOverReceiver(
            clock=clock,
            ledger=self._ledger,
            blocks=self._blocks,
            seal=self._seal,
            log=log,
        )
        timers.on_pause(self._log_pause)
        timers.every(
            CLAIM_DELETION_INTERVAL_S, claims.delete_expired, jitter=0.2
        )

    @property
    def in_flight(self) -> int:
        """Number of requests and relays in progress."""
        return self._in_flight

    async def handle(
        self, request: caller_request.CallerRequest
    ) -> caller_request.CallerAnswer:
        """Answers a caller's request.

        Args:
            request: The caller's request.

        Returns:
            The target's complete answer, or a refusal with its verdict.
        """
        arrived_at = self._clock.now()
        self._request_count += 1
        if not request.request_id:
            request.request_id = (
                f"{self._members.self.id}-c{self._request_count}"
            )
        answer = await self._answer(request, hops=0)
        self._record_answer(request, answer, self._clock.now() - arrived_at)
        return answer

    async def relay(
        self, message: fleet_pb2.RelayRequest
    ) -> fleet_pb2.RelayReply:
        """Answers a keyed request that another entry relays."""
        request = relay_calls.to_request(message)
        answer = await self._answer(request, hops=max(1, message.hops))
        return relay_calls.to_reply(message.relay_id, answer)

    async def hand_over(
        self, request: fleet_pb2.HandOverRequest
    ) -> fleet_pb2.HandOverReply:
        """Receives one part of a stopping entry's ledger."""
        return self._receiver.receive(request)

    def address_list(self, account: str) -> address_list.AddressList:
        """Returns the entries that a caller should use and new keys.

        Args:
            account: Account of the caller; empty if none was given.

        Raises:
            RequestRefused: The entry is stopping and issues no keys.
        """
        if self._seal.is_sealed:
            raise errors.RequestRefused(
                verdict=verdicts.Verdict.NOT_RUN,
                status=503,
                title="Entry is stopping",
                retry_after_s=1.0,
            )
        return address_list.AddressList(
            entries=address_list.choose_entries(
                self._account_owners,
                account,
                own=self._members.self,
                rng=self._rng,
            ),
            ttl_s=self._settings.address_list_ttl_s,
            keys=self._blocks.issue(),
            issuer=self._settings.http_address,
        )

    def refuse(
        self, error: errors.RequestRefused, *, request_id: str = ""
    ) -> caller_request.CallerAnswer:
        """Returns the answer for a refusal.

        Args:
            error: The refusal. A block of new keys is added if it offers
                keys and this entry still issues them.
            request_id: Identifier of the caller's request to echo.
        """
        keys = None
        if error.offer_keys and not self._seal.is_sealed:
            keys = self._blocks.issue()
        answer = problem.answer(error, keys=keys)
        answer.request_id = request_id
        return answer

    def refresh_metrics(self) -> None:
        """Sets the gauges; must be called before the metrics are read."""
        if self._metrics is None:
            return
        gauge = self._metrics.gauge
        gauge("entry_in_flight", "Requests being answered.", self._in_flight)
        gauge("entry_ledger_records", "Ledger records.", len(self._ledger))
        gauge("entry_ledger_bytes", "Ledger size.", self._ledger.size_bytes)

    async def drain(self) -> None:
        """Drains and hands the ledger over; the process may exit then."""
        await self._stop.run()

    async def _answer(
        self, request: caller_request.CallerRequest, *, hops: int
    ) -> caller_request.CallerAnswer:
        self._in_flight += 1
        try:
            answer = await self._execute_request(request, hops)
        except errors.RequestRefused as error:
            # A key answered not-run can't be used again; offer new ones.
            if request.key and error.verdict is verdicts.Verdict.NOT_RUN:
                error.offer_keys = True
            route = self._find_route(request)
            name = "" if route is None else route.service.service
            request_events.entry_refused(self._log, name, error)
            answer = self.refuse(error)
        except Exception as error:
            # The exception may have come after the request was sent.
            logs.warning(self._log, "request_failed", reason=repr(error))
            answer = self.refuse(
                errors.RequestRefused(
                    verdict=verdicts.Verdict.MAY_HAVE_RUN,
                    status=500,
                    title="Internal error",
                )
            )
        finally:
            self._in_flight -= 1
        answer.request_id = request.request_id
        return answer

    async def _execute_request(
        self, request: caller_request.CallerRequest, hops: int
    ) -> caller_request.CallerAnswer:
        if self._stop.is_closed:
            raise request.unsent_refusal(503, "Entry is stopping")
        route = self._find_route(request)
        if route is None:
            raise request.unsent_refusal(404, "No such route")
        execution = executions.Execution(
            request=request,
            route=route,
            deadline_at=self._deadline_at(request, route),
        )
        if route.kind.idempotent:
            return await self._run_idempotent(execution)
        if not request.key:
            raise errors.RequestRefused(
                verdict=verdicts.Verdict.NOT_RUN,
                status=428,
                title="Idempotency key is required",
                offer_keys=True,
            )
        return await self._keyed_runs.answer(
            execution,
            hops=hops,
            admit=lambda: (
                None if hops else self._check_account_limit(execution)
            ),
        )

    async def _run_idempotent(
        self, execution: executions.Execution
    ) -> caller_request.CallerAnswer:
        request = execution.request
        try:
            self._check_account_limit(execution)
            return await self._executor.run(execution)
        except errors.RequestRefused as error:
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                raise
            # Earlier attempts are not recorded here and may have run.
            raise problem.copy_refusal(
                error, verdict=request.unsent_verdict
            ) from None

    def _check_account_limit(self, execution: executions.Execution) -> None:
        account = execution.request.account
        wait_s = self._limits.wait_s(
            execution.route.service,
            account,
            shares=self._account_owners.shares(account),
        )
        if wait_s > 0:
            request_events.over_limit(
                self._log, execution.service, account, wait_s
            )
            raise execution.request.unsent_refusal(
                429,
                "Account is over its limit",
                retry_after_s=wait_s,
            )

    def _find_route(
        self, request: caller_request.CallerRequest
    ) -> config_table.Route | None:
        route = self._config.route(request.method, request.path)
        if route is None and request.method == "HEAD":
            # HEAD is sent to the target as GET, so that the answer checks
            # of the request kind apply; the HTTP server drops the body.
            request.method = "GET"
            route = self._config.route(request.method, request.path)
        return route

    def _deadline_at(
        self,
        request: caller_request.CallerRequest,
        route: config_table.Route,
    ) -> float:
        deadline_ms = route.kind.deadline_ms
        if request.deadline_ms is not None:
            deadline_ms = min(deadline_ms, request.deadline_ms)
        return self._clock.now() + deadline_ms / 1000

    def _record_answer(
        self,
        request: caller_request.CallerRequest,
        answer: caller_request.CallerAnswer,
        elapsed_s: float,
    ) -> None:
        route = self._find_route(request)
        if route is None:
            return
        self.burn.record(
            route.service, route.kind, answer, elapsed_s=elapsed_s
        )
        if self._metrics is not None:
            self._metrics.count(
                "entry_answers_total",
                "Answers to callers.",
                service=route.service.service,
                verdict=answer.verdict.value,
            )

    def _log_pause(self, pause_s: float) -> None:
        # Waiting requests check their deadlines when they resume, before
        # they send anything. The event explains their late refusals.
        logs.warning(
            self._log,
            "process_paused",
            pause_s=round(pause_s, 3),
            in_flight=self._in_flight,
        )
