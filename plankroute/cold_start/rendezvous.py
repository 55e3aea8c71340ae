"""Rendezvous hashing: an order of names that all controllers compute alike without a vote."""

from collections.abc import Iterable

import xxhash

HASH_SPAN = 1 << 64  # number of hash values, which start at 0


def rendezvous_hash(key: str, name: str) -> int:
    """Return the weight of a name for a key, from 0 to below `HASH_SPAN`."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def rendezvous_order(names: Iterable[str], key: str) -> list[str]:
    """Return the names by weight for the key, highest first (Thaler and Ravishankar 1998).

    The order depends only on the names and the key, and removing a name leaves the order of the
    others unchanged.
    """
    return sorted(names, key=lambda name: (rendezvous_hash(key, name), name), reverse=True)
