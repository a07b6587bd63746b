"""Messages between processes in virtual time, with faults; a small fake of the call port."""

from __future__ import annotations

import logging
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
import trio
from result import Err, Ok, Result
from trio.testing import MockClock

from persimmoncrank.protocol import (
    Call,
    Handler,
    PeerError,
    PeerErrorKind,
    decode_message,
    encode_message,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

log = logging.getLogger(__name__)

T = TypeVar("T")

LEAST_DELAY_S = 0.0005
MEAN_EXTRA_DELAY_S = 0.0005
SILENT_S = 3_600.0


def run_virtual(main: Callable[[], Awaitable[T]], *, seed: int = 0) -> T:
    """Run a coroutine function in virtual time; the same seed gives the same run."""
    # Without this flag a batch of runnable tasks is ordered by memory addresses before trio's own
    # generator shuffles it, so that a seed would not repeat.
    vars(trio._core._run)["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    trio._core._run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})


@dataclass(kw_only=True)
class NetworkFaults:
    """The faults of a network: probabilities for each message, and pairs that are cut."""

    loss: float = 0.0
    duplication: float = 0.0
    slow: float = 0.0
    slow_delay_s: float = 0.3
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    cut_domains: set[frozenset[str]] = field(default_factory=set)


class Process:
    """One process: its handlers, its task group, and whether it is paused."""

    def __init__(self, *, name: str, domain: str, address: str) -> None:
        """Create a process that is not running."""
        self.name = name
        self.domain = domain
        self.address = address
        self.handlers: dict[type, Handler] = {}
        self.group: TaskGroup | None = None
        self.is_alive = False
        self.has_store = True
        self._resumed = anyio.Event()
        self._resumed.set()

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return not self._resumed.is_set()

    def pause(self) -> None:
        """Stop the process at its ports."""
        if not self.is_paused:
            self._resumed = anyio.Event()

    def resume(self) -> None:
        """Let the process go on."""
        self._resumed.set()

    async def gate(self) -> None:
        """Wait while the process is paused."""
        while self.is_paused:
            await self._resumed.wait()

    def kill(self) -> None:
        """End the process at once."""
        self.is_alive = False
        if self.group is not None:
            self.group.cancel_scope.cancel()


class Network:
    """Messages between processes, with delay, loss, duplication, cuts and silent connections."""

    def __init__(self, *, rng: random.Random) -> None:
        """Create a network without processes."""
        self.rng = rng
        self.faults = NetworkFaults()
        self.least_delay_s = LEAST_DELAY_S
        self.by_address: dict[str, Process] = {}
        self.messages: dict[str, int] = defaultdict(int)
        self._silent: set[tuple[str, str]] = set()

    def silence(self, source: str, target: str) -> None:
        """Make the connection that one address opened to another silent until it is replaced."""
        self._silent.add((source, target))

    def port(self, source: Process) -> Call:
        """Return the call port of a process."""

        async def call(
            address: str, message: Any, reply_type: type[T], timeout_s: float
        ) -> Result[T, PeerError]:
            await source.gate()
            self.messages[type(message).__name__] += 1
            answer = await self._exchange(source, address, message, reply_type, timeout_s)
            await source.gate()
            return answer

        return call

    async def _exchange(
        self, source: Process, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        target = self.by_address.get(address)
        with anyio.move_on_after(timeout_s):
            await self._travel()
            if target is None or not target.is_alive:
                return Err(PeerError(kind=PeerErrorKind.UNREACHABLE, message="refused"))
            if self._is_dropped(source, target) or self._is_silent(source, target):
                await anyio.sleep(SILENT_S)
            replies = self._deliver(target, message)
            if self.rng.random() < self.faults.duplication:
                self._deliver(target, message)
            await replies.event.wait()
            await self._travel()
            is_lost = self._is_dropped(target, source) or self._is_silent(source, target)
            if is_lost or not replies.content:
                await anyio.sleep(SILENT_S)
            return Ok(decode_message(replies.content, reply_type))
        self._silent.discard((source.address, address))
        return Err(PeerError(kind=PeerErrorKind.TIMEOUT, message="no reply"))

    async def _travel(self) -> None:
        delay_s = self.least_delay_s + self.rng.expovariate(1 / MEAN_EXTRA_DELAY_S)
        if self.rng.random() < self.faults.slow:
            delay_s += self.faults.slow_delay_s * self.rng.random()
        await anyio.sleep(delay_s)

    def _is_dropped(self, source: Process, target: Process) -> bool:
        pair = frozenset((source.name, target.name))
        domains = frozenset((source.domain, target.domain))
        return (
            pair in self.faults.cut_pairs
            or domains in self.faults.cut_domains
            or self.rng.random() < self.faults.loss
        )

    def _is_silent(self, source: Process, target: Process) -> bool:
        """Tell whether the connection that a process opened to another went silent."""
        return (source.address, target.address) in self._silent

    def _deliver(self, target: Process, message: Any) -> _Reply:
        reply = _Reply()
        if target.group is not None:
            target.group.start_soon(self._handle, target, encode_message(message), message, reply)
        return reply

    async def _handle(self, target: Process, data: bytes, message: Any, reply: _Reply) -> None:
        await target.gate()
        handler = target.handlers.get(type(message))
        if handler is not None:
            answer = await handler.handle(decode_message(data, type(message)))
            await target.gate()
            reply.content = encode_message(answer)
        reply.event.set()


@dataclass(kw_only=True)
class _Reply:
    """The reply to one delivered message."""

    content: bytes = b""
    event: anyio.Event = field(default_factory=anyio.Event)
