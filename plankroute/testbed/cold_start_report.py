"""Reports on cold starts: a text table, and an HTML page with curves of the calls at discovery."""

import jinja2

from plankroute.testbed.cold_start import ColdStartResult
from plankroute.testbed.list_service import BIN_S
from plankroute.text_table import text_table

WIDTH = 760  # of one curve, in pixels
HEIGHT = 180
MARGIN = 34
BINS_A_SECOND = round(1 / BIN_S)
COLOURS = {"today": "#b3392f", "alone": "#2f6db3", "peers": "#2f8f4e"}
OTHER_COLOUR = "#555"
PAGE = jinja2.Template(
    """<!doctype html><html lang="en"><meta charset="utf-8"><title>Cold start</title>
<style>body{font:15px/1.45 system-ui,sans-serif;max-width:820px;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;width:100%}
td,th{padding:.3em .6em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{width:100%;height:auto;background:#fafafa}</style>
<h1>Cold start of {{ controllers }} controllers</h1>
<table><tr>{% for name in headings %}<th>{{ name }}</th>{% endfor %}</tr>
{% for row in rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>{% endfor %}
</table>
<h2>Calls a second at the discovery service</h2>
{% for curve in curves %}<h3>{{ curve.way }}</h3>
<svg viewBox="0 0 {{ width }} {{ height }}" role="img" aria-label="calls a second, {{ curve.way }}">
<line x1="{{ margin }}" y1="{{ height - margin }}" x2="{{ width }}" y2="{{ height - margin }}"
 stroke="#999"/>
<polyline fill="none" stroke="{{ curve.colour }}" stroke-width="2" points="{{ curve.points }}"/>
<text x="2" y="16" font-size="12">{{ curve.max_calls }}</text>
<text x="{{ width - 60 }}" y="{{ height - 10 }}" font-size="12">{{ curve.seconds }} s</text></svg>
{% endfor %}<p>Each curve has its own scale.</p></html>
""",
    autoescape=True,
)
HEADINGS = (
    "way",
    "calls",
    "refused",
    "busiest second",
    "first list",
    "last list",
    "serve",
    "MB",
    "CPU a controller",
    "checks a host",
)


def format_seconds(value: float | None) -> str:
    """Formats a time; None is "never"."""
    return "never" if value is None else f"{value:.2f} s"


def table_row(seen: ColdStartResult) -> tuple[str, ...]:
    """Returns the cells of one start, in the order of `HEADINGS`."""
    checks = seen.notes.get("probes_a_host_mean")
    return (
        seen.variant,
        str(seen.calls),
        str(seen.refused),
        str(seen.busiest),
        format_seconds(seen.first_s),
        format_seconds(seen.last_s),
        f"{seen.served}/{seen.controllers}",
        f"{seen.bytes / 1e6:.2f}",
        f"{seen.cpu_s:.2f} s",
        "-" if checks is None else f"{checks:g}, most {seen.notes['probes_a_host_most']}",
    )


def table(rows: list[ColdStartResult]) -> str:
    """Formats the starts as a text table."""
    return text_table([HEADINGS, *(table_row(seen) for seen in rows)])


def call_curve(seen: ColdStartResult) -> dict[str, object]:
    """Returns the template values of a curve: at each bin, the calls within the second up to it."""
    last = max([int(bin_number) for bin_number in seen.bins], default=0) + BINS_A_SECOND
    sums = [
        sum(seen.bins.get(end - back, 0) for back in range(BINS_A_SECOND))
        for end in range(last + 1)
    ]
    max_calls = max(sums) or 1
    points = " ".join(
        f"{MARGIN + (WIDTH - MARGIN) * bin_number / last:.1f},"
        f"{HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * calls / max_calls:.1f}"
        for bin_number, calls in enumerate(sums)
    )
    return {
        "way": seen.variant,
        "points": points,
        "max_calls": max_calls,
        "seconds": round(last * BIN_S, 1),
        "colour": COLOURS.get(seen.variant, OTHER_COLOUR),
    }


def page(rows: list[ColdStartResult]) -> str:
    """Returns an HTML page with the table and a curve for each start; `rows` must not be empty."""
    text: str = PAGE.render(
        controllers=rows[0].controllers,
        headings=HEADINGS,
        rows=[table_row(seen) for seen in rows],
        width=WIDTH,
        height=HEIGHT,
        margin=MARGIN,
        curves=[call_curve(seen) for seen in rows],
    )
    return text
