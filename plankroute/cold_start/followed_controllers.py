"""The set of followed controllers: which one to connect to next, and which ones to avoid."""

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

# A controller that was left is avoided for two probe timeouts of membership, which reports by then
# whether the controller has failed.
AVOID_US = 10 * SECOND_US
# Number of avoided controllers per watcher above which expired entries are removed.
MAX_AVOIDED_PER_WATCHER = 4


class FollowedControllers:
    """The two watchers that are followed: the main one for lists, a witness for heartbeats only.

    Attributes:
        links: The links to followed controllers, by name.
        avoided_until_us: When a controller that was left may be followed again, by name.
        commands: Commands of the current step; the list is shared with the election.
    """

    def __init__(self, facts: ElectionFacts, commands: list[Command]) -> None:
        self.facts = facts
        self.commands = commands
        self.links: dict[str, FollowedLink] = {}
        self.avoided_until_us: dict[str, int] = {}

    def drop_unusable(self, watchers: Sequence[str], now_us: int) -> bool:
        """Stop following controllers that are no longer watchers, have stalled, or are too slow.

        Returns:
            Whether a controller was left for a reason other than no longer being a watcher.
        """
        has_left = False
        for name, link in list(self.links.items()):
            reason = self.reason_to_leave(link, now_us)
            if name not in watchers:
                self.disconnect(name)
            elif reason:
                self.leave(now_us, name, reason)
                has_left = True
        return has_left

    def reason_to_leave(self, link: FollowedLink, now_us: int) -> Transition | None:
        """Return why the controller of a link has to be left; None if there is no reason."""
        if now_us - link.last_frame_us > self.facts.stall_timeout_us:
            return Transition.LEFT_STALLED
        if link.is_first_list_overdue(now_us):
            return Transition.LEFT_SLOW
        return None

    def connect_missing(self, watchers: Sequence[str], now_us: int) -> None:
        """Connect to the next watchers where the main controller or the witness is missing.

        Watchers are tried in this controller's rendezvous order, without those that are avoided.
        """
        candidates = [
            name
            for name in rendezvous_order(watchers, self.facts.name)
            if self.avoided_until_us.get(name, 0) <= now_us
        ]
        for heartbeats_only in (False, True):
            free = [name for name in candidates if name not in self.links]
            if free and self.find_followed(heartbeats_only) is None:
                self.links[free[0]] = FollowedLink(heartbeats_only, now_us, now_us)
                self.commands.append(Connect(free[0], heartbeats_only))
        if self.links and self.find_followed(heartbeats_only=False) is None:
            # Only the witness is left: it becomes the main controller.
            self.reconnect(now_us, next(iter(self.links)))

    def find_followed(self, heartbeats_only: bool) -> str | None:
        """Return the name of the main controller, or of the witness if `heartbeats_only`.

        None if there is none.
        """
        for name, link in self.links.items():
            if link.heartbeats_only is heartbeats_only:
                return name
        return None

    def find_followed_with_heartbeat(self, heartbeats_only: bool) -> str | None:
        """Return the same as `find_followed`, if a heartbeat has arrived on the link; else None."""
        for name, link in self.links.items():
            if link.heartbeats_only is heartbeats_only and link.revision is not None:
                return name
        return None

    def has_service_contact(self) -> bool:
        """Whether the main controller is in contact with the discovery service."""
        return any(
            link.has_service_contact() for link in self.links.values() if not link.heartbeats_only
        )

    def reconnect(self, now_us: int, name: str, full_list: bool = False) -> None:
        """Replace the link to a controller by one that carries lists."""
        self.disconnect(name)
        self.links[name] = FollowedLink(False, now_us, now_us, is_full_list=full_list)
        self.commands.append(Connect(name, False, full_list))

    def leave(self, now_us: int, name: str, reason: Transition, avoid_us: int = AVOID_US) -> None:
        """Stop following a controller, report why, and avoid it for `avoid_us`."""
        self.avoid(now_us, name, reason, avoid_us)
        self.disconnect(name)

    def on_closed(self, now_us: int, name: str) -> None:
        """Remove a link that has ended, and avoid its controller for `AVOID_US`."""
        del self.links[name]
        self.avoid(now_us, name, Transition.LEFT_ENDED)

    def avoid(self, now_us: int, name: str, reason: Transition, avoid_us: int = AVOID_US) -> None:
        """Report why a controller is left, and avoid it for `avoid_us`."""
        self.commands.append(ReportTransition(reason, name))
        self.avoided_until_us[name] = now_us + avoid_us
        if len(self.avoided_until_us) > MAX_AVOIDED_PER_WATCHER * self.facts.watcher_count:
            self.avoided_until_us = {
                avoided: until_us
                for avoided, until_us in self.avoided_until_us.items()
                if until_us > now_us
            }

    def disconnect(self, name: str) -> None:
        """Close the link to a controller; do nothing if there is none."""
        if self.links.pop(name, None):
            self.commands.append(Disconnect(name))

    def disconnect_all(self) -> None:
        """Close all links."""
        for name in list(self.links):
            self.disconnect(name)
