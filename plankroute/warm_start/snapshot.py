"""Types of a snapshot, which is stored and sent: what one controller knows of the hosts.

Both types are encoded as MessagePack arrays: the order of their fields is part of the format, their
names are not. Ages are in microseconds and relative, so that the wall clocks of two machines need
not agree.
"""

from typing import Annotated

import msgspec

from plankroute.units import MAX_UNIX_MS

MAX_NAME_LENGTH = 256
MAX_HOSTS = 8192  # in one snapshot: as many as there are in an endpoint list of 3 MB
MAX_AGE_US = 1 << 53  # almost three centuries; no larger age is meaningful

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Age = Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_US)]
BoundedFloat = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
UnixMilliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]  # 0: a long time ago


class HostKnowledge(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a host since one of its starts.

    Attributes:
        uid: The host's name in the endpoint list.
        boot_ms: Unix time of that start; the knowledge does not apply after another start.
        weight: The host's weight; 1 is the mean of all hosts.
        attempts: Exponentially decayed sum of attempts.
        failed: Exponentially decayed sum of failed attempts.
        mean_latency_us: Mean latency of its responses, in microseconds.
        ejected: Whether outlier detection had ejected the host.
        required_checks: Successive good health checks that readmit it; more after each relapse.
        age_us: Microseconds since this was observed.
    """

    uid: Name
    boot_ms: UnixMilliseconds
    weight: BoundedFloat
    attempts: BoundedFloat
    failed: BoundedFloat
    mean_latency_us: BoundedFloat
    ejected: bool
    required_checks: Annotated[int, msgspec.Meta(ge=0, le=1024)]
    age_us: Age

    def is_unhealthy(self) -> bool:
        """Whether the host is ejected, or more than half of its attempts failed."""
        return self.ejected or 2 * self.failed > self.attempts


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that one controller knows of the hosts.

    Attributes:
        controller: Name of the controller that took the snapshot.
        list_revision: Revision of its endpoint list; -1 if it had none.
        list_age_us: Microseconds since the last contact with the discovery service.
        hosts: What is known of each host.
        withdrawn: Uids of the hosts that are draining or deleted in that list, with their state as
            the list spells it.
    """

    controller: Name
    list_revision: Annotated[int, msgspec.Meta(ge=-1)]
    list_age_us: Age
    hosts: Annotated[tuple[HostKnowledge, ...], msgspec.Meta(max_length=MAX_HOSTS)]
    withdrawn: Annotated[tuple[tuple[Name, str], ...], msgspec.Meta(max_length=MAX_HOSTS)]

    def without_oversized_parts(self) -> "Snapshot":
        """Returns the snapshot without entries that exceed the limits on names and hosts.

        A reader rejects a whole snapshot that holds a single such entry.
        """
        hosts = tuple(host for host in self.hosts if len(host.uid) <= MAX_NAME_LENGTH)
        withdrawn = tuple(entry for entry in self.withdrawn if len(entry[0]) <= MAX_NAME_LENGTH)
        return msgspec.structs.replace(
            self, hosts=hosts[:MAX_HOSTS], withdrawn=withdrawn[:MAX_HOSTS]
        )
