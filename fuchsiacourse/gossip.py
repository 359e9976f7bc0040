"""SWIM membership protocol over datagrams."""

from __future__ import annotations

import collections.abc
import functools
import math
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import datagram as datagrams
from fuchsiacourse import dissemination
from fuchsiacourse import fleet_pb2
from fuchsiacourse import gossip_codec
from fuchsiacourse import gossip_probes
from fuchsiacourse import gossip_seeds
from fuchsiacourse import gossip_transport
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import member_merge
from fuchsiacourse import members as member_tables
from fuchsiacourse import metrics as metric_tables
from fuchsiacourse import probe_schedule
from fuchsiacourse import store as stores
from fuchsiacourse import table_exchange
from fuchsiacourse import table_sync
from fuchsiacourse import timers as timer_services

# Seconds between anti-entropy rounds: each compares the member table with
# that of a random member and contacts one dead member or unknown seed.
SYNC_INTERVAL_S = 10.0
SYNC_JITTER = 0.3

# Seconds after the start at which a new member runs further anti-entropy
# rounds. They recover packets lost from the first reply, and members that
# the first peer did not know yet because many started together.
JOIN_SYNCS_S = (1.0, 2.0, 4.0)

# Number of members that receive a process's own planned change of state.
# Higher than for other changes, because the process may close before it can
# send the change again.
LEAVE_FANOUT = 8

# Shortest wait for a deadline, in seconds. Rounding can fire a timer slightly
# early, and rescheduling it with no delay would not let the clock advance.
MIN_WAIT_S = 0.001

FORGET_INTERVAL_S = 60.0

# Seconds after the start in which members learned from table replies are
# not disseminated, because the rest of the fleet knows them already.
JOIN_PERIOD_S = 5.0

OnConfigNumber = typing.Callable[[int, member_rows.Member], None]
Packet = fleet_pb2.GossipPacket
State = member_rows.State
MergeResult = member_merge.MergeResult


