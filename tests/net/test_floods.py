"""Peers that send at full speed delay others by a bounded number of lines, and use no more memory.

The delay is counted in lines, which do not depend on the speed of the machine.
"""

import pytest
from support.service_harness import HELLO, RunningService, run_scenario

from plankroute.net.proxies.listener import MAX_LINES_PER_TURN

DIGITS_TO_LETTERS = str.maketrans("0123456789", "abcdefghij")
OUTCOMES = "outcomes locality=a endpoint=s-1 total=1 errors=0 rtt=1 interval=1000"
# Most turns of the event loop from sending a line to reading its answer: transport and task of
# either end have one each, and the test's polls come at any time.
MAX_TURNS = 8


def handled_lines(running: RunningService) -> int:
    """Returns how many lines were received or rejected so far."""
    return sum(
        count
        for name, count in running.counts.items()
        if name.startswith("rejected.")
        or (name.startswith("received.") and name not in ("received.bytes", "received.connections"))
    )


# One peer with lines of three bytes delayed the answers to all others by 0.2 to 0.3 s.
@pytest.mark.parametrize("flooding_peers", [1, 3])
@pytest.mark.parametrize(
    "first_line, line",
    [
        ("agent locality=a", "x"),
        ("agent locality=a", OUTCOMES),
        ("agent locality=a", OUTCOMES.replace("s-1", "s-unknown")),
        (HELLO, "probe"),
        (HELLO, "ack node=3 nonce=1 latency=1"),
        (HELLO, "demand node=3 route=lookup total=1 errors=0 interval=1000"),
    ],
)
def test_other_peers_are_answered_after_few_lines_of_a_flood(
    first_line: str, line: str, flooding_peers: int
) -> None:
    async def scenario(running: RunningService) -> None:
        other = await running.connect(HELLO.replace("=3", "=4"), "probe")
        await other.receive("alive")
        floods = [
            await running.connect(first_line.replace("=3", f"={number}"))
            for number in range(flooding_peers)
        ]
        await running.wait_until(lambda: running.counts["received.connections"] > flooding_peers)
        for number, flood in enumerate(floods):
            flood.send(*[line.replace("=3", f"={number}")] * (1_000_000 // len(line)))
        await running.wait_until(lambda: handled_lines(running) > 3 * MAX_LINES_PER_TURN)
        handled_before = handled_lines(running)
        other.send("probe")
        await other.receive("alive")
        most = MAX_TURNS * flooding_peers * MAX_LINES_PER_TURN
        assert handled_lines(running) - handled_before <= most

    run_scenario(scenario)


def test_ever_new_names_leave_nothing_behind() -> None:
    async def scenario(running: RunningService) -> None:
        collector = await running.connect("agent locality=a")
        directory = running.service.directory
        hosts_before = len(directory.ids)
        for first in range(0, 5000, 100):
            collector.send(
                *[OUTCOMES.replace("s-1", f"s-{first + n}-new") for n in range(100)],
                *[f"kind {f'{first + n}'.translate(DIGITS_TO_LETTERS)}=1" for n in range(100)],
            )
            collector.send("probe")
            await collector.receive("alive")
        assert running.counts["rejected.admission"] == 5000
        assert running.counts["rejected.parsing"] == 5000
        assert len(directory.ids) == hosts_before
        rejections = [name for name in running.counts if name.startswith("rejected.")]
        assert sorted(rejections) == ["rejected.admission", "rejected.parsing"]

    run_scenario(scenario)
