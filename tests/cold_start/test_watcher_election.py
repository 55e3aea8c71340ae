"""Which controllers watch the list service, and whom the others follow."""

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


class Stage:
    """One controller that follows, and the time that the test gives it."""

    def __init__(self, others: int = 9, name: str = "") -> None:
        names = [f"n{number}" for number in range(others + 1)]
        self.watchers = rendezvous_order(names, "g")[:3]
        self.me = name or next(one for one in names if one not in self.watchers)
        self.core = WatcherElection(ElectionFacts(self.me, "g", len(names), 3, 2 * SECOND))
        self.now, self.names = 0, frozenset(names) - {self.me}
        self.done = self.core.deliver(0, [LiveControllersChanged(self.names)])

    def main(self) -> str:
        return next(
            name for name, link in self.core.followed.links.items() if not link.heartbeats_only
        )

    def witness(self) -> str:
        return next(name for name, link in self.core.followed.links.items() if link.heartbeats_only)

    def say(self, seconds: float, *said: HeartbeatReceived) -> list:
        """The same words each quarter of a second for so long."""
        out = []
        for _ in range(int(seconds * 4)):
            self.now += SECOND // 4
            out += self.core.deliver(self.now, [*said])
        return out


def test_everyone_finds_the_same_watchers_and_one_that_goes_moves_nobody_else() -> None:
    names = [f"n{number}" for number in range(50)]
    order = rendezvous_order(names, "g")
    assert rendezvous_order(reversed(names), "g") == order
    assert rendezvous_order([name for name in names if name != order[1]], "g") == [
        order[0],
        *order[2:],
    ]
    firsts = Counter(rendezvous_order(order[:3], name)[0] for name in names)
    assert min(firsts.values()) > 5  # followers are spread over the watchers


def test_nobody_watches_the_service_while_nobody_knows_anybody() -> None:
    core = WatcherElection(ElectionFacts("n0", "g", 300, 3, 2 * SECOND))
    assert not core.deliver(0, []) and not core.deliver(
        SECOND // 4, [LiveControllersChanged(frozenset({"n1"}))]
    )
    core.deliver(SECOND // 2, [LiveControllersChanged(frozenset())])
    out = [action for at in range(3, 24) for action in core.deliver(at * SECOND // 4, [])]
    assert out == [
        ReportTransition(Transition.INDEPENDENT),
        SetWatch(True, None),
    ]  # alone: in rounds by rank


def test_a_watcher_that_stalls_is_left_for_the_next_and_nobody_at_all_for_the_service() -> None:
    stage = Stage()
    main, witness = stage.main(), stage.witness()
    assert not stage.say(4, HeartbeatReceived(main, 5, 0), HeartbeatReceived(witness, 5, 0))
    out = stage.say(3, HeartbeatReceived(witness, 5, 0))
    assert (
        Disconnect(main) in out
        and stage.main() not in (main, witness)
        and SetWatch(True, None) not in out
    )
    out = stage.say(14)
    assert SetWatch(True, None) in out
    out = stage.say(2, HeartbeatReceived(stage.main(), 5, 0))
    assert SetWatch(False, None) in out


def test_a_stale_watcher_is_left_and_a_service_that_restarted_is_believed() -> None:
    stage = Stage()
    main, witness = stage.main(), stage.witness()
    stage.core.deliver(stage.now, [ListUpdated(50, False)])
    out = stage.say(1, HeartbeatReceived(main, 40, 60 * SECOND), HeartbeatReceived(witness, 50, 0))
    assert Disconnect(main) in out and not [
        a for a in out if isinstance(a, Connect) and a.full_list
    ]
    stage = Stage()
    main, witness = stage.main(), stage.witness()
    stage.core.deliver(stage.now, [ListUpdated(50, False)])
    out = stage.say(4, HeartbeatReceived(main, 2, 0), HeartbeatReceived(witness, 2, 0))
    assert Connect(main, False, True) in out


def test_a_lower_or_higher_revision_of_one_alone_is_checked_with_the_service() -> None:
    for words in ((2, None), (900, 50)):
        stage = Stage()
        main, witness = stage.main(), stage.witness()
        stage.core.deliver(stage.now, [ListUpdated(50, False)])
        said = [HeartbeatReceived(main, words[0], 0)] + (
            [HeartbeatReceived(witness, words[1], 0)] if words[1] else []
        )
        if not words[1]:
            stage.core.deliver(stage.now, [LinkClosed(witness)])
            stage.core.followed.avoided_until_us = dict.fromkeys(
                set(stage.watchers) - {main}, 1 << 60
            )
        assert SetWatch(True, None) in stage.say(6, *said)
        out = stage.core.deliver(stage.now, [ListUpdated(50, True)])
        assert (ReportTransition(Transition.LEFT_AHEAD, main) in out) is (words[0] == 900)


def test_a_controller_that_was_paused_does_not_find_all_others_late() -> None:
    """Guards against hundreds of requests because controllers were starved of their cores."""
    stage = Stage()
    said = [HeartbeatReceived(stage.main(), 5, 0), HeartbeatReceived(stage.witness(), 5, 0)]
    stage.say(3, *said)
    for _ in range(4):  # beats two seconds apart, with the others' words waiting behind them
        stage.now += 2 * SECOND
        assert not [
            a for a in stage.core.deliver(stage.now, []) if isinstance(a, Disconnect | SetWatch)
        ]
        stage.core.deliver(stage.now, [*said])
    stage.say(3)
    assert SetWatch(True, None) in stage.say(14)  # it is awake, and they are silent


def test_watchers_that_have_all_lost_the_service_do_not_count_as_contact() -> None:
    """Guards against a group whose watchers are cut off from the list service, others not."""
    stage = Stage()
    said = [HeartbeatReceived(stage.main(), 50, 0), HeartbeatReceived(stage.witness(), 50, 0)]
    assert SetWatch(True, None) not in stage.say(6, *said)
    out = stage.say(6, *(HeartbeatReceived(one.name, 50, 11 * SECOND) for one in said))
    assert SetWatch(True, None) in out and SetWatch(False, None) in stage.say(2, *said)
