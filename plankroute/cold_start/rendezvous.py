"""Rendezvous hashing: an order of names on which all controllers agree without a vote."""

from collections.abc import Iterable

import xxhash

HASH_SPAN = 1 << 64  # of the hash: all its values are below


def rendezvous_hash(key: str, name: str) -> int:
    """The weight of a name for a key, from 0 to below `HASH_SPAN`."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def rendezvous_order(names: Iterable[str], key: str) -> list[str]:
    """The names by their weight for the key, the highest first (Thaler and Ravishankar 1998).

    Everyone with the same names finds the same order; one that goes moves nobody else.
    """
    return sorted(names, key=lambda name: (rendezvous_hash(key, name), name), reverse=True)
