"""Options, store access and exit codes of the operators' programs."""

from __future__ import annotations

import asyncio
import collections.abc
import pathlib
import sys
import typing

import typer

from fuchsiacourse import errors
from fuchsiacourse import http_store
from fuchsiacourse import settings

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2

Result = typing.TypeVar("Result")

SettingsOption = typing.Annotated[
    pathlib.Path,
    typer.Option("--settings", help="Settings file of the operator."),
]
JsonOption = typing.Annotated[
    bool, typer.Option("--json", help="Print JSON instead of tables.")
]

Work = typing.Callable[
    [settings.OperatorSettings, http_store.HttpStore],
    collections.abc.Awaitable[Result],
]


def run(settings_path: pathlib.Path, work: Work[Result]) -> Result:
    """Runs a coroutine function with the store and returns its result.

    Args:
        settings_path: Settings file of the operator.
        work: Called with the settings and the store.

    Raises:
        typer.Exit: With EXIT_BAD_INPUT for invalid settings or service
            files, and with EXIT_FAILED for a conflict or a platform that
            does not answer. The reason goes to stderr.
    """
    try:
        options = settings.load(settings_path, settings.OperatorSettings)
        return asyncio.run(_with_store(options, work))
    except (errors.SettingsError, errors.ServiceFileError) as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_BAD_INPUT) from error
    except errors.StoreOutcomeUnknown as error:
        print(
            f"no reply to a write, which may have taken effect: {error}",
            file=sys.stderr,
        )
        raise typer.Exit(EXIT_FAILED) from error
    except errors.FuchsiacourseError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_FAILED) from error


async def _with_store(
    options: settings.OperatorSettings, work: Work[Result]
) -> Result:
    store = http_store.HttpStore(
        url=options.platform.url, timeout_s=options.platform.timeout_s
    )
    try:
        return await work(options, store)
    finally:
        await store.close()
