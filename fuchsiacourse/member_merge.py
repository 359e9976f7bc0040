"""Merge rules that apply gossip records to the member table."""

from __future__ import annotations

import enum

from fuchsiacourse import fleet_pb2
from fuchsiacourse import gossip_codec
from fuchsiacourse import member as member_rows
from fuchsiacourse import members as member_tables

State = member_rows.State

# Seconds that a suspected member has to refute the suspicion.
SUSPICION_S = 1.5

# Seconds that a member considered alive has to refute a report of its death.
# After a network partition each side considers the other dead; applying such
# reports at once would briefly take every healthy member out of use.
CHALLENGE_S = 0.5

# Seconds for which gone members stay in the table. Longer than the hour for
# which regions may lose contact, so that the members of the other side are
# still known when the link returns.
GONE_RETENTION_S = 7200.0

# Seconds for which a member that left can't be added again by a stale record
# from a member that was cut off meanwhile.
LEFT_RETENTION_S = 86_400.0

# Among records with the same sequence number the higher rank wins.
_RANKS = {
    State.ALIVE: 0,
    State.LEAVING: 0,
    State.SUSPECT: 1,
    State.DEAD: 2,
    State.LEFT: 3,
}


class MergeResult(enum.Enum):
    """Effect of a record on the table."""

    NOTHING = "nothing"
    ADDED = "added"
    CHANGED = "changed"
    # Only the configuration number rose.
    CONFIG = "config"
    # The record is about this process, which must announce its new sequence.
    REFUTE = "refute"
    # The subject may refute the report before its state changes.
    CHALLENGED = "challenged"


class _Deadline:
    """Time by which a member must refute before it is declared dead."""

    __slots__ = ("due_s", "sequence", "is_challenge")

    def __init__(
        self, *, due_s: float, sequence: int, is_challenge: bool
    ) -> None:
        self.due_s = due_s
        self.sequence = sequence
        self.is_challenge = is_challenge


