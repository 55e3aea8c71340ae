"""What one controller knows of the hosts at one moment: the types that are stored and sent.

Both types are encoded as MessagePack arrays: the order of their fields is part of the format, their
names are not. Ages are microseconds and count from the observation itself, so that the wall clocks
of two machines need not agree.
"""

from typing import Annotated

import msgspec

from plankroute.units import MAX_UNIX_MS

MAX_NAME_LENGTH = 256
MAX_HOSTS = 8192  # in one snapshot: as many as an endpoint list of 3 MB names
MAX_AGE_US = 1 << 53  # three centuries: any larger figure is as meaningless

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Age = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_US)]
Figure = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
UnixMilliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]  # 0: long ago


class HostKnowledge(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one start of one host.

    Attributes:
        uid: The host's name in the endpoint list.
        boot_ms: Which start of the host this is about; after another start it is another host.
        weight: The host's weight; 1 is the mean of all hosts.
        attempts: Exponentially decayed sum of attempts.
        failed: Exponentially decayed sum of failed attempts.
        mean_latency_us: Mean latency of its answers, in microseconds.
        ejected: Whether outlier detection had ejected the host.
        required_checks: Good health checks in a row that readmit it; more after each relapse.
        age_us: Microseconds since this was observed.
    """

    uid: Name
    boot_ms: UnixMilliseconds
    weight: Figure
    attempts: Figure
    failed: Figure
    mean_latency_us: Figure
    ejected: bool
    required_checks: Annotated[int, msgspec.Meta(ge=0, le=1024)]
    age_us: Age

    def is_unhealthy(self) -> bool:
        """Whether the host is ejected, or most of its attempts failed."""
        return self.ejected or 2 * self.failed > self.attempts


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that one controller knows of the hosts.

    Attributes:
        controller: The name of the controller that made the snapshot.
        list_revision: Revision of the endpoint list it had; -1: it had none.
        list_age_us: Microseconds since discovery last answered.
        hosts: What is known of each host.
        withdrawn: Hosts that are draining or deleted in that list, with the list's word for it.
    """

    controller: Name
    list_revision: Annotated[int, msgspec.Meta(ge=-1)]
    list_age_us: Age
    hosts: Annotated[tuple[HostKnowledge, ...], msgspec.Meta(max_length=MAX_HOSTS)]
    withdrawn: Annotated[tuple[tuple[Name, str], ...], msgspec.Meta(max_length=MAX_HOSTS)]

    def within_bounds(self) -> "Snapshot":
        """Returns the snapshot without the entries for which a reader would refuse all of it."""
        hosts = tuple(host for host in self.hosts if len(host.uid) <= MAX_NAME_LENGTH)
        withdrawn = tuple(entry for entry in self.withdrawn if len(entry[0]) <= MAX_NAME_LENGTH)
        return msgspec.structs.replace(
            self, hosts=hosts[:MAX_HOSTS], withdrawn=withdrawn[:MAX_HOSTS]
        )
