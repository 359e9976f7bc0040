"""Callers of the soak test, which behave as the callers' guide requires."""

from __future__ import annotations

import asyncio
import collections
import json
import random
import typing

from bench import fake_peers
from bench import soak_process
from bench import soak_services
from bench import soak_targets
from fuchsiacourse import caller_request
from fuchsiacourse import errors
from fuchsiacourse import verdict as verdicts

MAX_ATTEMPTS = 7
RESEND_DELAY_S = 0.1
LIST_TIMEOUT_S = 1.0
# Seconds that a caller waits beyond the deadline it sends.
GRACE_S = 2.0
CHOSEN_KEY_SHARE = 0.25
BOOKING_SHARE = 0.5
SEARCH_SHARE = 0.1
# Share of requests whose body contains the mark that crashes a target.
CRASH_SHARE = 0.002
CRASH_MARK = b"crash-mark"
IMPATIENT_SHARE = 0.1

Verdict = verdicts.Verdict


class CallerResults:
    """Records the verdicts that callers received, by request path.

    A path identifies one request under one key; a request that is retried
    after a not-run verdict gets a new path.
    """

    def __init__(self) -> None:
        self.verdicts_by_path: dict[str, list[Verdict]] = {}
        self.bookings: set[str] = set()
        self.attempts = 0
        self.answers: collections.Counter[str] = collections.Counter()
        self.faults: list[str] = []

    def record_verdict(self, path: str, verdict: Verdict) -> None:
        """Records a verdict on the request of a path."""
        self.verdicts_by_path.setdefault(path, []).append(verdict)
        self.answers[verdict.value] += 1


class _AddressList:
    """A caller's copy of an address list with its keys and expiry times."""

    def __init__(self, *, content: typing.Any, now_s: float) -> None:
        self.addresses = [row.http_address for row in content.entries]
        self.expires_s = now_s + content.ttl_s
        self.keys_expire_s = now_s + content.keys.expires_in_s - 1.0
        self.keys = [
            f"{content.keys.prefix}-{number}"
            for number in range(content.keys.count)
        ]


class SoakCaller:
    """A caller that sends its requests one at a time.

    Args:
        ip: IP address of the caller.
        account: Client account; several callers may share one.
        network: Network to the entries.
        rng: Source of randomness.
        results: Receives the verdicts and the faults of answers.
        known_entries: Returns entry addresses to fetch the first list from.
        pause_s: Mean time between requests in seconds.
    """

    def __init__(
        self,
        *,
        ip: str,
        account: str,
        network: fake_peers.FakeNetwork,
        rng: random.Random,
        results: CallerResults,
        known_entries: typing.Callable[[], list[str]],
        pause_s: float,
    ) -> None:
        self._ip = ip
        self._account = account
        self._network = network
        self._rng = rng
        self._results = results
        self._known_entries = known_entries
        self.pause_s = pause_s
        self._requests = 0
        self._list: _AddressList | None = None
        self.is_stopped = False

    async def run(self) -> None:
        """Sends requests until ``is_stopped`` is set."""
        while not self.is_stopped:
            await asyncio.sleep(self._rng.expovariate(1.0 / self.pause_s))
            await self._send_request()

    async def _send_request(self) -> None:
        self._requests += 1
        service = self._rng.choice(soak_services.SERVICES)
        draw = self._rng.random()
        kind = "look"
        if draw < BOOKING_SHARE:
            kind = "book"
        elif draw < BOOKING_SHARE + SEARCH_SHARE:
            kind = "search"
        name = f"/{service}/{kind}/{self._ip}-{self._requests}"
        if kind == "book":
            self._results.bookings.add(name)
        is_crashing = self._rng.random() < CRASH_SHARE
        is_chosen = self._rng.random() < CHOSEN_KEY_SHARE
        await self._send_until_final(
            name, is_booking=kind == "book", marks=(is_crashing, is_chosen)
        )

    async def _send_until_final(
        self, name: str, *, is_booking: bool, marks: tuple[bool, bool]
    ) -> None:
        is_crashing, is_chosen = marks
        key_round = 0
        attempt = 0
        key = ""
        first = self._rng.randrange(4)
        for attempt_index in range(MAX_ATTEMPTS):
            address_list = await self._current_list()
            if address_list is None:
                await asyncio.sleep(RESEND_DELAY_S)
                continue
            attempt += 1
            path = f"{name}/{key_round}"
            if is_booking and attempt == 1:
                key = address_list.keys.pop(0)
                if is_chosen:
                    key = f"own{path.replace('/', '-')}"
            body = path.encode() + (CRASH_MARK if is_crashing else b"")
            place = (first + attempt_index) % len(address_list.addresses)
            verdict = await self._send_once(
                address_list.addresses[place],
                soak_process.new_request(
                    path=path,
                    account=self._account,
                    key=key,
                    attempt=attempt,
                    body=body,
                    deadline_ms=self._rng.choice((300, 1000, 2000)),
                ),
            )
            if verdict is Verdict.RAN:
                return
            if verdict is Verdict.NOT_RUN:
                key_round += 1
                attempt = 0
                # The entry may lack claim writes or the platform's store.
                is_chosen = False
            await asyncio.sleep(RESEND_DELAY_S)

    async def _send_once(
        self, address: str, request: caller_request.CallerRequest
    ) -> Verdict:
        self._results.attempts += 1
        timeout_s = request.deadline_ms / 1000 + GRACE_S
        if self._rng.random() < IMPATIENT_SHARE:
            timeout_s = self._rng.uniform(0.01, 0.3)
        path = request.path
        request_id = request.request_id
        try:
            answer = await self._network.call(
                self._ip, address, "handle", request, timeout_s=timeout_s
            )
        except errors.PeerError:
            self._results.answers["none"] += 1
            return Verdict.MAY_HAVE_RUN
        self._results.record_verdict(path, answer.verdict)
        self._check_answer(path, request_id, answer)
        return answer.verdict

    def _check_answer(
        self, path: str, request_id: str, answer: caller_request.CallerAnswer
    ) -> None:
        if answer.request_id != request_id:
            self._results.faults.append(
                f"whole_answer: {request_id} got the answer to"
                f" {answer.request_id}"
            )
        if answer.is_refusal or answer.status != 200:
            return
        if answer.body != soak_targets.answer_body(path):
            self._results.faults.append(
                f"whole_answer: {path} got {answer.body[:80]!r}"
            )
        if json.loads(answer.body).get("path") != path:
            self._results.faults.append(f"whole_answer: {path} got another's")

    async def _current_list(self) -> _AddressList | None:
        now_s = asyncio.get_running_loop().time()
        cached = self._list
        if (
            cached is not None
            and cached.keys
            and now_s < min(cached.expires_s, cached.keys_expire_s)
        ):
            return cached
        known = cached.addresses if cached is not None else []
        start = self._known_entries()
        self._rng.shuffle(start)
        for address in [*known, *start]:
            try:
                content = await self._network.call(
                    self._ip,
                    address,
                    "address_list",
                    self._account,
                    timeout_s=LIST_TIMEOUT_S,
                )
            except errors.PeerError:
                continue
            if content.entries:
                now_s = asyncio.get_running_loop().time()
                self._list = _AddressList(content=content, now_s=now_s)
                return self._list
        return None
