"""HTML page of the report on service-level burn."""

from __future__ import annotations

import base64
import datetime
import html
import io
import typing

import matplotlib.backends.backend_agg
import matplotlib.dates
import matplotlib.figure

from fuchsiacourse import burn_view

_WIDTH_IN = 9.0
_BAR_HEIGHT_IN = 0.35
_TIMELINE_HEIGHT_IN = 3.2
_DPI = 110
# Maximum number of kinds in the timeline; more lines can't be told apart.
_MAX_LINES = 6

_STYLE = """
body { font-family: sans-serif; margin: 2em; color: #222; max-width: 72em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border-bottom: 1px solid #ccc; padding: 0.3em 0.8em;
         text-align: right; }
th:first-child, td:first-child { text-align: left; }
.missed { color: #b00020; font-weight: bold; }
"""

EjectionRows = list[dict[str, typing.Any]]

HISTORY_COLUMNS = (
    "time",
    "service",
    "target",
    "change",
    "reason",
    "score",
    "threshold",
    "member",
)


def render(
    view: burn_view.BurnView,
    ejections: EjectionRows,
    *,
    history: EjectionRows,
    at: float,
) -> str:
    """Returns the page as HTML text.

    Args:
        view: Service levels of a month.
        ejections: Rows of targets that are ejected, leaving or cold.
        history: Rows of past ejections and re-admissions, newest first.
        at: Unix time in seconds at which the data was read.
    """
    moment = datetime.datetime.fromtimestamp(at, tz=datetime.timezone.utc)
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>Service levels {html.escape(view.month)}</title>",
        f"<style>{_STYLE}</style></head><body>",
        f"<h1>Service levels in {html.escape(view.month)}</h1>",
        f"<p>Read at {moment.isoformat(timespec='seconds')}. Worth served"
        f" in time: {view.worth_share:.2%}.</p>",
        "<h2>Error budget left</h2>",
        _image(_budget_figure(view), "Error budget left by request kind"),
        _kind_table(view),
        "<h2>Share served in time</h2>",
        _image(_timeline_figure(view), "Share served in time over time"),
        "<h2>Targets not in use</h2>",
        _ejection_table(ejections),
        "<h2>Ejections and re-admissions</h2>",
        _history_table(history),
    ]
    if view.problems:
        lines = "".join(f"<li>{html.escape(x)}</li>" for x in view.problems)
        parts.append(f"<h2>Unreadable objects</h2><ul>{lines}</ul>")
    parts.append("</body></html>")
    return "\n".join(parts)


def _kind_table(view: burn_view.BurnView) -> str:
    rows = [
        "<tr><th>kind</th><th>requests</th><th>in time</th><th>objective</th>"
        "<th>budget left</th><th>burn 1 h</th><th>burn 72 h</th>"
        "<th>worth in time</th></tr>"
    ]
    for item in view.kinds:
        left = item.budget_left
        mark = " class='missed'" if left is not None and left < 0 else ""
        rows.append(
            f"<tr{mark}><td>{html.escape(item.name)}</td>"
            f"<td>{item.counts.total}</td><td>{item.good_share:.2%}</td>"
            f"<td>{format_percent(item.objective)}</td>"
            f"<td>{format_percent(left)}</td>"
            f"<td>{format_burn_rate(item.burn_short)}</td>"
            f"<td>{format_burn_rate(item.burn_long)}</td>"
            f"<td>{item.worth_share:.2%}</td></tr>"
        )
    return f"<table>{''.join(rows)}</table>"


def _ejection_table(ejections: EjectionRows) -> str:
    if not ejections:
        return "<p>All targets are in use.</p>"
    rows = [
        "<tr><th>target</th><th>service</th><th>state</th><th>since</th>"
        "<th>reason</th></tr>"
    ]
    for item in ejections:
        cells = (
            item["target"],
            item["service"],
            item["state"],
            _moment(item.get("since")),
            item.get("reason", ""),
        )
        rows.append(
            "<tr>"
            + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in cells)
            + "</tr>"
        )
    return f"<table>{''.join(rows)}</table>"


