"""Rendezvous hashing: a stable order of preference of one owner among many keys."""

from __future__ import annotations

import hashlib
import logging

log = logging.getLogger(__name__)

_SCORE_BYTES = 8


def rendezvous_score(owner: str, key: str) -> bytes:
    """Return the score of a key for an owner; the owner prefers the keys with the highest scores.

    Adding or removing a key leaves the order of the others unchanged.
    """
    return hashlib.blake2b(f"{owner}|{key}".encode(), digest_size=_SCORE_BYTES).digest()
