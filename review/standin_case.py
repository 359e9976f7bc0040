"""Runs a case and turns its findings into the exit code."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import traceback
import typing

import standin_fleet as fleets
import standin_record as records
import standin_store as stores

BROKEN = 1
HELD = 0
CANNOT_RUN = 2
TIME_LIMIT_S = 115.0

Play = typing.Callable[
    [fleets.Fleet, records.Record, bool], typing.Awaitable[list[str]]
]


def main(
    folder: pathlib.Path,
    play: Play,
    zones_by_region: dict[str, list[str]],
) -> None:
    """Plays a case and exits with its result.

    Args:
        folder: Folder of the case.
        play: Plays it; its last argument says whether to make trouble.
            Returns the findings that break the rule.
        zones_by_region: Zones of the fronts by region.
    """
    record = records.Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble   {has_trouble}")
    asyncio.run(_run_and_exit(record, play, zones_by_region, has_trouble))


async def _run_and_exit(
    record: records.Record,
    play: Play,
    zones_by_region: dict[str, list[str]],
    has_trouble: bool,
) -> None:
    code = await _run(record, play, zones_by_region, has_trouble)
    sys.stdout.flush()
    # Clients that are still waiting must not delay the end.
    os._exit(code)


async def _run(
    record: records.Record,
    play: Play,
    zones_by_region: dict[str, list[str]],
    has_trouble: bool,
) -> int:
    fleet = None
    try:
        fleet = fleets.Fleet(
            store=stores.Store(),
            record=record,
            zones_by_region=zones_by_region,
        )
        await fleet.start_store()
        found = await asyncio.wait_for(
            play(fleet, record, has_trouble), TIME_LIMIT_S
        )
    except Exception as error:
        record.note(f"can't run {error!r}")
        traceback.print_exc()
        return CANNOT_RUN
    finally:
        if fleet is not None:
            await fleet.stop_all()
    for item in found:
        record.note(f"broken    {item}")
        print(item)
    verdict = "broken" if found else "held"
    record.note(f"verdict   {verdict}")
    print(f"rule {verdict}")
    return BROKEN if found else HELD
