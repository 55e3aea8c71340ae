"""State of the links to followed controllers, and the comparison of their heartbeats.

What to do about a difference is decided in `watcher_election.py`.
"""

from dataclasses import dataclass
from enum import Enum, auto

from plankroute.units import SECOND_US

# A younger contact with the discovery service is current: the service sends something every 2 s.
FRESH_CONTACT_US = 3 * SECOND_US
NO_CONTACT_AGE_US = 1 << 40  # age that heartbeats carry if there never was a contact
# A controller whose contact is older than the other controller's by more than this is cut off from
# the discovery service. Revisions are not compared if one of the contacts is this old itself.
MAX_CONTACT_LAG_US = 5 * SECOND_US
# If the main controller's contact is older, all followed controllers may be cut off from the
# discovery service, and this controller asks the service itself.
STALE_CONTACT_US = 10 * SECOND_US
# Time for the first list: 3 MB on a link of 50 KB/s. One that takes longer never completes.
MAX_FIRST_LIST_US = 60 * SECOND_US


@dataclass(slots=True)
class FollowedLink:
    """The link to one followed controller; times are those of the election.

    Attributes:
        heartbeats_only: The controller is the witness, which sends no lists.
        last_frame_us: When the last frame arrived; at first, when the link was opened.
        opened_us: When the link was opened.
        is_full_list: The complete list was requested, whichever revision was held.
        has_frames: Frames have arrived, though perhaps no heartbeat yet.
        revision: Revision in the last heartbeat; None before the first one.
        age_us: Age of the controller's last contact with the discovery service, by its last
            heartbeat.
        last_heartbeat_us: When the last heartbeat arrived.
    """

    heartbeats_only: bool
    last_frame_us: int
    opened_us: int
    is_full_list: bool = False
    has_frames: bool = False
    revision: int | None = None
    age_us: int = 0
    last_heartbeat_us: int = 0

    def on_frame(self, now_us: int) -> None:
        """Record a frame other than a heartbeat."""
        self.last_frame_us = now_us
        self.has_frames = True

    def on_heartbeat(self, now_us: int, revision: int, age_us: int) -> None:
        """Record a heartbeat."""
        self.last_frame_us = now_us
        self.last_heartbeat_us = now_us
        self.revision = revision
        self.age_us = age_us

    def is_first_list_overdue(self, now_us: int) -> bool:
        """Whether the first heartbeat, which follows the first list, takes too long."""
        return self.revision is None and now_us - self.opened_us > MAX_FIRST_LIST_US

    def never_had_contact(self) -> bool:
        """Whether the controller has no list, or only one that it was configured with."""
        return self.revision == -1 or self.age_us >= NO_CONTACT_AGE_US

    def lags_contact_of(self, other: "FollowedLink", now_us: int) -> bool:
        """Whether the controller's contact with the service is much older than the other one's.

        False while the link is young: a new watcher may still wait for the answer to its first
        request, and must not be left for that.
        """
        return (
            self.age_us > other.age_us + MAX_CONTACT_LAG_US
            and now_us - self.opened_us > MAX_CONTACT_LAG_US
        )

    def has_fresh_lower_revision(self, own_revision: int) -> bool:
        """Whether the controller has current contact and a revision below `own_revision`."""
        return (
            self.revision is not None
            and 0 <= self.revision < own_revision
            and self.age_us < FRESH_CONTACT_US
        )

    def has_service_contact(self) -> bool:
        """Whether the controller counts as in contact with the discovery service.

        Guards against watchers that have all lost the service while other controllers can reach it.
        Before the first heartbeat any frame counts, as the first list may still be on its way.
        """
        if self.revision is None:
            return self.has_frames
        return self.revision >= 0 and self.age_us <= STALE_CONTACT_US


class Finding(Enum):
    """Result of comparing the main controller with the witness and with this controller's list."""

    CONSISTENT = auto()
    MAIN_NEVER_HAD_CONTACT = auto()  # the main controller never had contact, the witness had
    MAIN_STALE = auto()  # cut off from the discovery service
    WITNESS_STALE = auto()
    REVISIONS_DECREASED = auto()  # all in contact at a lower revision: the service restarted them
    MAIN_BEHIND = auto()  # lower revision than the witness, both in contact
    WITNESS_BEHIND = auto()


def compare_links(
    main: FollowedLink, witness: FollowedLink | None, own_revision: int, now_us: int
) -> Finding:
    """Compare the followed controllers with each other and with this controller's list.

    Args:
        main: The link that carries lists; a heartbeat has arrived on it.
        witness: The other link, if a heartbeat has arrived on it.
        own_revision: Revision of this controller's list.
        now_us: The election's time.
    """
    if witness:
        finding = compare_contact(main, witness, now_us)
        if finding is not Finding.CONSISTENT:
            return finding
    is_main_below = main.has_fresh_lower_revision(own_revision)
    is_witness_below = witness is None or witness.has_fresh_lower_revision(own_revision)
    if is_main_below and not main.is_full_list and is_witness_below:
        return Finding.REVISIONS_DECREASED
    if witness:
        finding = compare_revisions(main, witness)
        if finding is not Finding.CONSISTENT:
            return finding
    if main.revision is not None and 0 <= main.revision < own_revision and not is_main_below:
        return Finding.MAIN_STALE  # no current contact, and a revision below the held one
    return Finding.CONSISTENT


def compare_contact(main: FollowedLink, witness: FollowedLink, now_us: int) -> Finding:
    """Compare the ages of the controllers' contacts with the discovery service."""
    if main.never_had_contact() and not witness.never_had_contact():
        return Finding.MAIN_NEVER_HAD_CONTACT
    if main.lags_contact_of(witness, now_us):
        return Finding.MAIN_STALE
    if witness.lags_contact_of(main, now_us):
        return Finding.WITNESS_STALE
    return Finding.CONSISTENT


def compare_revisions(main: FollowedLink, witness: FollowedLink) -> Finding:
    """Compare the controllers' revisions; CONSISTENT unless both have recent service contact."""
    if main.revision is None or witness.revision is None:
        return Finding.CONSISTENT
    if main.revision == witness.revision or max(main.age_us, witness.age_us) >= MAX_CONTACT_LAG_US:
        return Finding.CONSISTENT
    if main.revision < witness.revision:
        return Finding.MAIN_BEHIND
    return Finding.WITNESS_BEHIND
