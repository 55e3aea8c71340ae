"""Reports on warm restarts by source of prior knowledge: a text table, and a page with curves."""

import jinja2

from plankroute.testbed.warm_restart import NOTHING, Outcome
from plankroute.text_table import text_table


def summed(rows: list[list[Outcome]]) -> list[Outcome]:
    """Combines outcomes over seeds, separately for each source of prior knowledge.

    Args:
        rows: By seed, an outcome for each source, in the same order for all seeds.

    Returns:
        An outcome for each source: its requests and failures are sums, the other figures means.
    """
    return [combine_outcomes(list(outcomes)) for outcomes in zip(*rows, strict=True)]


def combine_outcomes(outcomes: list[Outcome]) -> Outcome:
    """Combines outcomes of one source; the curve is as long as the shortest one."""
    count = len(outcomes)
    curves = zip(*(outcome.curve for outcome in outcomes), strict=False)
    return Outcome(
        outcomes[0].knowledge_source,
        sum(outcome.requests for outcome in outcomes),
        sum(outcome.failures for outcome in outcomes),
        round(sum(outcome.ready_ms for outcome in outcomes) / count),
        round(sum(outcome.hosts_provided for outcome in outcomes) / count),
        [round(sum(shares) / count, 3) for shares in curves],
    )


HEADINGS = ("way", "requests", "failed", "share", "vs. nothing", "ready after", "hosts known")


def table(outcomes: list[Outcome]) -> str:
    """Formats the outcomes as a text table."""
    base = next((one.failure_ratio() for one in outcomes if one.knowledge_source == NOTHING), 0.0)
    return text_table([HEADINGS, *(table_row(outcome, base) for outcome in outcomes)])


def table_row(outcome: Outcome, base: float) -> tuple[str, ...]:
    """Returns the cells of one outcome, in the order of `HEADINGS`.

    Args:
        outcome: The outcome.
        base: Failure ratio without prior knowledge; 0 if it is unknown or no request failed.
    """
    ratio = outcome.failure_ratio()
    return (
        outcome.knowledge_source,
        f"{outcome.requests:.0f}",
        f"{outcome.failures:.0f}",
        f"{ratio:.2%}",
        f"{ratio / base:.2f}" if base else "-",
        f"{outcome.ready_ms} ms",
        str(outcome.hosts_provided),
    )


PAGE = jinja2.Template(
    """<!doctype html><html lang="en"><meta charset="utf-8"><title>Restart</title>
<style>body{font:15px/1.45 system-ui,sans-serif;max-width:820px;margin:2em auto;padding:0 1em}
svg{width:100%;height:auto;background:#fafafa}</style><h1>A controller restarts</h1>
<pre>{{ table }}</pre>
<h2>Share of its proxies' requests that fail, from 2 s before it is ready again</h2>
{% for curve in curves %}<h3>{{ curve.way }}</h3>
<svg viewBox="0 0 760 120" role="img" aria-label="{{ curve.way }}">
<line x1="0" y1="110" x2="760" y2="110" stroke="#999"/>
<polyline fill="none" stroke="#2f6db3" stroke-width="2" points="{{ curve.points }}"/>
<text x="2" y="14" font-size="12">{{ max_share }}</text></svg>{% endfor %}</html>
""",
    autoescape=True,
)


def page(outcomes: list[Outcome]) -> str:
    """Returns an HTML page with the table and a curve for each outcome, all on the same scale."""
    max_share = max((max(outcome.curve, default=0.0) for outcome in outcomes), default=0.0) or 1.0
    curves = [
        {"way": outcome.knowledge_source, "points": curve_points(outcome.curve, max_share)}
        for outcome in outcomes
    ]
    text: str = PAGE.render(table=table(outcomes), curves=curves, max_share=f"{max_share:.0%}")
    return text


def curve_points(curve: list[float], max_share: float) -> str:
    """Returns the points of a curve in SVG coordinates, with `max_share` at the upper edge."""
    last = max(1, len(curve) - 1)
    return " ".join(
        f"{760 * tick / last:.1f},{110 - 100 * share / max_share:.1f}"
        for tick, share in enumerate(curve)
    )
