"""Operators of the soak test, which publish concurrently."""

from __future__ import annotations

import random
import typing

from bench import fake_store
from bench import soak_services
from bench import virtual_loop
from fuchsiacourse import errors
from fuchsiacourse import platform_model
from fuchsiacourse import publisher as publishers
from fuchsiacourse import timers as timer_services


class AcceptedPublish:
    """A publish that was confirmed to its operator.

    Args:
        number: Number of the configuration.
        service: Service that the publish changed.
        publishes: Publish count that identifies the version.
        at_s: Monotonic time of the acceptance in seconds.
    """

    __slots__ = ("number", "service", "publishes", "at_s")

    def __init__(
        self, *, number: int, service: str, publishes: int, at_s: float
    ) -> None:
        self.number = number
        self.service = service
        self.publishes = publishes
        self.at_s = at_s


class SoakOperators:
    """Publishes versions that carry a rising publish count.

    Args:
        platform: Platform's object API.
        seed: Seed of all randomness.
        on_broken: Called with a text for each unexpected failure.
    """

    def __init__(
        self,
        *,
        platform: platform_model.PlatformModel,
        seed: str,
        on_broken: typing.Callable[[str], None],
    ) -> None:
        self._platform = platform
        self._seed = seed
        self._on_broken = on_broken
        self._clock = virtual_loop.VirtualClock()
        self._publishes = 0
        self.accepted: list[AcceptedPublish] = []
        # Counts of publishes whose outcome is unknown.
        self.unresolved: set[int] = set()
        self.refused = 0

    async def publish(self, *services: str) -> AcceptedPublish | None:
        """Publishes new versions of services in one change.

        Returns:
            The last accepted publish, or None if it was refused or its
            outcome is unknown.
        """
        self._publishes += 1
        mark = self._publishes
        self.unresolved.add(mark)
        try:
            result = await self._publisher(mark).publish(
                [soak_services.candidate(name, mark) for name in services]
            )
        except errors.PublishConflict:
            self.refused += 1
            self.unresolved.discard(mark)
            return None
        except errors.StoreOutcomeUnknown:
            return None
        except errors.StoreError:
            # An attempt before the last one may have taken effect.
            return None
        except Exception as error:
            self._on_broken(f"run: publish failed: {error!r}")
            return None
        self.unresolved.discard(mark)
        for name in services:
            self.accepted.append(
                AcceptedPublish(
                    number=result.number,
                    service=name,
                    publishes=mark,
                    at_s=self._clock.now(),
                )
            )
        return self.accepted[-1]

    def _publisher(self, mark: int) -> publishers.Publisher:
        rng = random.Random(f"{self._seed}/operator/{mark}")
        timers = timer_services.Timers(
            clock=self._clock, rng=rng, on_error=self._on_timer_error
        )
        store = fake_store.FakeStore(
            platform=self._platform,
            clock=self._clock,
            timers=timers,
            rng=rng,
        )
        return publishers.Publisher(
            store=store, clock=self._clock, rng=rng, operator=f"op{mark}"
        )

    def _on_timer_error(self, error: Exception) -> None:
        self._on_broken(f"run: late write failed: {error!r}")
