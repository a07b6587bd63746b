"""Selection of free loopback addresses for tests, demo and bench."""

from __future__ import annotations

import contextlib
import logging
import random
import socket

log = logging.getLogger(__name__)

FIRST_PORT = 20_000
LAST_PORT = 32_000
LOOPBACK = "127.0.0.1"


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports are free for TCP and UDP.

    The ports are below the operating system's ephemeral port range, so that no outgoing
    connection can occupy one before the caller binds it.
    """
    ports = range(FIRST_PORT, LAST_PORT)
    start = random.SystemRandom().randrange(len(ports))
    found: list[str] = []
    for offset in range(len(ports)):
        if len(found) == count:
            break
        port = ports[(start + offset) % len(ports)]
        if _is_free(port):
            found.append(f"{LOOPBACK}:{port}")
    return found


def _is_free(port: int) -> bool:
    with contextlib.ExitStack() as stack:
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
