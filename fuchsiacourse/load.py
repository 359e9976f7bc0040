"""Program that sends load to a running fleet and compares results."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import typing

import rich.console
import rich.progress
import rich.table
import typer

from fuchsiacourse import arrival_profile
from fuchsiacourse import errors
from fuchsiacourse import load_mix
from fuchsiacourse import load_result
from fuchsiacourse import load_run
from fuchsiacourse import system_clock

app = typer.Typer(help=__doc__, no_args_is_help=True)

EXIT_BAD_INPUT = 2


@app.command()
def run(
    services: typing.Annotated[
        pathlib.Path, typer.Option(help="Folder of service files.")
    ],
    address: typing.Annotated[
        list[str],
        typer.Option(help="Address of an entry, ip:port; repeatable."),
    ],
    profile: typing.Annotated[
        str, typer.Option(help="Arrival rate: steady, swing or crest.")
    ] = "steady",
    rate: typing.Annotated[
        float, typer.Option(min=0.1, max=5000, help="Requests per second.")
    ] = 50.0,
    seconds: typing.Annotated[
        float, typer.Option(min=0.1, max=3600, help="Length of the run.")
    ] = 10.0,
    accounts: typing.Annotated[
        int, typer.Option(min=1, max=1000, help="Number of client accounts.")
    ] = 4,
    seed: typing.Annotated[int, typer.Option(help="Seed of the run.")] = 1,
    out: typing.Annotated[
        pathlib.Path | None, typer.Option(help="File for the JSON result.")
    ] = None,
) -> None:
    """Sends open-loop load and prints latencies by request kind."""
    console = rich.console.Console()
    chosen = arrival_profile.PROFILES_BY_NAME.get(profile)
    if chosen is None:
        console.print(f"--profile: unknown profile {profile}", style="red")
        raise typer.Exit(EXIT_BAD_INPUT)
    try:
        mix = load_mix.from_folder(services)
    except errors.ServiceFileError as error:
        console.print(str(error), style="red", markup=False)
        raise typer.Exit(EXIT_BAD_INPUT) from error
    if not mix.items:
        console.print(f"{services}: no service files", style="red")
        raise typer.Exit(EXIT_BAD_INPUT)
    with rich.progress.Progress(console=console, transient=True) as bar:
        task = bar.add_task("requests", total=rate * seconds)
        load = load_run.LoadRun(
            addresses=address,
            profile=chosen(rate_per_s=rate, length_s=seconds),
            mix=mix,
            clock=system_clock.SystemClock(),
            rng=random.Random(seed),
            accounts=accounts,
            on_progress=lambda sent, done: bar.update(
                task, completed=done, total=max(sent, rate * seconds)
            ),
        )
        result = asyncio.run(load.run())
    console.print(result.table())
    if out is not None:
        out.write_text(result.to_json() + "\n", encoding="utf-8")


@app.command()
def compare(
    before: typing.Annotated[
        pathlib.Path, typer.Argument(help="JSON result of the first run.")
    ],
    after: typing.Annotated[
        pathlib.Path, typer.Argument(help="JSON result of the second run.")
    ],
) -> None:
    """Compares the JSON results of two runs."""
    console = rich.console.Console()
    try:
        old = json.loads(before.read_text(encoding="utf-8"))
        new = json.loads(after.read_text(encoding="utf-8"))
    except (OSError, json.JSONDecodeError) as error:
        console.print(str(error), style="red", markup=False)
        raise typer.Exit(EXIT_BAD_INPUT) from error
    table = rich.table.Table("kind", "figure", "before", "after", "change")
    for name in sorted(old["kinds"].keys() & new["kinds"].keys()):
        for percentile in map(str, load_result.PERCENTILES):
            _add_comparison(
                table,
                name,
                f"p{percentile} ms",
                old["kinds"][name]["latency_ms"][percentile],
                new["kinds"][name]["latency_ms"][percentile],
            )
    _add_comparison(
        table, "all", "worth ratio", old["worth_ratio"], new["worth_ratio"]
    )
    console.print(table)


def _add_comparison(
    table: rich.table.Table, kind: str, figure: str, old: float, new: float
) -> None:
    change = f"{(new - old) / old:+.1%}" if old else ""
    table.add_row(kind, figure, f"{old:.3g}", f"{new:.3g}", change)


if __name__ == "__main__":
    app()
