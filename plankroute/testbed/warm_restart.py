"""A steward restarts while a fifth of the hosts void all they get: with nothing, a snapshot, a peer, both, or
news that are all wrong. Real stewards, stand-in proxies and hosts; counts the txns that the restart costs."""

import asyncio
import random
import tempfile
import time
from pathlib import Path
from typing import Any

import jinja2
import msgspec

from plankroute.net.peers.snapshot_file import snapshot_file_name
from plankroute.testbed.faults import Act, Script, Step
from plankroute.testbed.hosts import Hosts
from plankroute.testbed.list_service import Behaviour, ListService, target
from plankroute.testbed.processes import STREAM_PORT, Fleet, Plan
from plankroute.testbed.traffic import TICK_S, Mix, Traffic
from plankroute.warm_start.codec import encode_file
from plankroute.warm_start.snapshot import HostKnowledge, Snapshot

WAYS = ("nothing", "snapshot", "peer", "both", "wrong")
LOOK_S = 10.0  # after the new start: so long the txns voided are counted
STANDING = 3  # lines of a proxy's standing table
READY_S = 30.0
CLASSES = [{"name": "lookup", "idempotency": "retryable", "onTimeMs": 500.0, "deadlineMs": 2000.0}]
SETTINGS: dict[str, Any] = {
    "caps": {"mayProbe": True, "dialTimeoutMs": 300.0},
    "classes": CLASSES,
    "dcs": ["a"],
    "familyInfo": {
        "proxies": 8,
        "pushRate": 4000.0,
        "queueCap": 8000,
        "envelope": 6,
        "lateMs": 50.0,
    },
    "safety": {"drainGraceMs": 3000.0},
    "report": {"fields": ["rif"], "via": "piggyback"},
}


class Trial(msgspec.Struct, frozen=True):
    """`is_killed`: without a word, instead of SIGTERM; `proxies_too`: they restart with it, empty."""

    way: str
    hosts: int = 50
    bad_part: float = 0.2
    warm_s: float = 20.0
    seed: int = 1
    net: int = 60
    mix: Mix = Mix()
    is_killed: bool = False
    proxies_too: bool = False


class Outcome(msgspec.Struct):
    """Txns of the restarted steward's proxies; `curve`: part voided by tenth of a second, from 2 s before."""

    way: str
    asked: float
    voided: float
    ready_ms: int
    told: int
    curve: list[float]

    def part(self) -> float:
        return self.voided / max(1.0, self.asked)


def own_sections(trial: Trial, folder: str) -> dict[str, Any]:
    if trial.way == "nothing":
        return {"coldstart": {}}
    has_file, has_peer = trial.way in ("snapshot", "both", "wrong"), trial.way in ("peer", "both")
    learned = {"folder": folder, "every_s": 1.0} if has_file else {}
    return {"coldstart": {}, "learned": {**learned, "ask_peers": 2 * has_peer}}


