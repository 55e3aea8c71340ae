"""Prior knowledge of hosts: observations of earlier runs and of other controllers.

Decides which observations are too old, which of several is used, and when the policy receives them.
How much they influence routing is decided by the policy.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from plankroute.events.events import HostState
from plankroute.warm_start.merge import MergedKnowledge, Observation, from_observation, merge
from plankroute.warm_start.snapshot import HostKnowledge, Snapshot

# An observation of bad health counts as this much more recent than one of good health. Within this
# time health checks readmit a host that has recovered.
HALF_LIFE_US = 60_000_000
HOST_STATE_BY_LIST_STATE = {"DRAINING": HostState.DRAINING, "DELETED": HostState.GONE}


@dataclass(frozen=True, slots=True)
class WarmStartSettings:
    """Settings of the warm start.

    Attributes:
        max_age_us: Observations of this age or older are ignored; 0 ignores all.
    """

    max_age_us: int


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """Event: a snapshot was read from the file or received from another controller.

    Attributes:
        source: "file", or the name of the controller.
        snapshot: The snapshot.
        age_us: Microseconds since it was taken.
    """

    source: str
    snapshot: Snapshot
    age_us: int


@dataclass(frozen=True, slots=True)
class HostsListed:
    """Event: the endpoint list has changed.

    Attributes:
        boot_ms: Unix time of the latest start of each listed host, by its uid.
    """

    boot_ms: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class ProvidePriorKnowledge:
    """Command: pass the prior knowledge of a host to the policy.

    Attributes:
        uid: The host's name in the endpoint list.
        known: The merged observations of it.
        health_age_us: Microseconds since its health was observed.
        capacity_age_us: Microseconds since its capacity was observed.
    """

    uid: str
    known: MergedKnowledge
    health_age_us: int
    capacity_age_us: int


@dataclass(frozen=True, slots=True)
class AnnounceWithdrawals:
    """Command: announce hosts that are draining or deleted in the list of a received snapshot.

    Attributes:
        source: "file", or the name of the controller that sent the snapshot.
        revision: The revision of that list.
        withdrawn: The hosts' uids and states.
    """

    source: str
    revision: int
    withdrawn: tuple[tuple[str, HostState], ...]


@dataclass(frozen=True, slots=True)
class ReportMerge:
    """Command: report how the observations of a snapshot were merged.

    Attributes:
        source: "file", or the name of the controller that sent the snapshot.
        accepted: Number of hosts whose knowledge changed, or that are neither known nor listed.
        expired: Number of hosts whose observation was too old.
        superseded: Number of hosts of which better observations were known already.
    """

    source: str
    accepted: int
    expired: int
    superseded: int


Event = SnapshotReceived | HostsListed
Command = ProvidePriorKnowledge | AnnounceWithdrawals | ReportMerge


class WarmStart:
    """Merges snapshots, and passes new knowledge of each listed host to the policy once.

    Knowledge of a host is provided when the endpoint list contains the host with the same start
    that the knowledge is about.

    Attributes:
        settings: The settings.
        known: Merged knowledge by uid, of hosts that are listed or may be listed later.
        listed_boot_ms: Unix time of the latest start of each listed host, by uid.
        provided: The knowledge that was provided last, by uid.
    """

    def __init__(self, settings: WarmStartSettings) -> None:
        self.settings = settings
        self.known: dict[str, MergedKnowledge] = {}
        self.listed_boot_ms: Mapping[str, float] = {}
        self.provided: dict[str, MergedKnowledge] = {}

    def deliver(self, now_us: int, event: Event) -> list[Command]:
        """Handles an event.

        Args:
            now_us: Monotonic time in microseconds.
            event: The event.

        Returns:
            Commands to execute, in order.
        """
        match event:
            case SnapshotReceived():
                return self.merge_snapshot(now_us, event)
            case HostsListed(boot_ms):
                return self.update_listed_hosts(now_us, boot_ms)

    def update_listed_hosts(self, now_us: int, boot_ms: Mapping[str, float]) -> list[Command]:
        """Forgets hosts that are no longer listed, and provides knowledge of listed ones.

        An empty list is ignored, as it does not show that hosts have gone.
        """
        if not boot_ms:
            return []
        self.listed_boot_ms = boot_ms
        self.known = {uid: known for uid, known in self.known.items() if uid in boot_ms}
        self.provided = {uid: known for uid, known in self.provided.items() if uid in boot_ms}
        return self.provide_new_knowledge(now_us)

    def merge_snapshot(self, now_us: int, received: SnapshotReceived) -> list[Command]:
        """Merges the observations of a snapshot into the known ones."""
        accepted = 0
        expired = 0
        superseded = 0
        for knowledge in received.snapshot.hosts:
            observation = Observation(knowledge, now_us - knowledge.age_us - received.age_us)
            if self.is_expired(now_us, observation):
                expired += 1
            elif self.merge_observation(observation):
                accepted += 1
            else:
                superseded += 1
        commands: list[Command] = [ReportMerge(received.source, accepted, expired, superseded)]
        commands += self.withdrawals(received)
        commands += self.provide_new_knowledge(now_us)
        return commands

    def merge_observation(self, observation: Observation) -> bool:
        """Merges one observation; returns whether it changes what was known of its host.

        An observation of a host that is neither known nor listed is not kept, but also returns
        True. Before the first list, observations of any host are kept.
        """
        uid = observation.knowledge.uid
        known = self.known.get(uid)
        merged = from_observation(observation)
        if known is not None:
            merged = merge(known, merged, HALF_LIFE_US)
        may_be_listed = not self.listed_boot_ms or uid in self.listed_boot_ms
        if known is not None or may_be_listed:
            self.known[uid] = merged
        return merged != known

    def withdrawals(self, received: SnapshotReceived) -> list[Command]:
        """Returns the command that announces the hosts which the snapshot's list withdraws, if any.

        A drain does not expire: it holds until a list of its revision or a higher one arrives.
        A list of `max_age_us` or older is ignored, as it may come from another discovery service,
        whose revisions can't be compared.
        """
        snapshot = received.snapshot
        withdrawn = tuple(
            (uid, HOST_STATE_BY_LIST_STATE[state])
            for uid, state in snapshot.withdrawn
            if state in HOST_STATE_BY_LIST_STATE
        )
        list_age_us = snapshot.list_age_us + received.age_us
        if not withdrawn or list_age_us >= self.settings.max_age_us:
            return []
        return [AnnounceWithdrawals(received.source, snapshot.list_revision, withdrawn)]

    def is_expired(self, now_us: int, observation: Observation) -> bool:
        """Whether an observation has reached `max_age_us`."""
        return now_us - observation.observed_at_us >= self.settings.max_age_us

    def provide_new_knowledge(self, now_us: int) -> list[Command]:
        """Returns commands for the listed hosts whose knowledge differs from what was provided.

        Hosts whose knowledge is about another start, or has expired, are left out.
        """
        commands: list[Command] = []
        for uid, known in self.known.items():
            is_current_start = self.listed_boot_ms.get(uid) == known.boot_ms()
            if not is_current_start or self.provided.get(uid) == known:
                continue
            if self.is_expired(now_us, known.health) or self.is_expired(now_us, known.capacity):
                continue
            self.provided[uid] = known
            health_age_us = now_us - known.health.observed_at_us
            capacity_age_us = now_us - known.capacity.observed_at_us
            commands.append(ProvidePriorKnowledge(uid, known, health_age_us, capacity_age_us))
        return commands

    def snapshot(self, now_us: int, own: Snapshot) -> Snapshot:
        """Returns this controller's observations merged with its prior knowledge.

        Each host keeps the age of its observation. Guards against knowledge whose age is reset when
        it is passed on: after any number of restarts, an old observation is as old as before.

        Args:
            now_us: Monotonic time in microseconds.
            own: Snapshot of what this controller has observed itself.
        """
        prior = dict(self.known)
        hosts: list[HostKnowledge] = []
        for observed in own.hosts:
            known = prior.pop(observed.uid, None)
            if known is None:
                hosts.append(observed)
                continue
            new = from_observation(Observation(observed, now_us - observed.age_us))
            hosts.append(as_host_knowledge(now_us, merge(known, new, HALF_LIFE_US)))
        hosts += [as_host_knowledge(now_us, known) for known in prior.values()]
        fresh = [host for host in hosts if host.age_us < self.settings.max_age_us]
        return msgspec.structs.replace(own, hosts=tuple(fresh)).without_oversized_parts()


def as_host_knowledge(now_us: int, known: MergedKnowledge) -> HostKnowledge:
    """Returns the health and capacity observations as one record, with the older one's age.

    The older age guards against knowledge that seems more recent after merging.
    """
    health = known.health.knowledge
    capacity = known.capacity.knowledge
    oldest_us = min(known.health.observed_at_us, known.capacity.observed_at_us)
    return msgspec.structs.replace(
        health,
        weight=capacity.weight,
        attempts=capacity.attempts,
        failed=min(health.failed, capacity.attempts),
        mean_latency_us=capacity.mean_latency_us,
        age_us=max(0, now_us - oldest_us),
    )
