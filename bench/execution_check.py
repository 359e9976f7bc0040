"""Compares what targets ran with what callers were told."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import typing

import aiohttp

from fuchsiacourse import load_run
from fuchsiacourse import service_file
from fuchsiacourse import verdict as verdicts


async def count_executions(
    services: collections.abc.Iterable[service_file.ServiceFile],
) -> collections.Counter[str]:
    """Returns how often each request body was run by a stub target."""
    addresses = [
        target.address for service in services for target in service.targets
    ]
    async with aiohttp.ClientSession() as session:
        records = await asyncio.gather(
            *(_read_record(session, address) for address in addresses)
        )
    return collections.Counter(
        run["body"] for record in records for run in record["runs"]
    )


async def _read_record(
    session: aiohttp.ClientSession, address: str
) -> dict[str, typing.Any]:
    async with session.get(f"http://{address}/record") as response:
        return await response.json()


def find_violations(
    bodies: collections.Counter[str],
    calls: collections.abc.Iterable[load_run.LoadCall],
) -> list[str]:
    """Returns a line for each call that breaks a guarantee.

    Args:
        bodies: How often each body was run.
        calls: Finished calls; those without a body are passed over.
    """
    found = []
    for call in calls:
        if call.item.kind.idempotent or not call.body:
            continue
        body = call.body.decode()
        runs = bodies[body]
        verdict = call.result.verdict
        if runs > 1:
            found.append(f"{call.item.name} {body} ran {runs} times")
        if runs and verdict is verdicts.Verdict.NOT_RUN:
            found.append(f"{call.item.name} {body} ran, told not-run")
        if not runs and verdict is verdicts.Verdict.RAN:
            found.append(f"{call.item.name} {body} did not run, told ran")
    return found
