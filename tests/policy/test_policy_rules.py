"""Generated sequences of events, checked against a plain model of the rules."""

import random

import pytest
from support.controller_bench import run_random_events
from support.controller_model import (
    SECOND,
    Bench,
    request_class_facts,
    start_facts,
)

from plankroute.controller.controller import Controller
from plankroute.events import commands, events
from plankroute.events.events import ListKind
from plankroute.events.facts import AdmissionUnit, ReportSource


def test_a_failed_endpoint_list_is_polled_again() -> None:
    bench = Bench(start_facts(must_subscribe=True))
    bench.deliver(events.HostList(ListKind.FAILED, ()))
    bench.command_log.clear()
    bench.pass_time(3 * SECOND)
    assert commands.SubscribeHostList(True) in bench.command_log


def test_the_same_events_give_the_same_commands() -> None:
    logs = [Bench(start_facts(), controller=Controller(start_facts(), 5)) for _ in range(2)]
    for bench in logs:
        run_random_events(bench, random.Random(3), 60)
    assert logs[0].command_log == logs[1].command_log


@pytest.mark.parametrize("seed", range(12))
def test_generated_days_break_no_rule(seed: int) -> None:
    rng = random.Random(seed)
    request_classes = rng.choice(
        [
            (request_class_facts(),),
            (request_class_facts(), request_class_facts(zones=(0, 1))),
            (request_class_facts(stays_in_zone=True), request_class_facts(machine_types=(0,))),
        ]
    )
    facts = start_facts(
        request_classes=request_classes,
        report_source=rng.choice(list(ReportSource)),
        admission_unit=rng.choice(list(AdmissionUnit)),
        health_checks_allowed=rng.random() < 0.7,
        max_messages_per_window=rng.choice([0, 12]),
    )
    run_random_events(Bench(facts, speed=rng.choice([1.0, 0.4])), rng, 50)


def membership_events(kind: str, rng: random.Random) -> list[events.Event]:
    """Returns status events that membership might report in one batch, correct or not."""
    alive, gone = events.ControllerState.ALIVE, events.ControllerState.GONE
    match kind:
        case "gone":
            return [events.ControllerStatus(1, gone)]
        case "flapping":
            return [events.ControllerStatus(rng.randrange(3), state) for state in (gone, alive) * 3]
        case "random":
            return [
                events.ControllerStatus(
                    rng.randrange(-9, 2**40), rng.choice(list(events.ControllerState))
                )
                for _ in range(50)
            ]
        case _:
            return [events.ControllerStatus(1, alive)]  # although the controller is gone


@pytest.mark.parametrize("kind", ["gone", "alive", "flapping", "random"])
@pytest.mark.parametrize("seed", range(4))
def test_no_rule_depends_on_membership(kind: str, seed: int) -> None:
    """Checks that membership events change no command, so that no rule depends on them."""

    class BenchWithMembership(Bench):
        def deliver(self, *batch: events.Event) -> list[commands.Command]:
            return super().deliver(*membership_events(kind, random.Random(self.now)), *batch)

    logs = []
    for bench in (
        Bench(start_facts(controller_count=3)),
        BenchWithMembership(start_facts(controller_count=3)),
    ):
        run_random_events(bench, random.Random(seed), 40)
        logs.append(bench.command_log)
    assert logs[0] == logs[1] and logs[0]
