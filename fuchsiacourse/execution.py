"""Defines the state of a request while dispatch runs it."""

from __future__ import annotations

import typing

from fuchsiacourse import caller_request
from fuchsiacourse import config_table
from fuchsiacourse import errors
from fuchsiacourse import verdict as verdicts


class Execution:
    """Holds the state of one request while an entry has it run by dispatch.

    Args:
        request: The caller's request.
        route: Service and request kind that the request matches.
        deadline_at: Monotonic time of the deadline in seconds.
        key: Name of the request's ledger record; empty without one.
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
        # Number of calls of dispatch without proof that the request did not
        # run.
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
        """Verdict if no call of dispatch returns an answer."""
        if self.unproved_sendings:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    def refusal(
        self, status: int, title: str, **fields: typing.Any
    ) -> errors.RequestRefused:
        """Returns a refusal with the verdict that is proven so far.

        Args:
            status: HTTP status.
            title: Short description of the reason.
            **fields: Further arguments of ``RequestRefused``.
        """
        return errors.RequestRefused(
            verdict=self.verdict, status=status, title=title, **fields
        )