def _history_table(history: EjectionRows) -> str:
    if not history:
        return "<p>No ejection is recorded.</p>"
    heads = "".join(f"<th>{name}</th>" for name in HISTORY_COLUMNS)
    rows = [f"<tr>{heads}</tr>"]
    for item in history:
        cells = "".join(
            f"<td>{html.escape(cell)}</td>" for cell in history_cells(item)
        )
        rows.append(f"<tr>{cells}</tr>")
    return f"<table>{''.join(rows)}</table>"


def history_cells(row: dict[str, typing.Any]) -> list[str]:
    """Returns the cell texts of a history row, one per HISTORY_COLUMNS."""
    return [
        _moment(row["at"]),
        *(str(row[name]) for name in HISTORY_COLUMNS[1:]),
    ]


def _budget_figure(view: burn_view.BurnView) -> matplotlib.figure.Figure:
    items = [
        (item.name, left)
        for item in reversed(view.kinds)
        if (left := item.budget_left) is not None
    ]
    figure = matplotlib.figure.Figure(
        figsize=(_WIDTH_IN, 1.2 + _BAR_HEIGHT_IN * max(1, len(items))),
        layout="constrained",
        dpi=_DPI,
    )
    axes = figure.add_subplot()
    if not items:
        axes.text(0.5, 0.5, "no requests with an objective", ha="center")
        axes.set_axis_off()
        return figure
    names, lefts = zip(*items, strict=True)
    # Clipped, because a kind far over its budget would flatten other bars.
    shown = [max(-100.0, left * 100) for left in lefts]
    colors = ["#b00020" if left < 0 else "#2a7f62" for left in lefts]
    axes.barh(names, shown, color=colors)
    axes.set_xlim(-105, 105)
    axes.axvline(0, color="#222", linewidth=0.8)
    axes.set_xlabel("error budget left in % (cut off at -100)")
    return figure


def _timeline_figure(view: burn_view.BurnView) -> matplotlib.figure.Figure:
    figure = matplotlib.figure.Figure(
        figsize=(_WIDTH_IN, _TIMELINE_HEIGHT_IN),
        layout="constrained",
        dpi=_DPI,
    )
    axes = figure.add_subplot()
    shown = [item for item in view.kinds if item.points][:_MAX_LINES]
    if not shown:
        axes.text(0.5, 0.5, "no samples yet", ha="center")
        axes.set_axis_off()
        return figure
    for item in shown:
        times = [
            datetime.datetime.fromtimestamp(at, tz=datetime.timezone.utc)
            for at, _ in item.points
        ]
        shares = [share * 100 for _, share in item.points]
        axes.plot(times, shares, marker="o", markersize=3, label=item.name)
    locator = matplotlib.dates.AutoDateLocator()
    axes.xaxis.set_major_locator(locator)
    axes.xaxis.set_major_formatter(
        matplotlib.dates.ConciseDateFormatter(locator)
    )
    axes.set_ylabel("served in time in %")
    axes.legend(fontsize="small")
    return figure


def _image(figure: matplotlib.figure.Figure, text: str) -> str:
    canvas = matplotlib.backends.backend_agg.FigureCanvasAgg(figure)
    buffer = io.BytesIO()
    canvas.print_png(buffer, metadata={"Software": None})
    data = base64.b64encode(buffer.getvalue()).decode()
    return f"<img alt='{text}' src='data:image/png;base64,{data}'>"


def format_percent(value: float | None) -> str:
    """Returns a share as a percentage; empty for None."""
    return "" if value is None else f"{value:.2%}"


def format_burn_rate(value: float | None) -> str:
    """Returns a burn rate with two decimals; empty for None."""
    return "" if value is None else f"{value:.2f}"


def _moment(at: typing.Any) -> str:
    if not isinstance(at, (int, float)):
        return ""
    moment = datetime.datetime.fromtimestamp(at, tz=datetime.timezone.utc)
    return moment.isoformat(timespec="seconds")
