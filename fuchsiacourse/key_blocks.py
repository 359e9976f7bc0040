"""Blocks of idempotency keys that were issued and have not expired."""

from __future__ import annotations

import bisect
import collections.abc
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import fleet_pb2
from fuchsiacourse import idempotency_key
from fuchsiacourse import verdict as verdicts

# Blocks issued within this time share one range and expire together.
_RANGE_SPAN_S = 1.0
# A key of a block not yet issued is refused as not run, which stays true
# only if the block is never issued. At most this many blocks are skipped.
_MAX_SKIPPED_BLOCKS = 1024


class IssuedBlock:
    """Description of a block of keys in an answer to a caller.

    Args:
        prefix: Common prefix of the keys; ``-<n>`` follows.
        count: Number of keys, numbered from 0.
        expires_in_s: Seconds until the keys expire.
    """

    __slots__ = ("prefix", "count", "expires_in_s")

    def __init__(
        self, *, prefix: str, count: int, expires_in_s: float
    ) -> None:
        self.prefix = prefix
        self.count = count
        self.expires_in_s = expires_in_s

    def as_json(self) -> dict[str, typing.Any]:
        """Returns the block as a JSON object."""
        return {
            "prefix": self.prefix,
            "count": self.count,
            "expires_in_s": int(self.expires_in_s),
        }


class _BlockRange:
    """Range of blocks ``first`` to ``next - 1``, which expire together."""

    __slots__ = ("first", "next", "issued_at", "expires_at")

    def __init__(
        self, *, first: int, next: int, issued_at: float, expires_at: float
    ) -> None:
        self.first = first
        self.next = next
        self.issued_at = issued_at
        self.expires_at = expires_at


class KeyBlocks:
    """Issues blocks of keys and tracks all blocks that this process owns.

    It owns its own blocks and those taken over from other incarnations.

    Args:
        incarnation: Incarnation of this process.
        clock: Source of time.
        block_size: Number of keys in a block.
        lifetime_s: Seconds until a block expires.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        clock: clocks.Clock,
        block_size: int,
        lifetime_s: float,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._block_size = block_size
        self._lifetime_s = lifetime_s
        self._next_block = 0
        self._skipped: set[int] = set()
        self._ranges_by_incarnation: dict[str, list[_BlockRange]] = {
            incarnation: []
        }

    def holds(self, incarnation: str) -> bool:
        """Whether this process owns the keys of an incarnation."""
        return incarnation in self._ranges_by_incarnation

    def issue(self) -> IssuedBlock:
        """Issues a new block."""
        now = self._clock.now()
        while self._next_block in self._skipped:
            self._skipped.discard(self._next_block)
            self._next_block += 1
        block = self._next_block
        self._next_block += 1
        self._drop_expired(now)
        self._record(block, now)
        return IssuedBlock(
            prefix=idempotency_key.block_prefix(self._incarnation, block),
            count=self._block_size,
            expires_in_s=self._lifetime_s,
        )

    def expires_at(self, key: idempotency_key.IdempotencyKey) -> float:
        """Returns the monotonic time at which a key expires.

        Raises:
            RequestRefused: The key was not issued, or it has expired.
        """
        if key.number >= self._block_size:
            raise _unknown_key(verdicts.Verdict.NOT_RUN)
        block_range = self._find_range(key)
        if (
            block_range is not None
            and block_range.expires_at > self._clock.now()
        ):
            return block_range.expires_at
        if self._was_issued(key, block_range):
            raise errors.RequestRefused(
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
                status=410,
                title="Key has expired",
                detail="The block of this idempotency key has expired.",
                offer_keys=True,
            )
        raise _unknown_key(self._skip_unissued(key))

    def adopt(
        self, messages: collections.abc.Iterable[fleet_pb2.IssuedBlocks]
    ) -> None:
        """Adds the blocks that other incarnations handed over."""
        now = self._clock.now()
        for message in messages:
            if message.incarnation == self._incarnation:
                continue
            ranges = self._ranges_by_incarnation.setdefault(
                message.incarnation, []
            )
            ranges.append(
                _BlockRange(
                    first=message.first_block,
                    next=message.next_block,
                    issued_at=now,
                    expires_at=now + message.expires_in_ms / 1000,
                )
            )
            ranges.sort(key=lambda item: item.first)

    def snapshot(self) -> list[fleet_pb2.IssuedBlocks]:
        """Returns all unexpired blocks as messages of a hand-over."""
        now = self._clock.now()
        self._drop_expired(now)
        messages = []
        for incarnation, ranges in self._ranges_by_incarnation.items():
            for block_range in ranges:
                messages.append(
                    fleet_pb2.IssuedBlocks(
                        incarnation=incarnation,
                        first_block=block_range.first,
                        next_block=block_range.next,
                        expires_in_ms=int(
                            (block_range.expires_at - now) * 1000
                        ),
                    )
                )
        return messages

    def _record(self, block: int, now: float) -> None:
        ranges = self._ranges_by_incarnation[self._incarnation]
        last = ranges[-1] if ranges else None
        if (
            last is not None
            and last.next == block
            and now - last.issued_at <= _RANGE_SPAN_S
        ):
            last.next = block + 1
            last.expires_at = now + self._lifetime_s
            return
        ranges.append(
            _BlockRange(
                first=block,
                next=block + 1,
                issued_at=now,
                expires_at=now + self._lifetime_s,
            )
        )

    def _find_range(
        self, key: idempotency_key.IdempotencyKey
    ) -> _BlockRange | None:
        ranges = self._ranges_by_incarnation.get(key.incarnation, [])
        index = bisect.bisect_right(
            ranges, key.block, key=lambda item: item.first
        )
        if index == 0 or key.block >= ranges[index - 1].next:
            return None
        return ranges[index - 1]

    def _was_issued(
        self,
        key: idempotency_key.IdempotencyKey,
        block_range: _BlockRange | None,
    ) -> bool:
        # Only the unexpired blocks of another incarnation are known; any
        # other block of it may have been issued and have expired.
        if key.incarnation != self._incarnation:
            return True
        return block_range is not None or key.block < self._next_block

    def _skip_unissued(
        self, key: idempotency_key.IdempotencyKey
    ) -> verdicts.Verdict:
        if len(self._skipped) < _MAX_SKIPPED_BLOCKS:
            self._skipped.add(key.block)
        if key.block in self._skipped:
            return verdicts.Verdict.NOT_RUN
        return verdicts.Verdict.MAY_HAVE_RUN

    def _drop_expired(self, now: float) -> None:
        for incarnation, ranges in list(self._ranges_by_incarnation.items()):
            # The first range of an incarnation expires first.
            if ranges and ranges[0].expires_at > now:
                continue
            ranges = [item for item in ranges if item.expires_at > now]
            if ranges or incarnation == self._incarnation:
                self._ranges_by_incarnation[incarnation] = ranges
            else:
                del self._ranges_by_incarnation[incarnation]


def _unknown_key(verdict: verdicts.Verdict) -> errors.RequestRefused:
    return errors.RequestRefused(
        verdict=verdict,
        status=400,
        title="Key is unknown",
        detail="No entry has issued this idempotency key.",
        offer_keys=True,
    )
