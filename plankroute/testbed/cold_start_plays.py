"""Steps and checks of the cases of a cold start through peers.

The steps of a case run once all controllers have been started, and return the problems found.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from plankroute.cold_start.rendezvous import rendezvous_order
from plankroute.testbed.cold_host_load import ColdHostModel
from plankroute.testbed.cold_start import ColdStart
from plankroute.testbed.cold_start_faults import MisbehavingWatcher
from plankroute.testbed.faults import SECOND, Act
from plankroute.testbed.processes import GROUP_NAME, LINK_PORT, LogLine

CONTROLLERS = 10
WATCHERS = 3
ALL_MEMBERS = list(range(CONTROLLERS))
LAST_MEMBER = CONTROLLERS - 1
DRAIN_GRACE_S = 3.0  # as in the settings of cold starts
MAX_CALLS = 12  # to discovery: four by each watcher
MAX_CHANGE_BYTES = 50_000  # sent by discovery where only changes are expected
PARTITION_FROM_S = 4.0
PARTITION_UNTIL_S = 34.0
DRAINED_HOST = 7
DRAINED_UID = f"s-{DRAINED_HOST:05d}"
INITIAL_REVISION = 1000  # of discovery when it is opened
MISSING_S = 99.0  # used as the duration if the awaited event did not occur

Problems = list[str]
CaseSteps = Callable[[ColdStart], Awaitable[Problems]]


def watchers() -> list[int]:
    """Returns the members that watch discovery, by the same election as in the controllers."""
    names = [f"n{member:04d}" for member in ALL_MEMBERS]
    return [int(name[1:]) for name in rendezvous_order(names, GROUP_NAME)[:WATCHERS]]


def all_but(members: list[int]) -> list[int]:
    """Returns all members except the given ones."""
    return [member for member in ALL_MEMBERS if member not in members]


def small_side() -> list[int]:
    """Returns the smaller side of the partition: one watcher and two other members."""
    return [watchers()[2], *all_but(watchers())[:2]]


def logged_lists(start: ColdStart, member: int) -> list[LogLine]:
    """Returns the log lines of a member about new endpoint lists, oldest first."""
    return [line for line in start.processes.log_lines[member] if line.get("event") == "list"]


def all_have_revision(start: ColdStart, members: list[int], revision: int) -> bool:
    """Returns whether all these members have logged a list of this revision or a higher one."""
    return all(
        any(line["revision"] >= revision for line in logged_lists(start, member))
        for member in members
    )


def all_latest_are(start: ColdStart, members: list[int], revision: int) -> bool:
    """Returns whether the latest list that each of these members logged has this revision."""
    return all(
        [line["revision"] for line in logged_lists(start, member)][-1:] == [revision]
        for member in members
    )


def seconds_until(start: ColdStart, members: list[int], revision: int, since_us: int) -> float:
    """Returns the seconds until all these members had logged a list of this revision or higher.

    Counted from `since_us`, on the clock of the processes' history. All of them must have logged
    one.
    """
    first_us = [
        min(line["at_us"] for line in logged_lists(start, member) if line["revision"] >= revision)
        for member in members
    ]
    last_us: int = max(first_us)
    return (last_us - since_us) / SECOND


async def expect(start: ColdStart, what: str, holds: Callable[[], bool]) -> Problems:
    """Waits for a condition; returns a problem that names `what` if it does not hold in time."""
    if await start.wait_until(holds):
        return []
    return [f"{what}: not seen within {start.case.limit_s:.0f} s"]


async def expect_list(start: ColdStart) -> Problems:
    """Waits until all controllers have a complete list."""
    return await expect(
        start, "a complete list at all controllers", lambda: None not in start.list_times_us()
    )


async def expect_tables(start: ColdStart, proxies: int) -> Problems:
    """Waits until this number of proxies have joined and hold a table."""

    def all_bound() -> bool:
        bound = [proxy.is_bound for proxy in start.proxies.values()]
        return len(bound) == proxies and all(bound)

    return await expect(start, "a table at each proxy", all_bound)


async def expect_drain_at_proxies(start: ColdStart) -> Problems:
    """Drains a host, and checks that all proxies withdraw it within the drain grace."""
    began_s = time.monotonic()
    start.service.change(DRAINED_HOST, state="DRAINING")
    problems = await expect(
        start,
        "the withdrawal of the draining host at all proxies",
        lambda: all(DRAINED_UID in proxy.withdrawn_s for proxy in start.proxies.values()),
    )
    withdrawn_s = [
        proxy.withdrawn_s.get(DRAINED_UID, began_s + MISSING_S) for proxy in start.proxies.values()
    ]
    took_s = max(withdrawn_s) - began_s
    if took_s > DRAIN_GRACE_S:
        problems.append(f"the last proxy withdrew the draining host after {took_s:.2f} s")
    return problems


def check_call_count(start: ColdStart, before: int = 0) -> Problems:
    """Returns a problem if discovery got more than `MAX_CALLS` calls besides `before`."""
    calls = start.service.calls - before
    return [f"{calls} calls to discovery"] if calls > MAX_CALLS else []


async def drain_and_late_start(start: ColdStart) -> Problems:
    """Starts without faults, drains a host, and starts one more controller.

    All controllers get the list with few calls and the drain within a second. The late controller
    gets the list within two seconds without a call to discovery.
    """
    early = ALL_MEMBERS[:LAST_MEMBER]
    problems = await expect_list(start)
    problems += check_call_count(start)
    problems += await expect_tables(start, len(early))
    began_us = start.processes.now_us()
    problems += await expect_drain_at_proxies(start)
    revision = INITIAL_REVISION + 1
    problems += await expect(
        start, "the drain at all controllers", lambda: all_have_revision(start, early, revision)
    )
    drain_s = MISSING_S if problems else seconds_until(start, early, revision, began_us)
    calls = start.service.calls
    began_us = start.processes.now_us()
    await start.processes.start(LAST_MEMBER)
    problems += await expect(
        start,
        "the list at the late controller",
        lambda: all_have_revision(start, [LAST_MEMBER], revision),
    )
    late_s = MISSING_S if problems else seconds_until(start, [LAST_MEMBER], revision, began_us)
    if drain_s > 1.0:
        problems.append(f"the drain reached all controllers after {drain_s:.2f} s")
    if start.service.calls > calls:
        problems.append(f"the late controller called discovery ({start.service.calls - calls})")
    if late_s > 2.0:
        problems.append(f"the late controller got the list after {late_s:.2f} s")
    return problems


async def drain_while_watchers_fail(start: ColdStart) -> Problems:
    """Drains a host while the list is distributed and the script makes watchers fail.

    All controllers that were not killed get the change.
    """
    await asyncio.sleep(3.0)
    start.service.change(DRAINED_HOST, state="DRAINING")
    killed = {
        step.member for step in start.processes.history.executed_steps if step.act == Act.KILL.value
    }
    alive = [member for member in ALL_MEMBERS if member not in killed]
    return await expect(
        start,
        "the drain at all running controllers",
        lambda: all_have_revision(start, alive, INITIAL_REVISION + 1),
    )


async def partition_and_heal(start: ColdStart) -> Problems:
    """Partitions the group so that the smaller side can't reach discovery.

    The smaller side logs that its list is old, and catches up within three seconds of the heal.
    """
    processes = start.processes
    minority = small_side()
    revision = INITIAL_REVISION + 1
    problems = await expect_list(start)
    await start.wait_until(lambda: (processes.script_us() or 0) > 20 * SECOND)
    start.service.change(DRAINED_HOST, state="DRAINING")
    await start.wait_until(lambda: (processes.script_us() or 0) > 32 * SECOND)
    if all_have_revision(start, minority[:1], revision):
        problems.append("the smaller side got the change during the partition: invalid run")
    warned = {member for member in minority if processes.has_logged(member, "list_old")}
    if warned != set(minority):
        problems.append(f"list_old was logged by {sorted(warned)} instead of all of {minority}")
    healed_us = processes.history_us(PARTITION_UNTIL_S)
    problems += await expect(
        start,
        "the latest list at all controllers",
        lambda: all_have_revision(start, ALL_MEMBERS, revision),
    )
    took_s = 0.0 if problems else seconds_until(start, minority, revision, healed_us)
    if took_s > 3.0:
        problems.append(f"the smaller side got the latest list {took_s:.2f} s after the heal")
    return problems


async def second_power_failure(start: ColdStart) -> Problems:
    """Kills all controllers after the start, and starts them again with few calls."""
    processes = start.processes
    problems = await expect_list(start)
    calls = start.service.calls
    for process in list(processes.running.values()):
        process.kill()
    for process in list(processes.running.values()):
        await process.wait()
    for lines in processes.log_lines:
        lines.clear()
    start.first_list_us.clear()
    for member in ALL_MEMBERS:
        await processes.start(member)
    problems += await expect_list(start)
    return problems + check_call_count(start, before=calls)


async def discovery_restart(start: ColdStart) -> Problems:
    """Restarts discovery, whose revisions start over; controllers accept the lower ones."""
    problems = await expect_list(start)
    start.service.change(DRAINED_HOST, state="DRAINING")
    problems += await expect(
        start,
        "the change at all controllers",
        lambda: all_have_revision(start, ALL_MEMBERS, INITIAL_REVISION + 1),
    )
    start.service.restart()
    start.service.change(DRAINED_HOST + 1, state="DRAINING")
    return problems + await expect(
        start, "the list of the restarted discovery", lambda: all_latest_are(start, ALL_MEMBERS, 2)
    )


async def drain_during_list_transfer(start: ColdStart) -> Problems:
    """Drains a host while a list of 1 MB is transferred over slow links.

    All controllers have an older list already. The drain must not wait behind the new list.
    """
    problems = await expect_tables(start, CONTROLLERS)
    problems += await expect(
        start, "the start of a list transfer", lambda: start.service.answers["watch"] > 0
    )
    await asyncio.sleep(2.0)  # the transfer takes twenty seconds, so it is still in progress
    problems += await expect_drain_at_proxies(start)
    if all_have_revision(start, all_but(watchers()), INITIAL_REVISION):
        problems.append("the list had been transferred before the drain: invalid run")
    problems += await expect(
        start,
        "the complete list at all controllers",
        lambda: all_have_revision(start, ALL_MEMBERS, INITIAL_REVISION + 1),
    )
    again = [proxy for proxy in start.proxies.values() if DRAINED_UID in proxy.shares()]
    if again:
        problems.append(f"{len(again)} proxies use the draining host again")
    return problems


async def changes_only(start: ColdStart) -> Problems:
    """Changes two hosts when all controllers have the list; only the changes are sent."""
    start.service.change(DRAINED_HOST, state="DRAINING")
    start.service.change(DRAINED_HOST + 1, state="DRAINING")
    problems = await expect(
        start,
        "the changes at all controllers",
        lambda: all_have_revision(start, ALL_MEMBERS, INITIAL_REVISION + 2),
    )
    usable = start.case.hosts - 2
    problems += await expect(
        start,
        "tables without the two draining hosts",
        lambda: all(len(proxy.shares()) == usable for proxy in start.proxies.values()),
    )
    complete = [
        line
        for member in ALL_MEMBERS
        for line in logged_lists(start, member)
        if line["kind"] == "full"
    ]
    if complete:
        problems.append(f"{len(complete)} complete lists instead of changes")
    problems += check_call_count(start)
    if start.service.sent_bytes > MAX_CHANGE_BYTES:
        problems.append(f"discovery sent {start.service.sent_bytes} bytes")
    return problems


async def discovery_restart_while_down(start: ColdStart) -> Problems:
    """Discovery has restarted while all controllers were down.

    The lists in their configurations have higher revisions than discovery now has.
    """
    start.service.change(DRAINED_HOST, state="DRAINING")
    problems = await expect(
        start,
        "the list of the restarted discovery",
        lambda: all_latest_are(start, ALL_MEMBERS, INITIAL_REVISION + 1),
    )
    return problems + check_call_count(start)


async def cold_hosts(start: ColdStart) -> Problems:
    """Hosts start together with the controllers.

    None may get more load than the permitted multiple of its present capacity.
    """
    problems = await expect_list(start)
    problems += await expect_tables(start, CONTROLLERS)
    assert start.load
    load = start.load
    bound_s = time.monotonic()
    await start.wait_until(
        lambda: time.monotonic() - bound_s > 2 * ColdHostModel().overload_window_s
    )
    notes = load.notes()
    if len(load.max_ratio) < start.case.hosts / 2:
        problems.append(
            f"too few hosts got load (mean of load over capacity {notes['over_mean']}): invalid run"
        )
    if load.overloaded_s:
        problems.append(f"{len(load.overloaded_s)} hosts were overloaded: {notes}")
    return problems


async def misbehaving_watcher(start: ColdStart) -> Problems:
    """Replaces a watcher by one that sends invalid frames; the others still get the latest list."""
    processes = start.processes
    problems = await expect_list(start)
    watcher = watchers()[0]
    processes.running[watcher].kill()
    await processes.running[watcher].wait()
    host, _ = processes.listen_addresses[watcher]
    misbehaving = MisbehavingWatcher(processes.plan.script.seed)
    server = await asyncio.start_server(misbehaving.serve, host, LINK_PORT)
    try:
        began_us = processes.now_us()
        while processes.now_us() - began_us < 3 * SECOND:
            start.service.change(9, state="DRAINING", boot_ms=1)
            await asyncio.sleep(0.5)
        newest = start.service.revision
        problems += await expect(
            start,
            "the latest list of discovery at the others",
            lambda: all_latest_are(start, all_but([watcher]), newest),
        )
    finally:
        server.close()
    failures = [
        line
        for lines in processes.log_lines
        for line in lines
        if line.get("event") in ("election_failed", "core_failed")
    ]
    return problems + [str(line) for line in failures]