class MemberMerge:
    """Applies records to the member table and runs suspicion deadlines.

    Args:
        members: Table to change.
    """

    def __init__(self, *, members: member_tables.Members) -> None:
        self._members = members
        self._deadlines_by_id: dict[str, _Deadline] = {}
        self._left_at_by_id: dict[str, float] = {}

    @property
    def next_due_s(self) -> float | None:
        """Monotonic time of the next deadline in seconds, None without."""
        deadlines = self._deadlines_by_id.values()
        return min((item.due_s for item in deadlines), default=None)

    def announced_state(self, row: member_rows.Member) -> State:
        """Returns the state of a row to announce to other members.

        A suspected member that is leaving stays LEAVING in the table, so
        that it does not come back into use, but is announced as SUSPECT.
        """
        deadline = self._deadlines_by_id.get(row.id)
        if deadline is None or deadline.is_challenge:
            return row.state
        return State.SUSPECT

    def merge(
        self, record: fleet_pb2.MemberRecord, *, now_s: float
    ) -> MergeResult:
        """Applies one record and returns its effect.

        Args:
            record: Valid record with a state.
            now_s: Monotonic time in seconds.
        """
        if record.id == self._members.self.id:
            return self._merge_own(record)
        row = self._members.by_id.get(record.id)
        if row is None:
            return self._add(record, now_s)
        result = self._merge_known(row, record, now_s)
        if record.config_number > row.config_number:
            row.config_number = record.config_number
            if result is MergeResult.NOTHING:
                return MergeResult.CONFIG
        return result

    def is_newer(
        self, row: member_rows.Member, record: fleet_pb2.MemberRecord
    ) -> bool:
        """Whether the table's row of a member is newer than a record."""
        if row.config_number > record.config_number:
            return True
        state = gossip_codec.state_of(record)
        if State.LEFT in (row.state, state):
            return state is not State.LEFT
        return (row.sequence, _RANKS[self.announced_state(row)]) > (
            record.sequence,
            _RANKS[state],
        )

    def suspect(self, row: member_rows.Member, *, now_s: float) -> bool:
        """Suspects a member that failed a probe.

        Returns:
            False if the member is gone or suspected already.
        """
        if row.is_gone or self.announced_state(row) is State.SUSPECT:
            return False
        self._start_suspicion(row, now_s)
        return True

    def expire(self, *, now_s: float) -> list[member_rows.Member]:
        """Marks members that did not refute in time dead; returns them."""
        due = [
            id
            for id, deadline in self._deadlines_by_id.items()
            if deadline.due_s <= now_s
        ]
        dead = []
        for id in due:
            row = self._members.by_id[id]
            row.sequence = max(
                row.sequence, self._deadlines_by_id[id].sequence
            )
            self._set_state(row, State.DEAD, now_s)
            dead.append(row)
        return dead

    def mark_replaced_dead(
        self, row: member_rows.Member, *, now_s: float
    ) -> list[member_rows.Member]:
        """Marks earlier processes at a member's address dead; returns them.

        Args:
            row: New member.
            now_s: Monotonic time in seconds.
        """
        earlier = [
            other
            for other in self._members.by_id.values()
            if other.gossip_address == row.gossip_address
            and other.id < row.id
            and not other.is_gone
            and other is not self._members.self
        ]
        for other in earlier:
            self._set_state(other, State.DEAD, now_s)
        return earlier

    def restart_deadlines(self, *, now_s: float) -> None:
        """Restarts the full time of every deadline from now.

        Refutations may have been missed while this process was paused.
        """
        for deadline in self._deadlines_by_id.values():
            deadline.due_s = now_s + (
                CHALLENGE_S if deadline.is_challenge else SUSPICION_S
            )

    def forget_gone(self, *, now_s: float) -> list[str]:
        """Removes members gone for the retention time; returns their ids."""
        expired = [
            row.id
            for row in self._members.by_id.values()
            if row.is_gone
            and now_s - row.state_since > GONE_RETENTION_S
            and row is not self._members.self
        ]
        for id in expired:
            del self._members.by_id[id]
        for id, left_at_s in list(self._left_at_by_id.items()):
            if now_s - left_at_s > LEFT_RETENTION_S:
                del self._left_at_by_id[id]
        return expired

    def _merge_own(self, record: fleet_pb2.MemberRecord) -> MergeResult:
        row = self._members.self
        state = gossip_codec.state_of(record)
        if row.state is State.LEFT:
            return MergeResult.NOTHING
        reports_failure = _RANKS[state] > 0 and record.sequence >= row.sequence
        if not reports_failure and record.sequence <= row.sequence:
            return MergeResult.NOTHING
        row.sequence = record.sequence + 1
        return MergeResult.REFUTE

    def _add(
        self, record: fleet_pb2.MemberRecord, now_s: float
    ) -> MergeResult:
        is_old = record.gone_s >= GONE_RETENTION_S
        if not record.role or is_old or record.id in self._left_at_by_id:
            return MergeResult.NOTHING
        row = gossip_codec.row_of(record)
        row.state_since = now_s - record.gone_s
        self._members.by_id[row.id] = row
        if row.state is State.SUSPECT:
            self._start_suspicion(row, now_s)
        if row.state is State.LEFT:
            self._left_at_by_id[row.id] = row.state_since
        return MergeResult.ADDED

    def _merge_known(
        self,
        row: member_rows.Member,
        record: fleet_pb2.MemberRecord,
        now_s: float,
    ) -> MergeResult:
        state = gossip_codec.state_of(record)
        if State.LEFT in (row.state, state):
            return self._merge_left(row, record, now_s)
        known = (row.sequence, _RANKS[self.announced_state(row)])
        if (record.sequence, _RANKS[state]) <= known:
            return MergeResult.NOTHING
        if state is State.DEAD:
            return self._merge_death(row, record, now_s)
        row.sequence = record.sequence
        if state is State.SUSPECT:
            self._start_suspicion(row, now_s)
            return MergeResult.CHANGED
        if row.state is State.LEAVING:
            state = State.LEAVING
        self._set_state(row, state, now_s)
        return MergeResult.CHANGED

    def _merge_left(
        self,
        row: member_rows.Member,
        record: fleet_pb2.MemberRecord,
        now_s: float,
    ) -> MergeResult:
        if record.state != fleet_pb2.LEFT:
            return MergeResult.NOTHING
        is_known = row.state is State.LEFT
        if is_known and (row.successor or not record.successor):
            return MergeResult.NOTHING
        row.successor = record.successor
        row.sequence = max(row.sequence, record.sequence)
        if not is_known:
            self._set_state(row, State.LEFT, now_s)
        return MergeResult.CHANGED

    def _merge_death(
        self,
        row: member_rows.Member,
        record: fleet_pb2.MemberRecord,
        now_s: float,
    ) -> MergeResult:
        deadline = self._deadlines_by_id.get(row.id)
        if row.state is State.DEAD or (
            deadline is not None and not deadline.is_challenge
        ):
            row.sequence = record.sequence
            self._set_state(row, State.DEAD, now_s)
            return MergeResult.CHANGED
        if deadline is not None:
            deadline.sequence = max(deadline.sequence, record.sequence)
            return MergeResult.NOTHING
        self._deadlines_by_id[row.id] = _Deadline(
            due_s=now_s + CHALLENGE_S,
            sequence=record.sequence,
            is_challenge=True,
        )
        return MergeResult.CHALLENGED

    def _start_suspicion(self, row: member_rows.Member, now_s: float) -> None:
        if row.state is not State.LEAVING:
            self._set_state(row, State.SUSPECT, now_s)
        self._deadlines_by_id[row.id] = _Deadline(
            due_s=now_s + SUSPICION_S,
            sequence=row.sequence,
            is_challenge=False,
        )

    def _set_state(
        self, row: member_rows.Member, state: State, now_s: float
    ) -> None:
        self._deadlines_by_id.pop(row.id, None)
        if row.state is not state:
            row.state = state
            row.state_since = now_s
        if state is State.LEFT:
            self._left_at_by_id[row.id] = now_s
