"""Quarantines requests that crash the targets that run them."""

from __future__ import annotations

import collections
import json
import typing

from fuchsiacourse import clock as clocks
from fuchsiacourse import errors
from fuchsiacourse import logs
from fuchsiacourse import store as stores

# Number of different targets whose crashes quarantine a fingerprint.
CRASHES_TO_QUARANTINE = 2
# Seconds within which these crashes must happen.
CRASH_WINDOW_S = 600.0
# Seconds for which a fingerprint stays quarantined.
QUARANTINE_S = 3600.0
# Seconds between reads of the object by one process.
READ_INTERVAL_S = 5.0
# Bound on the reads of the whole fleet. The platform allows about 2,000
# reads a second for all uses.
READS_PER_S = 200.0
# Seconds until the next call after a failed one.
RETRY_INTERVAL_S = 2.0
# Bound on the fingerprints in the object, and on those whose crashes are kept
# in memory.
MAX_FINGERPRINTS = 1000

CrashSubscriber = typing.Callable[[list[str]], None]


class Quarantine:
    """Holds the fingerprints of a service's requests that are refused.

    A fingerprint that is in flight at the crashes of two targets is
    quarantined in this process at once, and in all others through the
    object ``quarantine/<service>``. A complete answer clears the crashes of
    a fingerprint, because a frequent request can be in flight at two
    crashes by chance.

    Each process that serves shards of the service reads the object every
    READ_INTERVAL_S, or less often, so that the whole fleet makes at most
    READS_PER_S reads a second. The object is written once for each new
    fingerprint.

    Args:
        service: Name of the service.
        store: Store of the platform.
        clock: Source of time.
        log: Logger.
    """

    def __init__(
        self,
        *,
        service: str,
        store: stores.Store,
        clock: clocks.Clock,
        log: typing.Any,
    ) -> None:
        self._service = service
        self._store = store
        self._clock = clock
        self._log = log
        # Unix time in seconds at which each quarantine ends.
        self._until_by_fingerprint: dict[str, float] = {}
        self._unwritten: set[str] = set()
        self._crashes_by_fingerprint: collections.OrderedDict[
            str, dict[str, float]
        ] = collections.OrderedDict()
        self._next_call_s = 0.0
        self._subscribers: list[CrashSubscriber] = []
        # Number of shards of all services, which share the bound on reads.
        self.fleet_shards = 0

    @property
    def key(self) -> str:
        """Key under which the object is stored."""
        return f"quarantine/{self._service}"

    @property
    def is_due(self) -> bool:
        """Whether ``run_once`` would call the platform now."""
        return self._clock.now() >= self._next_call_s

    def subscribe(self, subscriber: CrashSubscriber) -> None:
        """Adds a function to call when a quarantined request crashed targets.

        Args:
            subscriber: Called with the identifiers of the crashed targets.
        """
        self._subscribers.append(subscriber)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether requests with a fingerprint are refused."""
        until = self._until_by_fingerprint.get(fingerprint)
        return until is not None and until > self._clock.wall()

    def record_crash(
        self, fingerprint: str, target_id: str, now: float
    ) -> None:
        """Records that a request was in flight at the crash of a target.

        Args:
            fingerprint: Digest of the request.
            target_id: Target that crashed.
            now: Monotonic time in seconds.
        """
        crashed_at_by_target = self._crashes_by_fingerprint.setdefault(
            fingerprint, {}
        )
        crashed_at_by_target[target_id] = now
        self._crashes_by_fingerprint.move_to_end(fingerprint)
        while len(self._crashes_by_fingerprint) > MAX_FINGERPRINTS:
            self._crashes_by_fingerprint.popitem(last=False)
        for id, at in list(crashed_at_by_target.items()):
            if now - at > CRASH_WINDOW_S:
                del crashed_at_by_target[id]
        if len(crashed_at_by_target) < CRASHES_TO_QUARANTINE:
            return
        if not self.is_quarantined(fingerprint):
            logs.warning(
                self._log,
                "request_quarantined",
                service=self._service,
                fingerprint=fingerprint,
                targets=sorted(crashed_at_by_target),
            )
            until = self._clock.wall() + QUARANTINE_S
            self._until_by_fingerprint[fingerprint] = until
            self._unwritten.add(fingerprint)
            self._next_call_s = min(self._next_call_s, now)
        for subscriber in self._subscribers:
            subscriber(sorted(crashed_at_by_target))

    def answered(self, fingerprint: str) -> None:
        """Clears the crashes of a request that a target has answered."""
        self._crashes_by_fingerprint.pop(fingerprint, None)

    async def run_once(self) -> None:
        """Reads and writes the object if that is due."""
        if not self.is_due:
            return
        now = self._clock.now()
        self._next_call_s = now + max(
            READ_INTERVAL_S, self.fleet_shards / READS_PER_S
        )
        try:
            await self._exchange()
        except errors.StoreError as error:
            # If the write may have taken effect, the next read shows it:
            # the fingerprints stay in ``_unwritten`` until then.
            self._next_call_s = now + RETRY_INTERVAL_S
            logs.event(
                self._log,
                "quarantine_not_exchanged",
                service=self._service,
                error=repr(error),
            )

    async def _exchange(self) -> None:
        stored = await self._store.get(self.key)
        content = _decode(stored.value) if stored is not None else {}
        wall = self._clock.wall()
        for fingerprint, until in content.items():
            known = self._until_by_fingerprint.get(fingerprint, 0.0)
            self._until_by_fingerprint[fingerprint] = max(known, until)
        self._until_by_fingerprint = {
            fingerprint: until
            for fingerprint, until in self._until_by_fingerprint.items()
            if until > wall
        }
        self._unwritten &= set(self._until_by_fingerprint)
        self._unwritten -= set(content)
        if not self._unwritten:
            return
        sent = set(self._unwritten)
        newest = sorted(
            self._until_by_fingerprint.items(), key=lambda item: item[1]
        )[-MAX_FINGERPRINTS:]
        await self._store.put(
            self.key,
            json.dumps(dict(newest), sort_keys=True).encode(),
            if_version=(
                stored.version if stored is not None else stores.CREATE_ONLY
            ),
        )
        self._unwritten -= sent


def _decode(value: bytes) -> dict[str, float]:
    try:
        return {
            str(fingerprint): float(until)
            for fingerprint, until in json.loads(value).items()
        }
    except (AttributeError, TypeError, ValueError) as error:
        raise errors.StoreError(f"bad quarantine object: {error}") from error
