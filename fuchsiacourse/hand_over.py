"""Hand-over of the ledger from a stopping entry to one successor."""

from __future__ import annotations

import collections.abc
import random
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import key_blocks
from fuchsiacourse import ledger as ledgers
from fuchsiacourse import ledger_seal
from fuchsiacourse import ledger_wire
from fuchsiacourse import logs
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables
from fuchsiacourse import peers as peer_ports
from fuchsiacourse import rendezvous

# A new part begins when the next record would exceed this size.
PART_BYTES = 500_000
PART_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.2
# Maximum number of incomplete hand-overs that are buffered at a time.
MAX_STAGES = 8
# Time to receive all parts; with the default drain_max_s a sender gives up
# before.
STAGE_LIFETIME_S = 120.0


class HandOverSender:
    """Sends the sealed ledger to one successor.

    Args:
        clock: Source of time.
        rng: Source of randomness for the hand-over's identifier.
        members: Member table.
        peers: Client for calls to the successor.
        ledger: Records to send.
        blocks: Blocks of issued keys to send.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        members: member_tables.Members,
        peers: peer_ports.Peers,
        ledger: ledgers.Ledger,
        blocks: key_blocks.KeyBlocks,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._members = members
        self._peers = peers
        self._ledger = ledger
        self._blocks = blocks
        self._log = log

    async def send(self, *, until: float) -> str:
        """Sends the ledger to one successor.

        Args:
            until: Monotonic time in seconds at which it gives up.

        Returns:
            The successor's member id, or an empty string if no successor
            acknowledged all parts.
        """
        parts = self._build_parts()
        unreachable: set[str] = set()
        while self._clock.now() < until:
            successor = self._choose_successor(unreachable)
            if successor is None:
                break
            # Choosing another successor is safe only while nothing has been
            # sent: two holders of one ledger could run a key twice.
            outcome = await self._send_parts(successor, parts, until)
            if outcome is not None:
                return successor.id if outcome else ""
            unreachable.add(successor.id)
        logs.warning(self._log, "hand_over_without_successor")
        return ""

    async def _send_parts(
        self,
        successor: member_rows.Member,
        parts: list[fleet_pb2.HandOverRequest],
        until: float,
    ) -> bool | None:
        """Sends all parts in order.

        Returns:
            Whether all were acknowledged; None if nothing was sent.
        """
        for part in parts:
            accepted = await self._send_part(successor, part, until)
            if accepted is None and part.part == 0:
                return None
            if not accepted:
                logs.warning(
                    self._log,
                    "hand_over_failed",
                    successor=successor.id,
                    part=part.part,
                )
                return False
        logs.event(
            self._log,
            "hand_over_done",
            successor=successor.id,
            parts=len(parts),
        )
        return True

    async def _send_part(
        self,
        successor: member_rows.Member,
        part: fleet_pb2.HandOverRequest,
        until: float,
    ) -> bool | None:
        # Part 0 was acknowledged before any later part, so that this
        # successor can no longer be replaced.
        may_have_arrived = part.part > 0
        while self._clock.now() < until:
            try:
                reply = await self._peers.hand_over(
                    successor.rpc_address, part, timeout_s=PART_TIMEOUT_S
                )
            except errors.PeerUnreachable:
                if not may_have_arrived:
                    return None
            except errors.PeerError:
                may_have_arrived = True
            else:
                if _is_reply_to(part, reply):
                    return reply.accepted
                may_have_arrived = True
            await self._clock.sleep(RETRY_DELAY_S)
        return False

    def _choose_successor(
        self, unreachable: set[str]
    ) -> member_rows.Member | None:
        own = self._members.self
        rows = {
            row.id: row
            for row in self._members.alive(
                member_tables.ENTRY, region=own.region
            )
            if row.id != own.id and row.id not in unreachable
        }
        first = rendezvous.first(own.id, rows)
        return rows[first] if first is not None else None

    def _build_parts(self) -> list[fleet_pb2.HandOverRequest]:
        now = self._clock.now()
        sender = self._members.self.id
        hand_over_id = f"{sender}-{self._rng.getrandbits(32):08x}"
        parts = [fleet_pb2.HandOverRequest(blocks=self._blocks.snapshot())]
        size_bytes = parts[0].ByteSize()
        for record in self._ledger.records():
            message = ledger_wire.to_wire(record, now_s=now)
            if size_bytes + message.ByteSize() > PART_BYTES:
                parts.append(fleet_pb2.HandOverRequest())
                size_bytes = 0
            parts[-1].records.append(message)
            size_bytes += message.ByteSize()
        for number, part in enumerate(parts):
            part.hand_over_id = hand_over_id
            part.sender = sender
            part.part = number
            part.parts = len(parts)
        return parts


class _StagedHandOver:
    """Received parts of a hand-over that is not complete."""

    __slots__ = ("hand_over_id", "parts", "started_at", "by_part")

    def __init__(
        self, *, hand_over_id: str, parts: int, started_at: float
    ) -> None:
        self.hand_over_id = hand_over_id
        self.parts = parts
        self.started_at = started_at
        self.by_part: dict[int, fleet_pb2.HandOverRequest] = {}


class HandOverReceiver:
    """Receives ledgers, at most one from each sender.

    Args:
        clock: Source of time.
        ledger: Ledger that the records are added to.
        blocks: Blocks of issued keys that the received blocks are added to.
        seal: Hand-overs are refused once this ledger is sealed.
        log: Logger.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        ledger: ledgers.Ledger,
        blocks: key_blocks.KeyBlocks,
        seal: ledger_seal.LedgerSeal,
        log: typing.Any,
    ) -> None:
        self._clock = clock
        self._ledger = ledger
        self._blocks = blocks
        self._seal = seal
        self._log = log
        self._staged_by_sender: dict[str, _StagedHandOver] = {}
        # Identifier of the hand-over accepted from a sender; empty if one
        # was refused, after which all further ones are refused as well.
        self._finished_id_by_sender: dict[str, str] = {}

    def receive(
        self, request: fleet_pb2.HandOverRequest
    ) -> fleet_pb2.HandOverReply:
        """Buffers one part and applies all parts once they are complete.

        Returns:
            The reply, which states whether the part was accepted.
        """
        return fleet_pb2.HandOverReply(
            hand_over_id=request.hand_over_id,
            part=request.part,
            accepted=self._accept(request),
        )

    def _accept(self, request: fleet_pb2.HandOverRequest) -> bool:
        self._drop_stale_stages()
        sender = request.sender
        if sender in self._finished_id_by_sender:
            return self._finished_id_by_sender[sender] == request.hand_over_id
        if self._seal.is_sealed or request.part >= request.parts:
            return self._refuse(sender)
        stage = self._staged_by_sender.get(sender)
        if stage is None:
            if len(self._staged_by_sender) >= MAX_STAGES:
                return self._refuse(sender)
            stage = _StagedHandOver(
                hand_over_id=request.hand_over_id,
                parts=request.parts,
                started_at=self._clock.now(),
            )
            self._staged_by_sender[sender] = stage
        if (
            stage.hand_over_id != request.hand_over_id
            or stage.parts != request.parts
        ):
            return False
        stage.by_part.setdefault(request.part, request)
        if len(stage.by_part) < stage.parts:
            return True
        return self._complete(sender, stage)

    def _complete(self, sender: str, stage: _StagedHandOver) -> bool:
        parts = list(stage.by_part.values())
        if not self._fits(parts):
            return self._refuse(sender)
        now = self._clock.now()
        records = 0
        for part in parts:
            self._blocks.adopt(part.blocks)
            self._ledger.adopt(
                ledger_wire.from_wire(message, now_s=now)
                for message in part.records
            )
            records += len(part.records)
        del self._staged_by_sender[sender]
        self._finished_id_by_sender[sender] = stage.hand_over_id
        logs.event(
            self._log, "hand_over_taken", sender=sender, records=records
        )
        return True

    def _fits(
        self, parts: collections.abc.Sequence[fleet_pb2.HandOverRequest]
    ) -> bool:
        records = sum(len(part.records) for part in parts)
        size_bytes = sum(part.ByteSize() for part in parts)
        return self._ledger.has_capacity(
            records=records,
            size_bytes=size_bytes + records * ledgers.RECORD_OVERHEAD_BYTES,
        )

    def _refuse(self, sender: str) -> bool:
        self._staged_by_sender.pop(sender, None)
        self._finished_id_by_sender[sender] = ""
        logs.warning(self._log, "hand_over_refused", sender=sender)
        return False

    def _drop_stale_stages(self) -> None:
        oldest = self._clock.now() - STAGE_LIFETIME_S
        for sender, stage in list(self._staged_by_sender.items()):
            if stage.started_at < oldest:
                self._refuse(sender)


def _is_reply_to(
    part: fleet_pb2.HandOverRequest, reply: fleet_pb2.HandOverReply
) -> bool:
    return reply.hand_over_id == part.hand_over_id and reply.part == part.part
