"""What is done in the hard cases of a cold start through peers, and what is objected to.

Each play goes on once all controllers have started, and returns its problems.
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
DRAIN_GRACE_S = 3.0  # as the settings of these starts state it
MAX_CALLS = 12  # at discovery: four of each watcher
MAX_CHANGE_BYTES = 50_000  # that discovery sends where only changes are wanted
PARTITION_FROM_S = 4.0
PARTITION_UNTIL_S = 34.0
DRAINED_HOST = 7
DRAINED_UID = f"s-{DRAINED_HOST:05d}"
FIRST_REVISION = 1000  # of discovery at its start
NEVER_S = 99.0  # stands for a time where something never came

Problems = list[str]
CaseSteps = Callable[[ColdStart], Awaitable[Problems]]


def watchers() -> list[int]:
    """The members that watch discovery, as all members find them."""
    names = [f"n{member:04d}" for member in ALL_MEMBERS]
    return [int(name[1:]) for name in rendezvous_order(names, GROUP_NAME)[:WATCHERS]]


def all_but(members: list[int]) -> list[int]:
    """All members but these."""
    return [member for member in ALL_MEMBERS if member not in members]


def small_side() -> list[int]:
    """The smaller side of the partition: a watcher and two others."""
    return [watchers()[2], *all_but(watchers())[:2]]


def logged_lists(start: ColdStart, member: int) -> list[LogLine]:
    """Lists that a member has logged, oldest first."""
    return [line for line in start.processes.log_lines[member] if line.get("event") == "list"]


def have_revision(start: ColdStart, members: list[int], revision: int) -> bool:
    """Whether all these members have logged a list of that revision, or of a higher one."""
    return all(
        any(line["revision"] >= revision for line in logged_lists(start, member))
        for member in members
    )


def newest_is(start: ColdStart, members: list[int], revision: int) -> bool:
    """Whether the newest list of all these members is of that revision."""
    return all(
        [line["revision"] for line in logged_lists(start, member)][-1:] == [revision]
        for member in members
    )


def seconds_until(start: ColdStart, members: list[int], revision: int, since_us: int) -> float:
    """After which the last of these members logged a list of that revision or a higher one."""
    first_us = [
        min(line["at_us"] for line in logged_lists(start, member) if line["revision"] >= revision)
        for member in members
    ]
    last_us: int = max(first_us)
    return (last_us - since_us) / SECOND


async def expect(start: ColdStart, what: str, holds: Callable[[], bool]) -> Problems:
    """Waits until something holds, and objects if it does not."""
    if await start.wait_until(holds):
        return []
    return [f"{what} did not come within {start.case.limit_s:.0f} s"]


async def expect_list(start: ColdStart) -> Problems:
    """Waits until all have a list."""
    return await expect(start, "a list for all", lambda: None not in start.served_us())


async def expect_tables(start: ColdStart, proxies: int) -> Problems:
    """Waits until so many proxies have joined, and each has a table."""

    def all_bound() -> bool:
        bound = [proxy.is_bound for proxy in start.proxies.values()]
        return len(bound) == proxies and all(bound)

    return await expect(start, "a table for each proxy", all_bound)


async def expect_drain_at_proxies(start: ColdStart) -> Problems:
    """Drains a host, and objects if a proxy is told too late."""
    began_s = time.monotonic()
    start.service.change(DRAINED_HOST, state="DRAINING")
    problems = await expect(
        start,
        "a drain at all proxies",
        lambda: all(DRAINED_UID in proxy.withdrawn_s for proxy in start.proxies.values()),
    )
    withdrawn_s = [
        proxy.withdrawn_s.get(DRAINED_UID, began_s + NEVER_S) for proxy in start.proxies.values()
    ]
    took_s = max(withdrawn_s) - began_s
    if took_s > DRAIN_GRACE_S:
        problems.append(f"proxies withdrew the draining host after {took_s:.2f} s")
    return problems


def check_call_count(start: ColdStart, before: int = 0) -> Problems:
    """Objects to many calls at discovery."""
    calls = start.service.calls - before
    return [f"{calls} calls"] if calls > MAX_CALLS else []


async def drain_and_late_start(start: ColdStart) -> Problems:
    """All serve after few calls; a drain reaches all; a late controller joins without a call."""
    early = ALL_MEMBERS[:LAST_MEMBER]
    problems = await expect_list(start)
    problems += check_call_count(start)
    problems += await expect_tables(start, len(early))
    began_us = start.processes.now_us()
    problems += await expect_drain_at_proxies(start)
    revision = FIRST_REVISION + 1
    problems += await expect(start, "a drain", lambda: have_revision(start, early, revision))
    drain_s = NEVER_S if problems else seconds_until(start, early, revision, began_us)
    calls = start.service.calls
    began_us = start.processes.now_us()
    await start.processes.start(LAST_MEMBER)
    problems += await expect(
        start, "the late one's list", lambda: have_revision(start, [LAST_MEMBER], revision)
    )
    late_s = NEVER_S if problems else seconds_until(start, [LAST_MEMBER], revision, began_us)
    if drain_s > 1.0:
        problems.append(f"a drain took {drain_s:.2f} s")
    if start.service.calls > calls:
        problems.append(f"the late one called ({start.service.calls - calls})")
    if late_s > 2.0:
        problems.append(f"the late one took {late_s:.2f} s")
    return problems


async def drain_while_watchers_fail(start: ColdStart) -> Problems:
    """Watchers fail by script while the list is handed out; a host begins to drain."""
    await asyncio.sleep(3.0)
    start.service.change(DRAINED_HOST, state="DRAINING")
    killed = {done.member for done in start.processes.history.done if done.act == Act.KILL.value}
    alive = [member for member in ALL_MEMBERS if member not in killed]
    return await expect(
        start,
        "the drain for all that live",
        lambda: have_revision(start, alive, FIRST_REVISION + 1),
    )


async def partition_and_heal(start: ColdStart) -> Problems:
    """The smaller side can't reach discovery: it goes on, warns, and catches up after the heal."""
    processes = start.processes
    small = small_side()
    revision = FIRST_REVISION + 1
    problems = await expect_list(start)
    await start.wait_until(lambda: (processes.script_us() or 0) > 20 * SECOND)
    start.service.change(DRAINED_HOST, state="DRAINING")
    await start.wait_until(lambda: (processes.script_us() or 0) > 32 * SECOND)
    if have_revision(start, small[:1], revision):
        problems.append("the cut side heard of the change: the trial shows nothing")
    warned = {member for member in small if processes.has_logged(member, "list_old")}
    if warned != set(small):
        problems.append(f"logged list_old: {sorted(warned)} of {small}")
    healed_us = processes.history_us(PARTITION_UNTIL_S)
    problems += await expect(
        start, "the newest list", lambda: have_revision(start, ALL_MEMBERS, revision)
    )
    took_s = 0.0 if problems else seconds_until(start, small, revision, healed_us)
    if took_s > 3.0:
        problems.append(f"the newest list took {took_s:.2f} s after the heal")
    return problems


