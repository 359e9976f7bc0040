"""One request on its way to a target."""

from __future__ import annotations

import typing

from fuchsiacourse import caller_request
from fuchsiacourse import config_table
from fuchsiacourse import errors
from fuchsiacourse import verdict as verdicts


class Execution:
    """State of one request while the entry has it executed.

    Args:
        request: The caller's request.
        route: Request kind that it was matched to.
        deadline_at: Monotonic time in seconds.
        key: Name of its ledger record; empty without one.
    """

    __slots__ = ("request", "route", "deadline_at", "key", "unproved_sendings")

    def __init__(
        self,
        *,
        request: caller_request.CallerRequest,
        route: config_table.Route,
        deadline_at: float,
        key: str = "",
    ) -> None:
        self.request = request
        self.route = route
        self.deadline_at = deadline_at
        self.key = key
        # Sendings to dispatch that are not proved to have run nothing.
        self.unproved_sendings = 0

    @property
    def service(self) -> str:
        """Name of the service."""
        return self.route.service.service

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind.idempotent

    @property
    def verdict(self) -> verdicts.Verdict:
        """Verdict if no answer has come from any sending."""
        if self.unproved_sendings:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    def refusal(
        self, status: int, title: str, **fields: typing.Any
    ) -> errors.RequestRefused:
        """Returns a refusal with the verdict that is proved by now."""
        return errors.RequestRefused(
            verdict=self.verdict, status=status, title=title, **fields
        )
