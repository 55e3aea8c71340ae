"""Divides the configured memory and descriptor limits among their uses."""

from dataclasses import dataclass

# Memory of the interpreter, the program and its tables.
PROCESS_MB = 28
# Memory of a connection without its buffers: 24 KiB that were read and not processed yet, and its
# task and objects.
CONNECTION_BYTES = 36 << 10
# Shares of the memory that is left; parsing a list takes ten times its size.
BUFFERS_SHARE = 0.4
LIST_SHARE = 0.05
MIN_BUFFER_BYTES = 3 << 20  # one message of maximum length being received and one being sent
MIN_LIST_BYTES = 1 << 18
# Descriptors reserved for other uses than connections at the listening address: discovery, health
# checks, the log, files, and connections that are being closed.
RESERVED_SHARE = 1 / 8
MAX_RESERVED = 96
# Part of the reserved descriptors: those open in every process, including discovery's two calls.
PROCESS_DESCRIPTORS = 12
# Share of the connections for monitors that stay connected after a liveness check: a few dozen.
LIVENESS_CHECKERS_SHARE = 1 / 16


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Upper bounds of the resources that the controller uses at one time.

    Attributes:
        connections: Connections at the listening address.
        liveness_checkers: Those of the connections that have only sent liveness checks.
        health_checks: Concurrent health checks.
        buffer_bytes: Size of the buffers of all connections together.
        list_bytes: Size of one endpoint list.
    """

    connections: int
    liveness_checkers: int
    health_checks: int
    buffer_bytes: int
    list_bytes: int


def resource_limits_for(memory_mb: float, descriptors: int) -> ResourceLimits:
    """Returns the limits for a process with this much memory and this many descriptors.

    Each limit has a minimum, so that a process with too little memory or too few descriptors may
    exceed what it was given.
    """
    share = int(descriptors * RESERVED_SHARE)
    reserved = min(MAX_RESERVED, max(PROCESS_DESCRIPTORS + 4, share))
    connections = max(1, descriptors - reserved)
    used_bytes = (PROCESS_MB << 20) + connections * CONNECTION_BYTES
    free_bytes = max(0, int(memory_mb * (1 << 20)) - used_bytes)
    return ResourceLimits(
        connections=connections,
        liveness_checkers=max(1, int(connections * LIVENESS_CHECKERS_SHARE)),
        health_checks=max(1, (reserved - PROCESS_DESCRIPTORS) // 2),
        buffer_bytes=max(MIN_BUFFER_BYTES, int(free_bytes * BUFFERS_SHARE)),
        list_bytes=max(MIN_LIST_BYTES, int(free_bytes * LIST_SHARE)),
    )