async def second_power_failure(start: ColdStart) -> Problems:
    """Power fails again after the start, and all start once more."""
    processes = start.processes
    problems = await expect_list(start)
    calls = start.service.calls
    for process in list(processes.running.values()):
        process.kill()
    for process in list(processes.running.values()):
        await process.wait()
    for lines in processes.log_lines:
        lines.clear()
    start.first_us.clear()
    for member in ALL_MEMBERS:
        await processes.start(member)
    problems += await expect_list(start)
    return problems + check_call_count(start, before=calls)


async def discovery_restart(start: ColdStart) -> Problems:
    """Discovery restarts with revisions that begin anew; all follow to the lower ones."""
    problems = await expect_list(start)
    start.service.change(DRAINED_HOST, state="DRAINING")
    problems += await expect(
        start, "a change", lambda: have_revision(start, ALL_MEMBERS, FIRST_REVISION + 1)
    )
    start.service.restart()
    start.service.change(DRAINED_HOST + 1, state="DRAINING")
    return problems + await expect(
        start, "the list that began anew", lambda: newest_is(start, ALL_MEMBERS, 2)
    )


async def drain_during_list_transfer(start: ColdStart) -> Problems:
    """A host drains while a list of 1 MB is handed out over slow links; all have an older one.

    The drain must not wait behind the list.
    """
    problems = await expect_tables(start, CONTROLLERS)
    problems += await expect(
        start, "a complete list under way", lambda: start.service.answers["watch"] > 0
    )
    await asyncio.sleep(2.0)  # the list takes twenty seconds: it is in the middle of its way
    problems += await expect_drain_at_proxies(start)
    if have_revision(start, all_but(watchers()), FIRST_REVISION):
        problems.append("the list was there already: the trial shows nothing")
    problems += await expect(
        start, "the complete list", lambda: have_revision(start, ALL_MEMBERS, FIRST_REVISION + 1)
    )
    again = [proxy for proxy in start.proxies.values() if DRAINED_UID in proxy.shares()]
    if again:
        problems.append(f"{len(again)} proxies send to the draining host again")
    return problems


