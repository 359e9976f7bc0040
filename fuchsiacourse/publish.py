"""The publish program: puts a directory of service files in force."""

from __future__ import annotations

import functools
import json
import pathlib
import random
import sys
import typing

import rich.console
import rich.table
import typer

from fuchsiacourse import errors
from fuchsiacourse import http_store
from fuchsiacourse import manifest as manifests
from fuchsiacourse import operator_program
from fuchsiacourse import publish_change
from fuchsiacourse import publish_files
from fuchsiacourse import publisher
from fuchsiacourse import settings
from fuchsiacourse import system_clock

app = typer.Typer(add_completion=False)


class PublishArguments:
    """Parsed arguments of the command line.

    Args:
        directory: Directory of service files.
        base_path: File of the manifest that the change is based on; None
            for the one in force.
        removed: Names of services to remove.
        dry_run: Whether to show the change without writing it.
    """

    __slots__ = ("directory", "base_path", "removed", "dry_run")

    def __init__(
        self,
        *,
        directory: pathlib.Path,
        base_path: pathlib.Path | None,
        removed: list[str],
        dry_run: bool,
    ) -> None:
        self.directory = directory
        self.base_path = base_path
        self.removed = removed
        self.dry_run = dry_run


@app.command()
def main(
    directory: typing.Annotated[
        pathlib.Path,
        typer.Argument(help="Directory with one *.json per service."),
    ],
    settings_path: operator_program.SettingsOption,
    base: typing.Annotated[
        pathlib.Path | None,
        typer.Option(
            help="Manifest that the change is based on, as printed by"
            " `fuchsiacourse-ctl manifest`; by default the one in force."
        ),
    ] = None,
    remove: typing.Annotated[
        list[str] | None, typer.Option(help="Service to remove; repeatable.")
    ] = None,
    dry_run: typing.Annotated[
        bool, typer.Option("--dry-run", help="Show the change only.")
    ] = False,
    as_json: operator_program.JsonOption = False,
) -> None:
    """Validates all service files and puts them in force together."""
    arguments = PublishArguments(
        directory=directory,
        base_path=base,
        removed=remove or [],
        dry_run=dry_run,
    )
    result = operator_program.run(
        settings_path, functools.partial(_publish, arguments)
    )
    if as_json:
        print(json.dumps(_result_as_dict(result)))
    else:
        _print_result(result)


async def _publish(
    arguments: PublishArguments,
    options: settings.OperatorSettings,
    store: http_store.HttpStore,
) -> publish_change.PublishResult:
    candidates = publish_files.collect(arguments.directory)
    base = None
    if arguments.base_path is not None:
        base = _read_base(arguments.base_path)
    manifest_publisher = publisher.Publisher(
        store=store,
        clock=system_clock.SystemClock(),
        rng=random.SystemRandom(),
        operator=options.operator,
    )
    return await manifest_publisher.publish(
        candidates,
        removed=arguments.removed,
        base=base,
        dry_run=arguments.dry_run,
    )


def _read_base(path: pathlib.Path) -> manifests.Manifest:
    try:
        content = path.read_bytes()
    except OSError as error:
        raise errors.ServiceFileError(f"{path}: {error.strerror}") from error
    return manifests.decode(content, source=str(path))


def _result_as_dict(
    result: publish_change.PublishResult,
) -> dict[str, typing.Any]:
    return {name: getattr(result, name) for name in result.__slots__}


def _print_result(result: publish_change.PublishResult) -> None:
    console = rich.console.Console(file=sys.stdout)
    if result.is_empty:
        console.print(f"nothing to change at number {result.number}")
        return
    table = rich.table.Table("service", "change")
    for change in ("added", "changed", "removed", "merged"):
        for name in getattr(result, change):
            table.add_row(name, change)
    console.print(table)
    outcome = "would become" if result.is_dry_run else "published as"
    console.print(f"{outcome} number {result.number}")


if __name__ == "__main__":
    app()