class Restart:
    """Two stewards with proxies of their own over the same hosts; the first one restarts."""

    def __init__(self, trial: Trial, folder: str) -> None:
        self.trial, self.folder = trial, folder
        self.hosts = Hosts(trial.hosts, trial.net)
        bad = round(trial.bad_part * trial.hosts)
        self.bad = set(random.Random(trial.seed).sample(range(trial.hosts), bad))
        targets = [target(host, where) for host, where in enumerate(self.hosts.addresses)]
        self.names = [entry["uid"] for entry in targets]
        self.hosts.bad = self.bad if trial.mix.probes_fail else set()
        self.service = ListService(targets, Behaviour(100.0))
        self.traffic: list[Traffic] = []

    async def run(self) -> Outcome:
        trial, has_peer = self.trial, self.trial.way in ("peer", "both")
        await self.hosts.open()
        address = await self.service.open(f"127.250.{trial.net}.1")
        settings = {
            **SETTINGS,
            "familyInfo": {**SETTINGS["familyInfo"], "proxies": trial.mix.proxies},
        }
        fleet = Fleet(
            Plan(
                2,
                Script(1),
                trial.net,
                more=own_sections(trial, self.folder),
                settings=settings,
                told={
                    "discovery": address,
                    "known": {"rev": 1000, "all": True, "targets": self.service.targets},
                },
                has_members=has_peer,
                has_links=has_peer,
                is_direct=True,
            )
        )
        try:
            return await self.play(fleet)
        finally:
            for traffic in self.traffic:
                traffic.close()
            await fleet.close()
            self.service.close()
            self.hosts.close()

    async def play(self, fleet: Fleet) -> Outcome:
        for member in (0, 1):
            await fleet.start(member)
        await fleet.until(
            lambda: all(self.said(fleet, member, "listening") for member in (0, 1)), READY_S
        )
        for member in (0, 1):
            self.start_traffic(fleet, member, self.trial.warm_s + LOOK_S + READY_S)
        await asyncio.sleep(self.trial.warm_s)
        await self.end_first(fleet)
        if self.trial.way == "wrong":
            self.forge()
        if self.trial.proxies_too:
            self.traffic[0].close()
        fleet.lines[0].clear()
        began_s = time.monotonic()
        await fleet.start(0)
        await fleet.until(lambda: self.said(fleet, 0, "listening"), READY_S)
        ready_ms = round((time.monotonic() - began_s) * 1e3)
        if self.trial.proxies_too:
            self.start_traffic(fleet, 0, LOOK_S + READY_S)
        from_s = time.monotonic()
        await asyncio.sleep(LOOK_S + TICK_S)
        told = (await fleet.ask_counters(0)).get("warm_start.hosts_provided", 0)
        traffic = self.traffic[-1] if self.trial.proxies_too else self.traffic[0]
        return self.outcome(traffic, from_s, ready_ms, told)

    def said(self, fleet: Fleet, member: int, event: str) -> bool:
        return any(line.get("event") == event for line in fleet.lines[member])

    def start_traffic(self, fleet: Fleet, member: int, for_s: float) -> None:
        chance = random.Random(self.trial.seed + member)
        traffic = Traffic(
            self.trial.mix,
            (fleet.real[member][0], STREAM_PORT),
            {self.names[host] for host in self.bad},
            chance.sample(self.names, STANDING),
        )
        traffic.start(for_s)
        self.traffic.append(traffic)

    async def end_first(self, fleet: Fleet) -> None:
        await fleet.do(Step(0.0, Act.KILL if self.trial.is_killed else Act.LEAVE, 0))
        await asyncio.wait_for(fleet.running[0].wait(), READY_S)

    def forge(self) -> None:
        """A file in which as many good hosts as there are bad ones are shut; the bad ones are the best."""
        good = [host for host in range(self.trial.hosts) if host not in self.bad][: len(self.bad)]
        facts = tuple(
            HostKnowledge(
                uid,
                0,
                1.5 if host in self.bad else 0.05 if host in good else 1.0,
                50.0,
                50.0 * (host in good),
                20_000.0,
                host in good,
                8,
                0,
            )
            for host, uid in enumerate(self.names)
        )
        view = Snapshot("n0000", 1000, 0, facts, ())
        (Path(self.folder) / snapshot_file_name("n0000")).write_bytes(
            encode_file(view, time.time_ns() // 1_000_000)
        )

    def outcome(self, traffic: Traffic, from_s: float, ready_ms: int, told: int) -> Outcome:
        first = int((from_s - traffic.began_s - 2.0) / TICK_S)
        curve = [
            round(traffic.voided[place] / traffic.asked[place], 3) if traffic.asked[place] else 0.0
            for place in range(max(0, first), first + round((LOOK_S + 2.0) / TICK_S))
        ]
        return Outcome(
            self.trial.way,
            round(traffic.between(traffic.asked, from_s, LOOK_S), 1),
            round(traffic.between(traffic.voided, from_s, LOOK_S), 1),
            ready_ms,
            told,
            curve,
        )


async def run_trial(trial: Trial) -> Outcome:
    with tempfile.TemporaryDirectory(prefix="plankroute-learned-") as folder:
        return await Restart(trial, folder).run()


async def run_ways(ways: tuple[str, ...], **more: Any) -> list[Outcome]:
    """Side by side, each on addresses of its own."""
    net = more.pop("net", 60)
    return list(
        await asyncio.gather(
            *(run_trial(Trial(way, net=net + place, **more)) for place, way in enumerate(ways))
        )
    )


def summed(rows: list[list[Outcome]]) -> list[Outcome]:
    """Over the seeds, way by way: txns added up, the rest in the mean."""
    out = []
    for same in zip(*rows, strict=True):
        curves = zip(*(one.curve for one in same), strict=False)
        curve = [round(sum(parts) / len(same), 3) for parts in curves]
        out.append(
            Outcome(
                same[0].way,
                sum(one.asked for one in same),
                sum(one.voided for one in same),
                round(sum(one.ready_ms for one in same) / len(same)),
                round(sum(one.told for one in same) / len(same)),
                curve,
            )
        )
    return out


HEADS = ("way", "asked", "voided", "part", "of nothing's", "ready after", "hosts told")


def table(outcomes: list[Outcome]) -> str:
    base = next((outcome.part() for outcome in outcomes if outcome.way == "nothing"), 0.0)
    rows = [
        HEADS,
        *(
            (
                one.way,
                f"{one.asked:.0f}",
                f"{one.voided:.0f}",
                f"{one.part():.2%}",
                f"{one.part() / base:.2f}" if base else "-",
                f"{one.ready_ms} ms",
                str(one.told),
            )
            for one in outcomes
        ),
    ]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADS))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )


PAGE = jinja2.Template(
    """<!doctype html><html lang="en"><meta charset="utf-8"><title>Restart</title>
<style>body{font:15px/1.45 system-ui,sans-serif;max-width:820px;margin:2em auto;padding:0 1em}
svg{width:100%;height:auto;background:#fafafa}</style><h1>A steward restarts</h1><pre>{{ table }}</pre>
<h2>Part of its proxies' txns voided, from 2 s before it is ready again</h2>
{% for curve in curves %}<h3>{{ curve.way }}</h3>
<svg viewBox="0 0 760 120" role="img" aria-label="{{ curve.way }}">
<line x1="0" y1="110" x2="760" y2="110" stroke="#999"/>
<polyline fill="none" stroke="#2f6db3" stroke-width="2" points="{{ curve.points }}"/>
<text x="2" y="14" font-size="12">{{ most }}</text></svg>{% endfor %}</html>
""",
    autoescape=True,
)


def page(outcomes: list[Outcome]) -> str:
    """All curves have one scale."""
    most = max((max(one.curve, default=0.0) for one in outcomes), default=0.0) or 1.0
    curves = [
        {
            "way": one.way,
            "points": " ".join(
                f"{760 * place / max(1, len(one.curve) - 1):.1f},{110 - 100 * part / most:.1f}"
                for place, part in enumerate(one.curve)
            ),
        }
        for one in outcomes
    ]
    return PAGE.render(table=table(outcomes), curves=curves, most=f"{most:.0%}")