async def changes_only(start: ColdStart) -> Problems:
    """All have the newest list but for two changes: only these are sent, as changes."""
    start.service.change(DRAINED_HOST, state="DRAINING")
    start.service.change(DRAINED_HOST + 1, state="DRAINING")
    problems = await expect(
        start, "the changes", lambda: have_revision(start, ALL_MEMBERS, FIRST_REVISION + 2)
    )
    usable = start.case.hosts - 2
    problems += await expect(
        start,
        "tables without those two",
        lambda: all(len(proxy.shares()) == usable for proxy in start.proxies.values()),
    )
    complete = [
        line
        for member in ALL_MEMBERS
        for line in logged_lists(start, member)
        if line["kind"] == "full"
    ]
    if complete:
        problems.append(f"{len(complete)} complete lists")
    problems += check_call_count(start)
    if start.service.sent_bytes > MAX_CHANGE_BYTES:
        problems.append(f"{start.service.sent_bytes} bytes")
    return problems


async def discovery_restart_while_down(start: ColdStart) -> Problems:
    """Discovery began anew while all were off: lists known from before have higher revisions."""
    start.service.change(DRAINED_HOST, state="DRAINING")
    problems = await expect(
        start, "the list that began anew", lambda: newest_is(start, ALL_MEMBERS, FIRST_REVISION + 1)
    )
    return problems + check_call_count(start)


async def cold_hosts(start: ColdStart) -> Problems:
    """Hosts start with the controllers; none may get over the stated multiple of its capacity."""
    problems = await expect_list(start)
    problems += await expect_tables(start, CONTROLLERS)
    assert start.load
    load = start.load
    bound_s = time.monotonic()
    await start.wait_until(lambda: time.monotonic() - bound_s > 2 * ColdHostModel().window_s)
    notes = load.notes()
    if len(load.max_ratio) < start.case.hosts / 2:
        problems.append(
            f"brought only {notes['over_mean']} of what hosts could do: the trial shows nothing"
        )
    if load.overloaded_s:
        problems.append(f"{len(load.overloaded_s)} hosts fell over: {notes}")
    return problems


async def misbehaving_watcher(start: ColdStart) -> Problems:
    """A watcher is replaced by one that invents revisions, sends too much, or never ends."""
    processes = start.processes
    problems = await expect_list(start)
    liar = watchers()[0]
    processes.running[liar].kill()
    await processes.running[liar].wait()
    host, _ = processes.listen_addresses[liar]
    misbehaving = MisbehavingWatcher(processes.plan.script.seed)
    server = await asyncio.start_server(misbehaving.serve, host, LINK_PORT)
    try:
        began_us = processes.now_us()
        while processes.now_us() - began_us < 3 * SECOND:
            start.service.change(9, state="DRAINING", boot_ms=1)
            await asyncio.sleep(0.5)
        newest = start.service.revision
        problems += await expect(
            start, "the true list", lambda: newest_is(start, all_but([liar]), newest)
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
