"""The ring buffer, and the memory pool that ring buffers share."""

import random

import pytest

from plankroute.net.proxies.ring_buffer import MemoryPool, RingBuffer


@pytest.mark.parametrize("seed", range(20))
def test_a_ring_buffer_is_a_bounded_queue_of_bytes(seed: int) -> None:
    random_source = random.Random(seed)
    pool = MemoryPool(6000)
    ring = RingBuffer(5000, pool)
    expected = bytearray()
    for _ in range(400):
        if random_source.random() < 0.55:
            piece = bytes(random_source.choices(b"ab\n", k=random_source.randrange(1500)))
            if ring.append(piece):
                expected += piece
            else:
                assert len(expected) + len(piece) > 4096  # 4096 bytes always fit the pool
        else:
            count = random_source.randrange(2500)
            assert ring.take(count) == bytes(expected[:count])
            del expected[:count]
        skip = random_source.randrange(ring.size + 1)
        assert ring.size == len(expected) and ring.find(10, skip) == expected.find(10, skip)
        assert 0 <= pool.available == 6000 - len(ring.data)


def test_a_shrunk_pool_keeps_allocations_and_grants_none_until_enough_is_released() -> None:
    pool = MemoryPool(4096)
    ring = RingBuffer(8192, pool)
    assert ring.append(bytes(4000))
    pool.resize(2048)
    assert len(ring.take(4000)) == 4000 and pool.available == 2048
    assert not ring.append(bytes(2049))
    pool.resize(8192)
    assert ring.append(bytes(8000))