class Gossip:
    """Maintains the member table by probes, dissemination and table syncs.

    Args:
        clock: Source of time.
        timers: Timer service of the process.
        rng: Source of randomness.
        members: Table to maintain; the row of this process is announced.
        datagram: Datagram endpoint to send and receive on.
        store: Source of the platform's host list; may be unavailable.
        seeds: Gossip addresses of some other members.
        deployment_key: Secret that the members of a deployment share.
        log: Logger.
        metrics: Metrics of the process, or None.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        members: member_tables.Members,
        datagram: datagrams.DatagramEndpoint,
        store: stores.Store,
        seeds: collections.abc.Sequence[str],
        deployment_key: str,
        log: typing.Any,
        metrics: metric_tables.Metrics | None = None,
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._members = members
        self._log = log
        self._merge = member_merge.MemberMerge(members=members)
        self._sync = table_sync.TableSync(members=members, merge=self._merge)
        self._schedule = probe_schedule.ProbeSchedule(members=members, rng=rng)
        self.transport = gossip_transport.GossipTransport(
            datagram=datagram,
            members=members,
            deployment_key=deployment_key,
            handler=self._handle,
            metrics=metrics,
            log=log,
        )
        self._exchange = table_exchange.TableExchange(
            clock=clock, timers=timers, transmit=self.transport.send
        )
        self._updates = dissemination.Dissemination(
            timers=timers,
            members=members,
            schedule=self._schedule,
            encoder=self._encode,
            transmit=self.transport.send,
        )
        self._send = self._updates.send
        self._probes = gossip_probes.GossipProbes(
            clock=clock,
            timers=timers,
            rng=rng,
            schedule=self._schedule,
            send=self._send,
            on_failed=self._on_probe_failed,
        )
        self._seeds = gossip_seeds.GossipSeeds(
            clock=clock,
            timers=timers,
            rng=rng,
            members=members,
            store=store,
            seeds=seeds,
            contact=self._request_table,
        )
        self._config_callbacks: list[OnConfigNumber] = []
        self._handles: list[timer_services.TimerHandle] = []
        self._started_s = 0.0
        self._is_closed = False
        self._next_expiry_s = math.inf

    def on_config_number(self, callback: OnConfigNumber) -> None:
        """Subscribes to configuration numbers above this process's own.

        Args:
            callback: Called with the number and the member that has it,
                for each packet that carries such a number.
        """
        self._config_callbacks.append(callback)

    def start(self) -> None:
        """Joins the fleet; requires a running event loop."""
        self._started_s = self._clock.now()
        self._members.self.state_since = self._started_s
        self.transport.open()
        self._timers.on_pause(self._on_resume)
        self._handles = [
            self._timers.every(
                gossip_probes.PERIOD_S,
                self._tick,
                jitter=gossip_probes.PERIOD_JITTER,
            ),
            self._timers.every(
                SYNC_INTERVAL_S, self._sync_tables, jitter=SYNC_JITTER
            ),
            self._timers.every(FORGET_INTERVAL_S, self._forget),
            *self._seeds.start(),
        ]
        for delay_s in JOIN_SYNCS_S:
            self._timers.after(delay_s, self._sync_tables)

    def close(self) -> None:
        """Stops sending and receiving without announcing a departure."""
        self._is_closed = True
        self._updates.close()
        for handle in self._handles:
            handle.cancel()

    def set_config_number(self, number: int) -> None:
        """Announces the number of the configuration in force here.

        Ignores numbers that are not above the one announced before.
        """
        own = self._members.self
        if number <= own.config_number:
            return
        own.config_number = number
        self._updates.add(own.id, is_complete=False, is_urgent=False)
        self._updates.push()
        self._members.notify(own)

    def announce(self, state: State, successor: str = "") -> None:
        """Announces a planned change of this process's state.

        Args:
            state: New state, LEAVING or LEFT.
            successor: Identifier of the member that took over the ledger.
        """
        own = self._members.self
        own.state = state
        own.state_since = self._clock.now()
        own.successor = successor or own.successor
        own.sequence += 1
        self._announce_change(own, is_complete=False)
        self._updates.push(LEAVE_FANOUT)

    def _tick(self) -> None:
        if self._members.self.state is not State.LEFT:
            self._probes.tick(self._members.self.id)

    def _sync_tables(self) -> None:
        if self._is_closed:
            return
        now_s = self._clock.now()
        for row in self._schedule.sample(1, without_suspects=True):
            for chunk in self._sync.next_round(now_s=now_s):
                self._exchange.request(row.gossip_address, chunk)
        dead_row = self._seeds.choose_dead_member()
        if dead_row is not None:
            self._ping_dead(dead_row)

    def _ping_dead(self, row: member_rows.Member) -> None:
        self._send(
            row.gossip_address,
            Packet.PING,
            subject=row.id,
            records=self._suspicion_records(row.id),
        )

    def _forget(self) -> None:
        for id in self._merge.forget_gone(now_s=self._clock.now()):
            self._schedule.remove(id)

    def _on_resume(self, late_s: float) -> None:
        if self._is_closed:
            return
        logs.event(self._log, "gossip_resumed", late_s=round(late_s, 3))
        self._probes.reset()
        self._merge.restart_deadlines(now_s=self._clock.now())
        self._await_deadline()

    def _handle(self, packet: Packet) -> None:
        if self._is_closed:
            return
        for record in packet.updates:
            if not gossip_codec.is_record_request(record):
                self._apply(record, packet)
        self._process_sender(packet)
        if packet.kind == Packet.PING:
            self._answer_ping(packet)
        elif packet.kind == Packet.ACK:
            self._probes.on_ack(packet)
        elif packet.kind == Packet.PING_REQUEST:
            self._probes.relay(packet)
        elif packet.kind == Packet.SYNC_REQUEST:
            reply = self._sync.reply(packet, now_s=self._clock.now())
            self._exchange.reply(packet.sender_address, reply)
        requested_records = self._sync.requested_records(
            packet, now_s=self._clock.now()
        )
        if requested_records:
            self._exchange.reply(packet.sender_address, requested_records)

    def _process_sender(self, packet: Packet) -> None:
        row = self._members.by_id.get(packet.sender)
        if row is None:
            request = fleet_pb2.MemberRecord(id=packet.sender)
            self._send(packet.sender_address, Packet.PUSH, records=[request])
            return
        if packet.config_number > row.config_number:
            row.config_number = packet.config_number
            self._updates.add(row.id, is_complete=False, is_urgent=False)
            self._members.notify(row)
        self._report_config_number(row)
        # The ACK of a PING already carries the suspicion.
        is_suspected = bool(self._suspicion_records(row.id))
        if is_suspected and packet.kind != Packet.PING:
            self._notify_suspect(row)

    def _answer_ping(self, packet: Packet) -> None:
        if packet.subject != self._members.self.id:
            # The sender probes an earlier process at this address.
            own = self._sync.own_record(self._clock.now())
            self._send(packet.sender_address, Packet.PUSH, records=[own])
            return
        self._send(
            packet.sender_address,
            Packet.ACK,
            nonce=packet.nonce,
            subject=packet.subject,
            records=self._suspicion_records(packet.sender),
        )

    def _apply(self, record: fleet_pb2.MemberRecord, packet: Packet) -> None:
        now_s = self._clock.now()
        was_dead = self._is_dead(record.id)
        result = self._merge.merge(record, now_s=now_s)
        if result is MergeResult.NOTHING:
            return
        if result is MergeResult.REFUTE:
            self._refute(packet)
            return
        row = self._members.by_id[record.id]
        if result is MergeResult.CONFIG:
            self._updates.add(row.id, is_complete=False, is_urgent=False)
            self._members.notify(row)
        elif result is MergeResult.CHALLENGED:
            self._notify_suspect(row, record)
        elif result is MergeResult.ADDED:
            self._on_added(row, packet)
        else:
            self._announce_change(row, is_complete=was_dead)
            if was_dead and not row.is_gone:
                self._request_table(row.gossip_address)
        self._report_config_number(row)
        self._await_deadline()

    def _on_added(self, row: member_rows.Member, packet: Packet) -> None:
        self._schedule.add(row)
        is_joining = self._clock.now() - self._started_s < JOIN_PERIOD_S
        is_reply = packet.kind == Packet.SYNC_REPLY
        is_known = is_joining and is_reply and row.id != packet.sender
        if is_known or row.state is State.DEAD:
            self._members.notify(row)
        else:
            self._announce_change(row, is_complete=True)
        for earlier in self._merge.mark_replaced_dead(
            row, now_s=self._clock.now()
        ):
            self._announce_change(earlier, is_complete=False)

    def _is_dead(self, id: str) -> bool:
        row = self._members.by_id.get(id)
        return row is not None and row.state is State.DEAD

    def _refute(self, packet: Packet) -> None:
        self._announce_change(self._members.self, is_complete=True)
        own = self._sync.own_record(self._clock.now())
        self._send(packet.sender_address, Packet.PUSH, records=[own])

    def _suspicion_records(self, id: str) -> list[fleet_pb2.MemberRecord]:
        row = self._members.by_id.get(id)
        refutable = (State.SUSPECT, State.DEAD)
        if row is None or self._merge.announced_state(row) not in refutable:
            return []
        return [self._encode(id, False)]

    def _notify_suspect(
        self,
        row: member_rows.Member,
        record: fleet_pb2.MemberRecord | None = None,
    ) -> None:
        records = [record] if record else self._suspicion_records(row.id)
        send = functools.partial(
            self._send, row.gossip_address, Packet.PUSH, records=records
        )
        send()
        if record is not None:
            # Sent again within the challenge in case the first packet is lost.
            self._timers.after(member_merge.CHALLENGE_S / 2, send)

    def _on_probe_failed(self, row: member_rows.Member) -> None:
        if self._is_closed:
            return
        if self._merge.suspect(row, now_s=self._clock.now()):
            self._announce_change(row, is_complete=False)
            self._notify_suspect(row)
            self._await_deadline()

    def _await_deadline(self) -> None:
        due_s = self._merge.next_due_s
        if due_s is None or due_s >= self._next_expiry_s:
            return
        self._next_expiry_s = due_s
        delay_s = max(MIN_WAIT_S, due_s - self._clock.now())
        self._timers.after(delay_s, self._expire)

    def _expire(self) -> None:
        self._next_expiry_s = math.inf
        for row in self._merge.expire(now_s=self._clock.now()):
            self._announce_change(row, is_complete=False)
        self._await_deadline()

    def _announce_change(
        self, row: member_rows.Member, *, is_complete: bool
    ) -> None:
        logs.event(
            self._log,
            "member_changed",
            member=row.id,
            role=row.role,
            state=self._merge.announced_state(row).value,
            sequence=row.sequence,
        )
        self._updates.add(row.id, is_complete=is_complete, is_urgent=True)
        self._members.notify(row)

    def _report_config_number(self, row: member_rows.Member) -> None:
        if row.config_number <= self._members.self.config_number:
            return
        if not row.is_gone:
            for callback in self._config_callbacks:
                callback(row.config_number, row)

    def _request_table(self, address: str) -> None:
        now_s = self._clock.now()
        self._exchange.request(address, self._sync.whole_table(now_s=now_s))

    def _encode(
        self, id: str, is_complete: bool
    ) -> fleet_pb2.MemberRecord | None:
        now_s = self._clock.now()
        return self._sync.record(id, complete=is_complete, now_s=now_s)
