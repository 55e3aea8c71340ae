"""What a cold start showed, as a table and as one page with curves: calls at the service, ways side by
side."""

import jinja2

from plankroute.testbed.cold_start import Seen
from plankroute.testbed.list_service import BIN_S

WIDTH, HEIGHT, MARGIN = 760, 180, 34  # of one curve, in pixels
COLOURS = {"today": "#b3392f", "alone": "#2f6db3", "peers": "#2f8f4e"}
PAGE = jinja2.Template(
    """<!doctype html><html lang="en"><meta charset="utf-8"><title>Cold start</title>
<style>body{font:15px/1.45 system-ui,sans-serif;max-width:820px;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;width:100%}
td,th{padding:.3em .6em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{width:100%;height:auto;background:#fafafa}</style>
<h1>Cold start of {{ stewards }} stewards</h1>
<table><tr>{% for name in heads %}<th>{{ name }}</th>{% endfor %}</tr>
{% for row in rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>{% endfor %}</table>
<h2>Calls at the list service, a second</h2>
{% for curve in curves %}<h3>{{ curve.way }}</h3>
<svg viewBox="0 0 {{ width }} {{ height }}" role="img" aria-label="calls a second, {{ curve.way }}">
<line x1="{{ margin }}" y1="{{ height - margin }}" x2="{{ width }}" y2="{{ height - margin }}" stroke="#999"/>
<polyline fill="none" stroke="{{ curve.colour }}" stroke-width="2" points="{{ curve.points }}"/>
<text x="2" y="16" font-size="12">{{ curve.most }}</text>
<text x="{{ width - 60 }}" y="{{ height - 10 }}" font-size="12">{{ curve.seconds }} s</text></svg>
{% endfor %}<p>The scale of each curve is its own.</p></html>
""",
    autoescape=True,
)
HEADS = (
    "way",
    "calls",
    "refused",
    "busiest second",
    "first list",
    "last list",
    "serve",
    "MB",
    "CPU a steward",
    "probes a host",
)


def cells(seen: Seen) -> tuple[str, ...]:
    def seconds(value: float | None) -> str:
        return "never" if value is None else f"{value:.2f} s"

    probes = seen.notes.get("probes_a_host_mean")
    return (
        seen.way,
        str(seen.calls),
        str(seen.refused),
        str(seen.busiest),
        seconds(seen.first_s),
        seconds(seen.last_s),
        f"{seen.served}/{seen.stewards}",
        f"{seen.bytes / 1e6:.2f}",
        f"{seen.cpu_s:.2f} s",
        "-" if probes is None else f"{probes:g}, most {seen.notes['probes_a_host_most']}",
    )


def table(rows: list[Seen]) -> str:
    lines = [HEADS, *(cells(seen) for seen in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(HEADS))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def curve(seen: Seen) -> dict[str, object]:
    """Calls within the second up to each tenth."""
    last = max([int(place) for place in seen.bins], default=0) + 10
    width = round(1 / BIN_S)
    sums = [
        sum(seen.bins.get(place - back, 0) for back in range(width)) for place in range(last + 1)
    ]
    most = max(sums) or 1
    points = " ".join(
        f"{MARGIN + (WIDTH - MARGIN) * place / last:.1f},"
        f"{HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * value / most:.1f}"
        for place, value in enumerate(sums)
    )
    return {
        "way": seen.way,
        "points": points,
        "most": most,
        "seconds": round(last * BIN_S, 1),
        "colour": COLOURS.get(seen.way, "#555"),
    }


def page(rows: list[Seen]) -> str:
    return PAGE.render(
        stewards=rows[0].stewards,
        heads=HEADS,
        rows=[cells(seen) for seen in rows],
        width=WIDTH,
        height=HEIGHT,
        margin=MARGIN,
        curves=[curve(seen) for seen in rows],
    )
