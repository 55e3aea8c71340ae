"""Divides the operators' limits of memory and descriptors among their uses."""

from dataclasses import dataclass

# Interpreter, program and tables.
PROCESS_MB = 20
# Shares of the memory beside the process; parsing a list takes ten times its size.
BUFFERS_SHARE = 0.4
LIST_SHARE = 0.05
MIN_BUFFER_BYTES = 3 << 20  # one longest message received, another one being written
MIN_LIST_BYTES = 1 << 18
# Descriptors not for connections: discovery, health checks, the log, files, what is being closed.
RESERVED_SHARE = 1 / 8
MAX_RESERVED = 96
# Of the reserved ones: what the process has open by itself, discovery's two calls among it.
PROCESS_DESCRIPTORS = 12
# Of the connections, for monitors that check liveness and stay: some dozens of them.
LIVENESS_CHECKERS_SHARE = 1 / 16


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Upper bounds of what the controller holds at one time.

    Attributes:
        connections: At the listening address.
        liveness_checkers: Of the connections, those that have only checked liveness.
        health_checks: Under way at one time.
        buffer_bytes: Of all connections' buffers together.
        list_bytes: Of one endpoint list.
    """

    connections: int
    liveness_checkers: int
    health_checks: int
    buffer_bytes: int
    list_bytes: int


def resource_limits_for(memory_mb: float, descriptors: int) -> ResourceLimits:
    """Returns the limits that fit into the memory and the descriptors of the process."""
    free_bytes = int(max(0.0, memory_mb - PROCESS_MB) * (1 << 20))
    share = int(descriptors * RESERVED_SHARE)
    reserved = min(MAX_RESERVED, max(PROCESS_DESCRIPTORS + 4, share))
    connections = max(1, descriptors - reserved)
    return ResourceLimits(
        connections=connections,
        liveness_checkers=max(1, int(connections * LIVENESS_CHECKERS_SHARE)),
        health_checks=max(1, (reserved - PROCESS_DESCRIPTORS) // 2),
        buffer_bytes=max(MIN_BUFFER_BYTES, int(free_bytes * BUFFERS_SHARE)),
        list_bytes=max(MIN_LIST_BYTES, int(free_bytes * LIST_SHARE)),
    )
