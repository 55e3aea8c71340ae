"""Links to the controllers that are followed, and what their heartbeats say beside each other.

Pure state and comparisons; what follows from them is decided in `watcher_election.py`.
"""

from dataclasses import dataclass
from enum import Enum, auto

from plankroute.units import SECOND_US

# Contact with the service is fresh while no older: the service sends something each 2 s.
FRESH_US = 3 * SECOND_US
NO_CONTACT_AGE_US = 1 << 40  # the age of a contact that never was, as sent in heartbeats
# Behind the other's contact: the controller is cut off from the service.
OLD_US = 5 * SECOND_US
# All that are followed may be cut off from the service: it is asked then.
STALE_US = 10 * SECOND_US
# A first list that takes longer never ends: 3 MB on a link of 50 KB/s.
MAX_FIRST_LIST_US = 60 * SECOND_US


@dataclass(slots=True)
class FollowedLink:
    """One controller that is followed.

    Attributes:
        heartbeats_only: it is a witness: its lists are not wanted.
        last_frame_us: when the last frame came.
        opened_us: when the link was dialled.
        is_full_list: the complete list was asked for, whatever is held.
        has_frames: frames have come, though perhaps no heartbeat yet.
        revision: of the last heartbeat; None: none came.
        age_us: of the controller's last contact with the service, in the last heartbeat.
        last_heartbeat_us: when it came.
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
        """A frame came."""
        self.last_frame_us = now_us
        self.has_frames = True

    def on_heartbeat(self, now_us: int, revision: int, age_us: int) -> None:
        """A heartbeat came."""
        self.last_frame_us = now_us
        self.last_heartbeat_us = now_us
        self.revision = revision
        self.age_us = age_us

    def is_first_list_overdue(self, now_us: int) -> bool:
        """Whether its first list takes too long."""
        return self.revision is None and now_us - self.opened_us > MAX_FIRST_LIST_US

    def has_no_contact(self) -> bool:
        """It has no list, or but the one that it was handed at its start."""
        return self.revision == -1 or self.age_us >= NO_CONTACT_AGE_US

    def is_older_than(self, other: "FollowedLink", now_us: int) -> bool:
        """Whether its contact with the service is much older than the other's.

        Guards also against leaving a watcher for its first request, which the service is yet to
        answer.
        """
        return self.age_us > other.age_us + OLD_US and now_us - self.opened_us > OLD_US

    def is_below(self, own_revision: int) -> bool:
        """Whether it is in contact with the service, at a revision below this controller's own."""
        return (
            self.revision is not None
            and 0 <= self.revision < own_revision
            and self.age_us < FRESH_US
        )

    def has_service_contact(self) -> bool:
        """Guards against watchers that all have lost the service, while others could reach it."""
        if self.revision is None:
            return self.has_frames
        return self.revision >= 0 and self.age_us <= STALE_US


class Finding(Enum):
    """What the main link and the witness say beside each other."""

    CONSISTENT = auto()
    MAIN_HAS_NO_CONTACT = auto()  # the witness has
    MAIN_STALE = auto()
    WITNESS_STALE = auto()
    REVISIONS_FELL = auto()  # both in contact, both below what is held: the service began anew
    MAIN_BEHIND = auto()
    WITNESS_BEHIND = auto()


def compare_links(
    main: FollowedLink, witness: FollowedLink | None, own_revision: int, now_us: int
) -> Finding:
    """Compare what two followed controllers said with each other and with what is held.

    Args:
        main: the link whose lists are taken; a heartbeat came on it.
        witness: the other one, if a heartbeat came on it.
        own_revision: of this controller's list.
        now_us: the election's time.
    """
    if witness:
        finding = compare_contact(main, witness, now_us)
        if finding is not Finding.CONSISTENT:
            return finding
    is_below = main.is_below(own_revision)
    is_witness_below = witness is None or witness.is_below(own_revision)
    if is_below and not main.is_full_list and is_witness_below:
        return Finding.REVISIONS_FELL
    if witness:
        finding = compare_revisions(main, witness)
        if finding is not Finding.CONSISTENT:
            return finding
    if main.revision is not None and 0 <= main.revision < own_revision and not is_below:
        return Finding.MAIN_STALE  # cut off from the service, and behind what is held
    return Finding.CONSISTENT


def compare_contact(main: FollowedLink, witness: FollowedLink, now_us: int) -> Finding:
    """Compare the age of their contacts with the service."""
    if main.has_no_contact() and not witness.has_no_contact():
        return Finding.MAIN_HAS_NO_CONTACT
    if main.is_older_than(witness, now_us):
        return Finding.MAIN_STALE
    if witness.is_older_than(main, now_us):
        return Finding.WITNESS_STALE
    return Finding.CONSISTENT


def compare_revisions(main: FollowedLink, witness: FollowedLink) -> Finding:
    """Compare their revisions, where both are in contact with the service."""
    if main.revision is None or witness.revision is None:
        return Finding.CONSISTENT
    if main.revision == witness.revision or max(main.age_us, witness.age_us) >= OLD_US:
        return Finding.CONSISTENT
    if main.revision < witness.revision:
        return Finding.MAIN_BEHIND
    return Finding.WITNESS_BEHIND
