"""The set of controllers that are followed: whom to connect to next, and whom to avoid."""

from collections.abc import Sequence

from plankroute.cold_start.election_messages import (
    Command,
    Connect,
    Disconnect,
    ElectionFacts,
    ReportTransition,
    Transition,
)
from plankroute.cold_start.followed_links import FollowedLink
from plankroute.cold_start.rendezvous import rendezvous_order
from plankroute.units import SECOND_US

# A controller that was left is avoided for two probe time-outs of membership, which tells by then
# if it has failed.
AVOID_US = 10 * SECOND_US
# Entries of avoided controllers per watcher, before expired ones are cleaned up.
MAX_AVOIDED_PER_WATCHER = 4


class FollowedControllers:
    """Two watchers are followed: the main one for its lists, a witness for its heartbeats.

    Attributes:
        links: by name, the controllers that are followed.
        avoided_until_us: by name, those that were left.
        commands: of the step that is under way, shared with the election.
    """

    def __init__(self, facts: ElectionFacts, commands: list[Command]) -> None:
        self.facts = facts
        self.commands = commands
        self.links: dict[str, FollowedLink] = {}
        self.avoided_until_us: dict[str, int] = {}

    def drop_silent(self, watchers: Sequence[str], now_us: int) -> bool:
        """Leave those that are no watchers any more, are stalled, or take too long.

        Returns:
            Whether one was left, and not only for being no watcher.
        """
        is_left = False
        for name, link in list(self.links.items()):
            reason = self.reason_to_leave(link, now_us)
            if name not in watchers:
                self.disconnect(name)
            elif reason:
                self.leave(now_us, name, reason)
                is_left = True
        return is_left

    def reason_to_leave(self, link: FollowedLink, now_us: int) -> Transition | None:
        """Why a link is of no use, if so."""
        if now_us - link.last_frame_us > self.facts.stall_timeout_us:
            return Transition.LEFT_STALLED
        if link.is_first_list_overdue(now_us):
            return Transition.LEFT_SLOW
        return None

    def connect_missing(self, watchers: Sequence[str], now_us: int) -> None:
        """Follow the next watchers, where the main one or the witness is missing."""
        candidates = [
            name
            for name in rendezvous_order(watchers, self.facts.name)
            if self.avoided_until_us.get(name, 0) <= now_us
        ]
        for heartbeats_only in (False, True):
            free = [name for name in candidates if name not in self.links]
            if free and self.first(heartbeats_only) is None:
                self.links[free[0]] = FollowedLink(heartbeats_only, now_us, now_us)
                self.commands.append(Connect(free[0], heartbeats_only))
        if self.links and self.first(heartbeats_only=False) is None:
            # The witness alone is left: its lists are wanted now.
            self.reconnect(now_us, next(iter(self.links)))

    def first(self, heartbeats_only: bool) -> str | None:
        """The name of the first link of that kind."""
        for name, link in self.links.items():
            if link.heartbeats_only is heartbeats_only:
                return name
        return None

    def first_heard(self, heartbeats_only: bool) -> str | None:
        """The name of the first link of that kind on which a heartbeat came."""
        for name, link in self.links.items():
            if link.heartbeats_only is heartbeats_only and link.revision is not None:
                return name
        return None

    def has_service_contact(self) -> bool:
        """Whether a controller whose lists are taken is in contact with the service."""
        return any(
            link.has_service_contact() for link in self.links.values() if not link.heartbeats_only
        )

    def reconnect(self, now_us: int, name: str, full_list: bool = False) -> None:
        """Follow a controller anew, for its lists."""
        self.disconnect(name)
        self.links[name] = FollowedLink(False, now_us, now_us, is_full_list=full_list)
        self.commands.append(Connect(name, False, full_list))

    def leave(self, now_us: int, name: str, reason: Transition, avoid_us: int = AVOID_US) -> None:
        """Follow that controller no more, and avoid it for a while."""
        self.avoid(now_us, name, reason, avoid_us)
        self.disconnect(name)

    def on_closed(self, now_us: int, name: str) -> None:
        """The link to that controller has ended."""
        del self.links[name]
        self.avoid(now_us, name, Transition.LEFT_ENDED)

    def avoid(self, now_us: int, name: str, reason: Transition, avoid_us: int = AVOID_US) -> None:
        """Report that a controller is left, and avoid it for a while."""
        self.commands.append(ReportTransition(reason, name))
        self.avoided_until_us[name] = now_us + avoid_us
        if len(self.avoided_until_us) > MAX_AVOIDED_PER_WATCHER * self.facts.watcher_count:
            self.avoided_until_us = {
                avoided: until_us
                for avoided, until_us in self.avoided_until_us.items()
                if until_us > now_us
            }

    def disconnect(self, name: str) -> None:
        """Close the link to a controller, if there is one."""
        if self.links.pop(name, None):
            self.commands.append(Disconnect(name))

    def disconnect_all(self) -> None:
        """Close all links."""
        for name in list(self.links):
            self.disconnect(name)
