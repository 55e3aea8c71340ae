"""Drains that are told before the list that holds them: what is believed of them, how much, and for how long.

A drain heard from anyone holds until a list of its revision or a higher one says otherwise. Opens no host."""

from collections.abc import Iterable
from dataclasses import dataclass

from plankroute.events.events import HostState

SECOND_US = 1_000_000
MOST_PART = (
    0.5  # of the hosts that are listed: a peer's word alone must leave proxies somebody to pick
)
HOLD_US = (
    60 * SECOND_US
)  # without the list that it announced: as long as a first list may take (`follow.py`)


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """One host, closed at a revision; `by`: the steward, or the file, that said so."""

    state: HostState
    revision: int
    by: str
    at_us: int


class DrainNotices:
    """By host's name, what was told of it ahead of the list.

    Guards against a drain that waits behind a large list on a slow link. Harm: a peer that lies can close
    half of the hosts until the service contradicts it, or a minute is over; its lists could do more.
    """

    def __init__(self) -> None:
        self.told: dict[str, DrainNotice] = {}
        self.refused = 0  # beyond what is believed ahead of a list: they come with it

    def hear(
        self,
        now_us: int,
        name: str,
        revision: int,
        closed: Iterable[tuple[str, HostState]],
        held: int,
        listed: int,
    ) -> list[str]:
        """Those that are new and believed; `held`: the revision of this steward's list, of `listed` hosts."""
        taken = []
        for uid, state in closed if revision > held else ():
            known = self.told.get(uid)
            if state is HostState.READY:
                continue
            if known is None and len(self.told) + 1 > MOST_PART * listed:
                self.refused += 1
            elif known is None or known.revision < revision:
                self.told[uid] = DrainNotice(state, revision, name, now_us)
                taken.append(uid)
        return taken

    def settle(self, revision: int | None) -> list[str]:
        """A list of that revision is believed (None: one that began anew): it says what holds."""
        return self.drop(
            {
                uid
                for uid, told in self.told.items()
                if revision is None or told.revision <= revision
            }
        )

    def left(self, name: str) -> list[str]:
        """The service knows nothing of what that steward claimed."""
        return self.drop({uid for uid, told in self.told.items() if told.by == name})

    def expire(self, now_us: int) -> list[str]:
        return self.drop({uid for uid, told in self.told.items() if now_us - told.at_us > HOLD_US})

    def drop(self, uids: set[str]) -> list[str]:
        for uid in uids:
            del self.told[uid]
        return sorted(uids)
