"""Division of the configured limits among connections, health checks and buffers."""

import pytest

from plankroute.net.process.resource_limits import (
    PROCESS_DESCRIPTORS,
    PROCESS_MB,
    resource_limits_for,
)
from plankroute.net.proxies.bounded_reads import READ_BYTES, READER_LIMIT_BYTES

READER_BYTES = 2 * READER_LIMIT_BYTES + READ_BYTES  # read from a connection and not processed yet


@pytest.mark.parametrize("memory_mb, descriptors", [(32, 256), (64, 256), (80, 384), (192, 1024)])
def test_limits_fit_into_memory_and_descriptors(memory_mb: int, descriptors: int) -> None:
    limits = resource_limits_for(memory_mb, descriptors)
    assert limits.buffer_bytes + 10 * limits.list_bytes < memory_mb << 20
    if memory_mb >= 64:  # with 32, the minimum of each limit exceeds the memory
        readers_bytes = limits.connections * READER_BYTES
        used_bytes = limits.buffer_bytes + 10 * limits.list_bytes + readers_bytes
        assert used_bytes < (memory_mb - PROCESS_MB) << 20
    assert limits.connections >= 0.8 * descriptors
    assert limits.connections + limits.health_checks + PROCESS_DESCRIPTORS < descriptors
    assert 0 < limits.liveness_checkers < limits.connections / 8
