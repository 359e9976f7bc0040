"""Checks the verdicts given to callers against the executions at targets."""

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
    """Returns the number of executions at stub targets by request body."""
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
    executions_by_body: collections.Counter[str],
    calls: collections.abc.Iterable[load_run.LoadCall],
) -> list[str]:
    """Returns one line for each violation of a guarantee.

    Args:
        executions_by_body: Number of executions by request body.
        calls: Finished calls. Idempotent ones and those without a body are
            skipped.
    """
    violations = []
    for call in calls:
        if call.item.kind.idempotent or not call.body:
            continue
        body = call.body.decode()
        executions = executions_by_body[body]
        verdict = call.result.verdict
        if executions > 1:
            violations.append(
                f"{call.item.name} {body} ran {executions} times"
            )
        if executions and verdict is verdicts.Verdict.NOT_RUN:
            violations.append(f"{call.item.name} {body} ran, verdict not-run")
        if not executions and verdict is verdicts.Verdict.RAN:
            violations.append(
                f"{call.item.name} {body} did not run, verdict ran"
            )
    return violations
