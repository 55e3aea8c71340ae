"""Which controllers watch the discovery service, and which ones the others follow."""

from collections import Counter

from plankroute.cold_start.election_messages import (
    Connect,
    Disconnect,
    ElectionFacts,
    HeartbeatReceived,
    LinkClosed,
    ListUpdated,
    LiveControllersChanged,
    ReportTransition,
    SetWatch,
    Transition,
)
from plankroute.cold_start.rendezvous import rendezvous_order
from plankroute.cold_start.watcher_election import WatcherElection

SECOND = 1_000_000


class Follower:
    """The election core of one follower, with a clock that the test advances."""

    def __init__(self, others: int = 9, name: str = "") -> None:
        names = [f"n{number}" for number in range(others + 1)]
        self.watchers = rendezvous_order(names, "g")[:3]
        self.own_name = name or next(one for one in names if one not in self.watchers)
        self.core = WatcherElection(ElectionFacts(self.own_name, "g", len(names), 3, 2 * SECOND))
        self.now, self.names = 0, frozenset(names) - {self.own_name}
        self.first_commands = self.core.deliver(0, [LiveControllersChanged(self.names)])

    def main(self) -> str:
        return next(
            name for name, link in self.core.followed.links.items() if not link.heartbeats_only
        )

    def witness(self) -> str:
        return next(name for name, link in self.core.followed.links.items() if link.heartbeats_only)

    def repeat(self, seconds: float, *heartbeats: HeartbeatReceived) -> list:
        """Delivers the same heartbeats every quarter of a second for some time."""
        commands = []
        for _ in range(int(seconds * 4)):
            self.now += SECOND // 4
            commands += self.core.deliver(self.now, [*heartbeats])
        return commands


def test_all_elect_the_same_watchers_and_removing_one_keeps_the_order_of_the_others() -> None:
    names = [f"n{number}" for number in range(50)]
    order = rendezvous_order(names, "g")
    assert rendezvous_order(reversed(names), "g") == order
    assert rendezvous_order([name for name in names if name != order[1]], "g") == [
        order[0],
        *order[2:],
    ]
    firsts = Counter(rendezvous_order(order[:3], name)[0] for name in names)
    assert min(firsts.values()) > 5  # followers are spread over the watchers


def test_no_controller_watches_the_service_before_its_view_is_stable() -> None:
    core = WatcherElection(ElectionFacts("n0", "g", 300, 3, 2 * SECOND))
    assert not core.deliver(0, []) and not core.deliver(
        SECOND // 4, [LiveControllersChanged(frozenset({"n1"}))]
    )
    core.deliver(SECOND // 2, [LiveControllersChanged(frozenset())])
    commands = [action for at in range(3, 24) for action in core.deliver(at * SECOND // 4, [])]
    assert commands == [
        ReportTransition(Transition.INDEPENDENT),
        SetWatch(True, None),
    ]  # no watcher rank: requests in slots of the configured rank


def test_a_stalled_watcher_is_replaced_and_without_any_the_service_is_watched() -> None:
    follower = Follower()
    main, witness = follower.main(), follower.witness()
    assert not follower.repeat(4, HeartbeatReceived(main, 5, 0), HeartbeatReceived(witness, 5, 0))
    commands = follower.repeat(3, HeartbeatReceived(witness, 5, 0))
    assert (
        Disconnect(main) in commands
        and follower.main() not in (main, witness)
        and SetWatch(True, None) not in commands
    )
    commands = follower.repeat(14)
    assert SetWatch(True, None) in commands
    commands = follower.repeat(2, HeartbeatReceived(follower.main(), 5, 0))
    assert SetWatch(False, None) in commands


def test_a_stale_watcher_is_left_and_a_restart_of_the_revisions_is_accepted() -> None:
    follower = Follower()
    main, witness = follower.main(), follower.witness()
    follower.core.deliver(follower.now, [ListUpdated(50, False)])
    commands = follower.repeat(
        1, HeartbeatReceived(main, 40, 60 * SECOND), HeartbeatReceived(witness, 50, 0)
    )
    assert Disconnect(main) in commands and not [
        a for a in commands if isinstance(a, Connect) and a.full_list
    ]
    follower = Follower()
    main, witness = follower.main(), follower.witness()
    follower.core.deliver(follower.now, [ListUpdated(50, False)])
    commands = follower.repeat(4, HeartbeatReceived(main, 2, 0), HeartbeatReceived(witness, 2, 0))
    assert Connect(main, False, True) in commands


def test_a_differing_revision_of_a_single_controller_is_checked_with_the_service() -> None:
    for revisions in ((2, None), (900, 50)):
        follower = Follower()
        main, witness = follower.main(), follower.witness()
        follower.core.deliver(follower.now, [ListUpdated(50, False)])
        heartbeats = [HeartbeatReceived(main, revisions[0], 0)] + (
            [HeartbeatReceived(witness, revisions[1], 0)] if revisions[1] else []
        )
        if not revisions[1]:
            follower.core.deliver(follower.now, [LinkClosed(witness)])
            follower.core.followed.avoided_until_us = dict.fromkeys(
                set(follower.watchers) - {main}, 1 << 60
            )
        assert SetWatch(True, None) in follower.repeat(6, *heartbeats)
        commands = follower.core.deliver(follower.now, [ListUpdated(50, True)])
        assert (ReportTransition(Transition.LEFT_AHEAD, main) in commands) is (revisions[0] == 900)


def test_a_paused_controller_does_not_take_all_others_to_have_stalled() -> None:
    """Guards against hundreds of requests from controllers that got no CPU time for a while."""
    follower = Follower()
    heartbeats = [
        HeartbeatReceived(follower.main(), 5, 0),
        HeartbeatReceived(follower.witness(), 5, 0),
    ]
    follower.repeat(3, *heartbeats)
    for _ in range(4):  # steps two seconds apart; heartbeats are delivered after the pause
        follower.now += 2 * SECOND
        assert not [
            a
            for a in follower.core.deliver(follower.now, [])
            if isinstance(a, Disconnect | SetWatch)
        ]
        follower.core.deliver(follower.now, [*heartbeats])
    follower.repeat(3)
    # Without a pause of this controller, the others do count as stalled.
    assert SetWatch(True, None) in follower.repeat(14)


def test_watchers_that_have_all_lost_the_service_do_not_count_as_contact() -> None:
    """Guards against followers that rely on watchers which are all cut off from the service."""
    follower = Follower()
    heartbeats = [
        HeartbeatReceived(follower.main(), 50, 0),
        HeartbeatReceived(follower.witness(), 50, 0),
    ]
    assert SetWatch(True, None) not in follower.repeat(6, *heartbeats)
    commands = follower.repeat(
        6, *(HeartbeatReceived(one.name, 50, 11 * SECOND) for one in heartbeats)
    )
    assert SetWatch(True, None) in commands and SetWatch(False, None) in follower.repeat(
        2, *heartbeats
    )
