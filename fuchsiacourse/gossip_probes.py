"""Direct and indirect probes of members."""

from __future__ import annotations

import functools
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import fleet_pb2
from fuchsiacourse import member as member_rows
from fuchsiacourse import probe_schedule
from fuchsiacourse import timers as timer_services

# Seconds between probes. A probe not answered within this time has failed.
PERIOD_S = 0.5
PERIOD_JITTER = 0.1
# Seconds after which a direct probe is repeated through other members.
PING_TIMEOUT_S = 0.15
# Number of other members that are asked to probe a silent one.
INDIRECT_PROBES = 3

_NONCE_BITS = 32

Packet = fleet_pb2.GossipPacket


class _Probe:
    """Probe that awaits its answer."""

    __slots__ = ("row", "is_ring")

    def __init__(self, *, row: member_rows.Member, is_ring: bool) -> None:
        self.row = row
        self.is_ring = is_ring


class _Relay:
    """Probe sent on behalf of another member."""

    __slots__ = ("address", "nonce", "due_s")

    def __init__(self, *, address: str, nonce: int, due_s: float) -> None:
        self.address = address
        self.nonce = nonce
        self.due_s = due_s


class GossipProbes:
    """Probes members directly, then through others, and reports failures.

    Args:
        clock: Source of time.
        timers: Timer service of the process.
        rng: Source of randomness.
        schedule: Order in which members are probed.
        send: Sends a packet, called with address, kind and fields.
        on_failed: Called with each member that did not answer.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        timers: timer_services.Timers,
        rng: random.Random,
        schedule: probe_schedule.ProbeSchedule,
        send: typing.Callable[..., None],
        on_failed: typing.Callable[[member_rows.Member], None],
    ) -> None:
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._schedule = schedule
        self._send = send
        self._on_failed = on_failed
        self._probes_by_nonce: dict[int, _Probe] = {}
        self._relays_by_nonce: dict[int, _Relay] = {}
        self._is_ring_turn = False

    def tick(self, own_id: str) -> None:
        """Starts the probe of one period and drops expired relays.

        Periods alternate between the next member on the ring and the next
        in shuffled order.

        Args:
            own_id: Identifier of this process, its position on the ring.
        """
        now_s = self._clock.now()
        for nonce, relay in list(self._relays_by_nonce.items()):
            if relay.due_s <= now_s:
                del self._relays_by_nonce[nonce]
        self._is_ring_turn = not self._is_ring_turn
        if self._is_ring_turn:
            self._start(self._schedule.successor(own_id), is_ring=True)
        else:
            self._start(self._schedule.next_shuffled(), is_ring=False)

    def reset(self) -> None:
        """Drops all probes and relays without reporting failures.

        Their answers may have been missed while the process was paused.
        """
        self._probes_by_nonce.clear()
        self._relays_by_nonce.clear()

    def on_ack(self, packet: Packet) -> None:
        """Completes the probe that an ACK answers, or forwards the ACK."""
        probe = self._probes_by_nonce.get(packet.nonce)
        if probe is not None and probe.row.id == packet.subject:
            del self._probes_by_nonce[packet.nonce]
            return
        relay = self._relays_by_nonce.pop(packet.nonce, None)
        if relay is not None:
            self._send(
                relay.address,
                Packet.ACK,
                nonce=relay.nonce,
                subject=packet.subject,
            )

    def relay(self, packet: Packet) -> None:
        """Probes the member that a PING_REQUEST names."""
        if not packet.subject or not packet.subject_address:
            return
        nonce = self._rng.getrandbits(_NONCE_BITS)
        self._relays_by_nonce[nonce] = _Relay(
            address=packet.sender_address,
            nonce=packet.nonce,
            due_s=self._clock.now() + PERIOD_S,
        )
        self._send(
            packet.subject_address,
            Packet.PING,
            nonce=nonce,
            subject=packet.subject,
        )

    def _start(self, row: member_rows.Member | None, *, is_ring: bool) -> None:
        if row is None or self._is_probed(row):
            return
        nonce = self._rng.getrandbits(_NONCE_BITS)
        self._probes_by_nonce[nonce] = _Probe(row=row, is_ring=is_ring)
        self._send(
            row.gossip_address, Packet.PING, nonce=nonce, subject=row.id
        )
        self._timers.after(
            PING_TIMEOUT_S, functools.partial(self._probe_indirectly, nonce)
        )

    def _is_probed(self, row: member_rows.Member) -> bool:
        return any(
            probe.row is row for probe in self._probes_by_nonce.values()
        )

    def _probe_indirectly(self, nonce: int) -> None:
        probe = self._probes_by_nonce.get(nonce)
        if probe is None:
            return
        row = probe.row
        relays = self._schedule.sample(
            INDIRECT_PROBES, without=row.id, without_suspects=True
        )
        for peer in relays:
            self._send(
                peer.gossip_address,
                Packet.PING_REQUEST,
                nonce=nonce,
                subject=row.id,
                subject_address=row.gossip_address,
            )
        self._timers.after(
            PERIOD_S - PING_TIMEOUT_S, functools.partial(self._fail, nonce)
        )
        if probe.is_ring:
            # Neighbours on the ring may have failed together, as in the
            # loss of a zone, so the next one is probed in this period.
            self._start(self._schedule.successor(row.id), is_ring=True)

    def _fail(self, nonce: int) -> None:
        probe = self._probes_by_nonce.pop(nonce, None)
        if probe is not None and not probe.row.is_gone:
            self._on_failed(probe.row)
