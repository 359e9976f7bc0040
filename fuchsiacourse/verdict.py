"""Verdict on whether a request was executed by a target."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    The value is the text of the Request-Verdict header. On the way back
    to the caller a verdict may only become less certain.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"

    @property
    def is_certain(self) -> bool:
        """Whether the verdict excludes one of the two outcomes."""
        return self is not Verdict.MAY_HAVE_RUN

    def combined(self, other: Verdict) -> Verdict:
        """Returns the joint verdict on two attempts of the same request.

        Args:
            other: Verdict on the other attempt.

        Returns:
            RAN if either attempt ran, NOT_RUN if neither ran, otherwise
            MAY_HAVE_RUN.
        """
        if Verdict.RAN in (self, other):
            return Verdict.RAN
        if self is other:
            return self
        return Verdict.MAY_HAVE_RUN
