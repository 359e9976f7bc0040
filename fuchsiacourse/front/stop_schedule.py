"""Decides which requests a front takes while it shuts down.

Covers callers that use a front until its process is gone, with work that may
take longer than what is left of the grace time, and with bodies that are still
being read when the shutdown begins.
"""

from __future__ import annotations

from fuchsiacourse import clock as clocks
from fuchsiacourse.front import front_settings

# Longest time in which new requests are still sent to targets, in seconds.
# Callers use an address list for up to three times its lifetime.
SERVE_S = 2.8
# The same as a share of the grace time; a request that comes at its end needs
# the rest.
SERVE_SHARE = 0.5
# Longest time in which new connections are accepted, in seconds. A request
# that comes too late to be served is refused until then.
LISTEN_S = 3.4
# Time reserved for the exit of the process at the end of the grace time, in
# seconds; a slow host needs some of it.
EXIT_MARGIN_S = 0.6
# The same for an exit that only answers wait for which callers read slowly, in
# seconds.
WRITE_MARGIN_S = 0.2
# Time before the exit at which requests in progress get their final answers,
# in seconds; the answers have to be sent, and their callers may still be
# sending.
ANSWER_MARGIN_S = 0.2
# Multiple of the usual time, and least time in seconds, that must be left for
# a request whose body ends after SERVE_S. Most work ends in it; the caller of
# a refused request loses only its upload, not its answer.
UPLOAD_FACTOR = 3.0
MIN_UPLOAD_LEFT_S = 1.0


class StopSchedule:
    """Times of the graceful shutdown of one front.

    Args:
        clock: Source of time.
        bounds: Operator's bounds; the grace time is used.
    """

    __slots__ = ("_clock", "_bounds", "_began_s")

    def __init__(
        self, *, clock: clocks.Clock, bounds: front_settings.Bounds
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        # Monotonic time at which the shutdown began, in seconds.
        self._began_s = float("inf")

    def begin(self) -> None:
        """Records that the shutdown begins now."""
        self._began_s = self._clock.now()

    @property
    def exits_at_s(self) -> float:
        """Monotonic time at which the process must exit, in seconds."""
        return self._began_s + max(0.0, self._bounds.stop_s - EXIT_MARGIN_S)

    @property
    def writes_until_s(self) -> float:
        """Monotonic time until which callers may read answers, in seconds."""
        return self._began_s + max(0.0, self._bounds.stop_s - WRITE_MARGIN_S)

    @property
    def answers_until_s(self) -> float:
        """Monotonic time until which targets may answer, in seconds."""
        return self.exits_at_s - ANSWER_MARGIN_S

    @property
    def listens_until_s(self) -> float:
        """Monotonic time until which connections are accepted, in seconds."""
        return min(self._began_s + LISTEN_S, self.answers_until_s)

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self._clock.now() >= self._began_s

    def may_serve(
        self, usual_s: float, *, begun_s: float | None = None
    ) -> bool:
        """Returns whether a request may be sent to a target.

        Args:
            usual_s: Usual time of the service, in seconds.
            begun_s: Monotonic time of the request's first byte, in seconds,
                None for now.
        """
        now_s = self._clock.now()
        serve_s = min(SERVE_S, SERVE_SHARE * self._bounds.stop_s)
        is_late = now_s >= self._began_s + serve_s
        if is_late and (begun_s is None or begun_s >= self._began_s + serve_s):
            return False
        needed_s = usual_s
        if is_late:
            needed_s = max(UPLOAD_FACTOR * usual_s, MIN_UPLOAD_LEFT_S)
        return now_s + needed_s <= self.answers_until_s

    def may_finish(self, usual_s: float) -> bool:
        """Returns whether work that begins now may end before the exit.

        Args:
            usual_s: Usual time of the service, in seconds.
        """
        return self._clock.now() + usual_s <= self.answers_until_s
