"""The report program: error budgets and burn rates of the objectives."""

from __future__ import annotations

import functools
import json
import pathlib
import typing

import rich.console
import rich.table
import typer

from fuchsiacourse import burn_counters
from fuchsiacourse import burn_page
from fuchsiacourse import burn_view
from fuchsiacourse import fleet_view
from fuchsiacourse import http_store
from fuchsiacourse import operator_program
from fuchsiacourse import settings
from fuchsiacourse import system_clock

app = typer.Typer(add_completion=False)

# Columns of the output to a file or pipe, wide enough for the tables.
_REDIRECTED_WIDTH = 140


class Report:
    """Service levels of a month and the targets that are not in use.

    Args:
        view: Service levels by request kind.
        ejections: Rows of the targets whose state is not "in use".
        history: Rows of past ejections and re-admissions, newest first.
        at: Unix time in seconds at which the reading of the store began.
    """

    __slots__ = ("view", "ejections", "history", "at")

    def __init__(
        self,
        *,
        view: burn_view.BurnView,
        ejections: burn_page.EjectionRows,
        history: burn_page.EjectionRows,
        at: float,
    ) -> None:
        self.view = view
        self.ejections = ejections
        self.history = history
        self.at = at


@app.command()
def main(
    settings_path: operator_program.SettingsOption,
    month: typing.Annotated[
        str | None,
        typer.Option(help="Month, as 2026-01; by default this one (UTC)."),
    ] = None,
    html: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="File to write the page with plots to."),
    ] = None,
    as_json: operator_program.JsonOption = False,
) -> None:
    """Shows error budgets, burn rates and ejections of one month."""
    report = operator_program.run(
        settings_path, functools.partial(_read, month)
    )
    if html is not None:
        page = burn_page.render(
            report.view, report.ejections, history=report.history, at=report.at
        )
        html.write_text(page, encoding="utf-8")
    if as_json:
        content = report.view.as_dict() | {
            "not_in_use": report.ejections,
            "history": report.history,
        }
        print(json.dumps(content))
        return
    _print_report(report)


async def _read(
    month: str | None,
    options: settings.OperatorSettings,
    store: http_store.HttpStore,
) -> Report:
    now = system_clock.SystemClock().wall()
    fleet = await fleet_view.read(store)
    view = await burn_view.read(
        store,
        fleet.services_by_name,
        month=month or burn_counters.month_of(now, time_zone="UTC"),
    )
    ejections = [
        {"service": name} | row
        for name in fleet.services_by_name
        for row in fleet.targets(name)
        if row["state"] != "in use"
    ]
    history = [
        {"service": name} | row
        for name in fleet.services_by_name
        for row in fleet.history(name)
    ]
    history.sort(key=lambda row: -row["at"])
    return Report(view=view, ejections=ejections, history=history, at=now)


def _print_report(report: Report) -> None:
    console = rich.console.Console(markup=False, highlight=False)
    if not console.is_terminal:
        console.width = _REDIRECTED_WIDTH
    table = rich.table.Table(
        "kind",
        "requests",
        "in time",
        "objective",
        "budget left",
        "burn 1 h",
        "burn 72 h",
        "worth in time",
        title=f"Service levels in {report.view.month}",
    )
    for item in report.view.kinds:
        table.add_row(
            item.name,
            str(item.counts.total),
            f"{item.good_share:.2%}",
            burn_page.format_percent(item.objective),
            burn_page.format_percent(item.budget_left),
            burn_page.format_burn_rate(item.burn_short),
            burn_page.format_burn_rate(item.burn_long),
            f"{item.worth_share:.2%}",
        )
    console.print(table)
    console.print(f"worth served in time: {report.view.worth_share:.2%}")
    for row in report.ejections:
        console.print(
            f"{row['service']}/{row['target']} is {row['state']}:"
            f" {row.get('reason', '')}"
        )
    _print_history(console, report.history)
    for line in report.view.problems:
        console.print(f"unreadable: {line}")


def _print_history(
    console: rich.console.Console, history: burn_page.EjectionRows
) -> None:
    table = rich.table.Table(
        *burn_page.HISTORY_COLUMNS, title="Ejections and re-admissions"
    )
    for row in history:
        table.add_row(*burn_page.history_cells(row))
    console.print(table)


if __name__ == "__main__":
    app()
