"""Prior knowledge of hosts: what earlier runs and other controllers know of them.

Decides what is too old, whose word stands, and when the policy is told. What the knowledge counts
for is decided by the policy.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from plankroute.events.events import HostState
from plankroute.warm_start.merge import MergedKnowledge, Observation, from_observation, merge
from plankroute.warm_start.snapshot import HostKnowledge, Snapshot

# By which bad news count as fresher than good ones. Within that time health checks readmit a host
# that recovered.
HALF_LIFE_US = 60_000_000
STATE_BY_LIST_WORD = {"DRAINING": HostState.DRAINING, "DELETED": HostState.GONE}


@dataclass(frozen=True, slots=True)
class WarmStartSettings:
    """What operators set.

    Attributes:
        max_age_us: Knowledge of this age or older counts for nothing; 0: none counts.
    """

    max_age_us: int


@dataclass(frozen=True, slots=True)
class SnapshotReceived:
    """Event: a snapshot was read from the file, or came from another controller.

    Attributes:
        source: "file", or the name of the controller.
        snapshot: What it holds.
        age_us: Microseconds since it was written down.
    """

    source: str
    snapshot: Snapshot
    age_us: int


@dataclass(frozen=True, slots=True)
class HostsListed:
    """Event: the endpoint list has changed.

    Attributes:
        boot_ms: By the uid of each listed host, its present start.
    """

    boot_ms: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class ProvidePriorKnowledge:
    """Command: tell the policy what is known of a host.

    Attributes:
        uid: The host.
        known: What is known of it.
        health_age_us: Microseconds since its health was observed.
        capacity_age_us: Microseconds since its capacity was observed.
    """

    uid: str
    known: MergedKnowledge
    health_age_us: int
    capacity_age_us: int


@dataclass(frozen=True, slots=True)
class AnnounceWithdrawals:
    """Command: hosts are draining or deleted in a list that another controller has.

    Attributes:
        source: Who says so.
        revision: The revision of that list.
        withdrawn: The hosts with their states.
    """

    source: str
    revision: int
    withdrawn: tuple[tuple[str, HostState], ...]


@dataclass(frozen=True, slots=True)
class ReportMerge:
    """Command: report what became of the hosts of a snapshot.

    Attributes:
        source: Whose snapshot it was.
        accepted: Hosts of which it changed what is known.
        expired: Hosts of which its word was too old.
        superseded: Hosts of which something better was known already.
    """

    source: str
    accepted: int
    expired: int
    superseded: int


Event = SnapshotReceived | HostsListed
Command = ProvidePriorKnowledge | AnnounceWithdrawals | ReportMerge


class WarmStart:
    """Merges snapshots, and provides each host's knowledge once.

    A host's knowledge is provided when the list has the host with the very start that the knowledge
    is about.
    """

    def __init__(self, settings: WarmStartSettings) -> None:
        self.settings = settings
        self.known: dict[str, MergedKnowledge] = {}
        self.listed_boot_ms: Mapping[str, float] = {}
        self.provided: dict[str, MergedKnowledge] = {}

    def deliver(self, now_us: int, event: Event) -> list[Command]:
        """Takes an event in.

        Args:
            now_us: The monotonic clock's time, in microseconds.
            event: What happened.

        Returns:
            What is to be done, in this order.
        """
        match event:
            case SnapshotReceived():
                return self.merge_snapshot(now_us, event)
            case HostsListed(boot_ms):
                return self.follow_list(now_us, boot_ms)

    def follow_list(self, now_us: int, boot_ms: Mapping[str, float]) -> list[Command]:
        """Forgets hosts that are no longer listed; an empty list says nothing."""
        if not boot_ms:
            return []
        self.listed_boot_ms = boot_ms
        self.known = {uid: known for uid, known in self.known.items() if uid in boot_ms}
        self.provided = {uid: known for uid, known in self.provided.items() if uid in boot_ms}
        return self.provide_new_knowledge(now_us)

    def merge_snapshot(self, now_us: int, received: SnapshotReceived) -> list[Command]:
        """Merges each host of a snapshot into what is known."""
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
        """Whether the observation changes what is known of its host."""
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
        """Hosts that the snapshot's list withdraws.

        A drain does not age: it holds until a list of that revision, or of a higher one, is here.
        Guards against revisions of another discovery service: a list older than the limit may have
        come from one.
        """
        snapshot = received.snapshot
        withdrawn = tuple(
            (uid, STATE_BY_LIST_WORD[word])
            for uid, word in snapshot.withdrawn
            if word in STATE_BY_LIST_WORD
        )
        list_age_us = snapshot.list_age_us + received.age_us
        if not withdrawn or list_age_us >= self.settings.max_age_us:
            return []
        return [AnnounceWithdrawals(received.source, snapshot.list_revision, withdrawn)]

    def is_expired(self, now_us: int, observation: Observation) -> bool:
        """Whether the observation is too old to count."""
        return now_us - observation.observed_at_us >= self.settings.max_age_us

    def provide_new_knowledge(self, now_us: int) -> list[Command]:
        """Commands for listed hosts of which more is known than was provided."""
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
        """What this controller observed, merged with its prior knowledge, each with its own age.

        Guards against knowledge that grows younger by being passed on: what was observed long ago
        is as old after any number of restarts.

        Args:
            now_us: The monotonic clock's time, in microseconds.
            own: What this controller observed itself.
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
        return msgspec.structs.replace(own, hosts=tuple(fresh)).within_bounds()


def as_host_knowledge(now_us: int, known: MergedKnowledge) -> HostKnowledge:
    """Both kinds of facts as one record, with the age of the older one.

    Guards against knowledge that grows younger by merging.
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
