"""Rendezvous hashing: all processes order the same names alike."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def score(key: str, name: str) -> int:
    """Returns the weight of a name for a key."""
    return xxh3_64_intdigest(f'{key}\x00{name}'.encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names in their order for a key, the highest score first."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)
