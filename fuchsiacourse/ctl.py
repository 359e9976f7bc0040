"""The ctl program: shows operators the state of the fleet."""

from __future__ import annotations

import datetime
import functools
import json
import pathlib
import sys
import typing

import rich.console
import rich.table
import typer

from fuchsiacourse import fleet_view
from fuchsiacourse import http_store
from fuchsiacourse import manifest as manifests
from fuchsiacourse import operator_program
from fuchsiacourse import request_trace
from fuchsiacourse import settings

# Columns of the output to a file or pipe, wide enough for the tables.
_REDIRECTED_WIDTH = 200

app = typer.Typer(add_completion=False)


@app.command()
def status(
    settings_path: operator_program.SettingsOption,
    as_json: operator_program.JsonOption = False,
) -> None:
    """Shows the configuration in force, targets and hosts."""
    view = operator_program.run(settings_path, _read_view)
    if as_json:
        print(json.dumps(view.as_dict()))
        return
    console = _console()
    console.print(
        f"manifest {view.manifest.number} ({view.manifest.publish_id})"
    )
    _print_table(console, "Zones", view.zones())
    _print_table(console, "Members", view.members())
    for name in view.services_by_name:
        _print_table(console, f"Service {name}", view.targets(name))
    _print_table(console, "Hosts", view.host_rows())
    _print_problems(console, view)


@app.command()
def request(
    request_id: typing.Annotated[str, typer.Argument(help="Request id.")],
    log: typing.Annotated[
        list[pathlib.Path],
        typer.Option(help="Log file of a front; repeatable."),
    ],
) -> None:
    """Shows the log events of a request and those that explain them."""
    trace = request_trace.RequestTrace(request_id=request_id)
    for path in log:
        with path.open(encoding="utf-8", errors="replace") as lines:
            trace.read(lines)
    print("\n".join(trace.lines()))


@app.command()
def explain(
    service: typing.Annotated[str, typer.Argument(help="Service name.")],
    settings_path: operator_program.SettingsOption,
    as_json: operator_program.JsonOption = False,
) -> None:
    """Shows why the targets of a service are in their states."""
    view = operator_program.run(
        settings_path, functools.partial(_read_view, only_service=service)
    )
    console = _console()
    if service not in view.services_by_name:
        # The manifest names the service, but its file is unreadable.
        _print_problems(console, view)
        raise typer.Exit(operator_program.EXIT_FAILED)
    content = view.explanation(service)
    if as_json:
        print(json.dumps(content))
        return
    console.print(
        f"{service}, version {content['version']} in manifest"
        f" {content['number']}: {content['slots_in_use']} of"
        f" {content['total_slots']} slots in use, floor"
        f" {content['floor_slots']}"
    )
    _print_table(console, "Shards", content["shards"])
    _print_table(console, "Targets", content["targets"])
    for row in content["targets"]:
        if row["state"] != "in use":
            console.print(_format_reason(row))
    _print_table(console, "Ejections and re-admissions", content["history"])
    _print_problems(console, view)


@app.command()
def manifest(settings_path: operator_program.SettingsOption) -> None:
    """Prints the manifest, for the option --base of publish."""
    found = operator_program.run(settings_path, _read_manifest)
    print(found.encode().decode())


async def _read_view(
    options: settings.OperatorSettings,
    store: http_store.HttpStore,
    *,
    only_service: str | None = None,
) -> fleet_view.FleetView:
    return await fleet_view.read(store, only_service=only_service)


async def _read_manifest(
    options: settings.OperatorSettings, store: http_store.HttpStore
) -> manifests.Manifest:
    return await fleet_view.read_manifest(store)


def _console() -> rich.console.Console:
    # Values come from stored objects; brackets in them must not be read as
    # markup. Without a terminal, rich would wrap the tables at 80 columns.
    return rich.console.Console(
        file=sys.stdout,
        markup=False,
        highlight=False,
        width=None if sys.stdout.isatty() else _REDIRECTED_WIDTH,
    )


def _print_table(
    console: rich.console.Console, title: str, rows: list[fleet_view.Json]
) -> None:
    columns = list(dict.fromkeys(column for row in rows for column in row))
    columns = [column for column in columns if column != "evidence"]
    table = rich.table.Table(*columns, title=title, title_justify="left")
    for row in rows:
        table.add_row(
            *(_format_cell(column, row.get(column)) for column in columns)
        )
    console.print(table)


def _format_cell(column: str, value: typing.Any) -> str:
    if value is None:
        return ""
    if column in ("since", "written_at", "at") and isinstance(
        value, (int, float)
    ):
        return datetime.datetime.fromtimestamp(
            value, tz=datetime.timezone.utc
        ).isoformat(timespec="seconds")
    return str(value)


def _format_reason(row: fleet_view.Json) -> str:
    evidence = row.get("evidence")
    evidence_text = json.dumps(evidence) if evidence else "none"
    return (
        f"{row['target']} is {row['state']}: {row['reason']};"
        f" evidence {evidence_text}; by {row.get('by', 'unknown')}"
    )


def _print_problems(
    console: rich.console.Console, view: fleet_view.FleetView
) -> None:
    for line in view.problems:
        console.print(f"unreadable: {line}")


if __name__ == "__main__":
    app()
