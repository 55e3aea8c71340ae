"""What the operators' limits leave for each use: connections, probes, buffers."""

from dataclasses import dataclass

PROCESS_MB = (
    20  # the interpreter, the program and its tables: 13 to 17 with 30 hosts and 150 proxies
)
RINGS_PART, LIST_PART = (
    0.4,
    0.05,
)  # of the memory beside the process; reading a list takes ten times its size
LEAST_BYTES = 3 << 20  # for the rings: one longest message taken in, another being written
SPARE_PART, SPARE_MOST = (
    1 / 8,
    96,
)  # of the descriptors: discovery, probes, the log, files, what is ending
FILES = 12  # of the spare ones: what the process has open by itself, discovery's two calls among it
ASKERS_PART = 1 / 16  # of the connections, for those that have asked and stay: some dozen monitors


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    peers: int  # connections at the steward's address
    askers: int  # of them, those that asked whether the steward is alive and stay
    probes: int
    ring_bytes: int
    list_bytes: int


def resource_limits_for(memory_mb: float, descriptors: int) -> ResourceLimits:
    free = int(max(0.0, memory_mb - PROCESS_MB) * (1 << 20))
    spare = min(SPARE_MOST, max(FILES + 4, int(descriptors * SPARE_PART)))
    peers = max(1, descriptors - spare)
    return ResourceLimits(
        peers,
        max(1, int(peers * ASKERS_PART)),
        max(1, (spare - FILES) // 2),
        max(LEAST_BYTES, int(free * RINGS_PART)),
        max(1 << 18, int(free * LIST_PART)),
    )
