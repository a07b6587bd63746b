"""Unique names for the incarnations of processes."""

from __future__ import annotations

import logging
import random

from persimmoncrank.protocol import make_incarnation

log = logging.getLogger(__name__)

INCARNATION_BITS = 32


def new_incarnation(name: str) -> str:
    """Return a name that no earlier process of the same instance has used."""
    return make_incarnation(name=name, nonce=random.SystemRandom().getrandbits(INCARNATION_BITS))
