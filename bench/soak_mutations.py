"""Mutations that switch off one safeguard, to prove the soak detects it."""

from __future__ import annotations

import collections.abc
import contextlib
import typing
from unittest import mock

from bench import fake_store
from fuchsiacourse import answer_checks
from fuchsiacourse import claims
from fuchsiacourse import dispatch_call
from fuchsiacourse import dispatch_service
from fuchsiacourse import entry_stop
from fuchsiacourse import floor
from fuchsiacourse import key_blocks
from fuchsiacourse import keyed_runs
from fuchsiacourse import leaving_targets
from fuchsiacourse import request_tombstones
from fuchsiacourse import target_row

Patch = collections.abc.Callable[[], contextlib.AbstractContextManager[None]]


@contextlib.contextmanager
def _patched(
    *patches: typing.Any,
) -> collections.abc.Iterator[None]:
    with contextlib.ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        yield


def _incarnation() -> contextlib.AbstractContextManager[None]:
    """Lets every entry run keys of any incarnation."""
    return _patched(
        mock.patch.object(
            key_blocks.KeyBlocks, "holds", lambda self, incarnation: True
        ),
        mock.patch.object(
            key_blocks.KeyBlocks,
            "expires_at",
            lambda self, key: self._clock.now() + self._lifetime_s,
        ),
    )


def _floor() -> contextlib.AbstractContextManager[None]:
    """Ejects targets regardless of the capacity floor."""
    return _patched(
        mock.patch.object(floor, "may_eject", lambda *args, **kwargs: True),
        mock.patch.object(
            floor,
            "in_effect",
            lambda service, status, unhealthy=(): set(status.ejected),
        ),
    )


def _version() -> contextlib.AbstractContextManager[None]:
    """Writes objects regardless of their stored versions."""
    put = fake_store.FakeStore.put

    async def unconditional(
        self: fake_store.FakeStore,
        key: str,
        value: bytes,
        *,
        if_version: int | None,
    ) -> int:
        return await put(self, key, value, if_version=None)

    return _patched(
        mock.patch.object(fake_store.FakeStore, "put", unconditional)
    )


def _withdrawal() -> contextlib.AbstractContextManager[None]:
    """Replies withdrawn regardless of the request's state."""
    return _patched(
        mock.patch.object(
            dispatch_service.DispatchService,
            "_withdraw",
            lambda self, request, now: dispatch_service.WITHDRAWN,
        )
    )


def _drain() -> contextlib.AbstractContextManager[None]:
    """Shuts down without waiting for requests in flight."""

    async def no_wait(self, number, limit):
        return None

    async def no_drain(self):
        self._is_draining = True

    return _patched(
        mock.patch.object(entry_stop.EntryStop, "_wait_while", no_wait),
        mock.patch.object(entry_stop, "LINGER_S", 0.0),
        mock.patch.object(dispatch_service.DispatchService, "drain", no_drain),
        mock.patch("fuchsiacourse.dispatch.LINGER_S", 0.0),
    )


def _duplicate() -> contextlib.AbstractContextManager[None]:
    """Runs a duplicate Execute call a second time."""
    refusal = dispatch_service.DispatchService._refusal

    def refused(self, request, now):
        reply = refusal(self, request, now)
        if reply is not None and reply.refusal == "duplicate":
            request.request_id += "+"
            return None
        return reply

    return _patched(
        mock.patch.object(
            request_tombstones.RequestTombstones,
            "was_sent",
            lambda self, id, now: False,
        ),
        mock.patch.object(
            dispatch_service.DispatchService, "_refusal", refused
        ),
    )


def _claim() -> contextlib.AbstractContextManager[None]:
    """Runs caller-chosen keys without a claim."""

    async def claim(self, request):
        return claims.Claim(incarnation=self._incarnation, is_new=True)

    return _patched(mock.patch.object(claims.Claims, "claim", claim))


def _ledger() -> contextlib.AbstractContextManager[None]:
    """Ignores the ledger record of a key once its run has ended."""
    repeat = keyed_runs.KeyedRuns._repeat

    async def run_again(self, record, execution):
        if not record.is_final:
            return await repeat(self, record, execution)
        return await self._executor.run(execution)

    return _patched(
        mock.patch.object(keyed_runs.KeyedRuns, "_repeat", run_again)
    )


def _whole_answer() -> contextlib.AbstractContextManager[None]:
    """Forwards answers without checking them."""
    return _patched(
        mock.patch.object(
            answer_checks,
            "classify",
            lambda *args, **kwargs: (target_row.Outcome.OK, ""),
        ),
        mock.patch.object(
            dispatch_call.DispatchCall, "is_whole", lambda self, reply: True
        ),
    )


def _leaving() -> contextlib.AbstractContextManager[None]:
    """Ignores that a target is leaving."""
    return _patched(
        mock.patch.object(
            target_row.TargetRow,
            "leaving",
            property(lambda self: False, lambda self, value: None),
        ),
        mock.patch.object(
            leaving_targets.LeavingTargets,
            "check_send",
            lambda self, target, now: None,
        ),
    )


class Mutation:
    """A safeguard that can be switched off.

    Args:
        patch: Returns a context manager that switches it off.
        guarantees: Guarantees of which at least one must then break.
    """

    __slots__ = ("patch", "guarantees")

    def __init__(self, patch: Patch, *guarantees: str) -> None:
        self.patch = patch
        self.guarantees = guarantees

    def first_break(self, broken: list[str]) -> str:
        """Returns the first break of one of ``guarantees``, or ""."""
        for text in broken:
            if text.partition(":")[0] in self.guarantees:
                return text
        return ""


MUTATIONS_BY_NAME = {
    "incarnation": Mutation(_incarnation, "at_most_once", "not_run"),
    "floor": Mutation(_floor, "floor"),
    "version": Mutation(_version, "at_most_once", "config_rises"),
    "withdrawal": Mutation(_withdrawal, "at_most_once", "not_run"),
    "drain": Mutation(_drain, "graceful_stop"),
    "duplicate": Mutation(_duplicate, "at_most_once"),
    "claim": Mutation(_claim, "at_most_once"),
    "ledger": Mutation(_ledger, "at_most_once"),
    "whole_answer": Mutation(_whole_answer, "whole_answer"),
    "leaving": Mutation(_leaving, "leaving"),
}
