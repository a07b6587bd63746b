"""A simulated network in virtual time with faults; a small fake of the call port."""

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

MIN_DELAY_S = 0.0005
MEAN_EXTRA_DELAY_S = 0.0005
NO_REPLY_WAIT_S = 3_600.0  # stands for a lost message: the call times out earlier


def run_virtual(main: Callable[[], Awaitable[T]], *, seed: int = 0) -> T:
    """Run a coroutine function in virtual time; the same seed repeats the same run."""
    # Without this flag, trio orders a batch of runnable tasks by memory address before its own
    # random generator shuffles it, so the same seed would not repeat a run.
    vars(trio._core._run)["_ALLOW_DETERMINISTIC_SCHEDULING"] = True
    trio._core._run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})


@dataclass(kw_only=True)
class NetworkFaults:
    """Network faults: probabilities per message, and partitioned pairs of processes or domains."""

    loss: float = 0.0
    duplication: float = 0.0
    slow: float = 0.0
    slow_delay_s: float = 0.3
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    cut_domains: set[frozenset[str]] = field(default_factory=set)


class Process:
    """One process: its handlers, its task group, and whether it is paused."""

    def __init__(self, *, name: str, domain: str, address: str) -> None:
        """Create a process that is not running yet."""
        self.name = name
        self.domain = domain
        self.address = address
        self.handlers: dict[type, Handler] = {}
        self.group: TaskGroup | None = None
        self.is_alive = False
        self.can_reach_store = True
        self._resumed = anyio.Event()
        self._resumed.set()

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return not self._resumed.is_set()

    def pause(self) -> None:
        """Block the process at its ports: its calls and messages wait until it resumes."""
        if not self.is_paused:
            self._resumed = anyio.Event()

    def resume(self) -> None:
        """Resume a paused process."""
        self._resumed.set()

    async def wait_while_paused(self) -> None:
        """Wait while the process is paused."""
        while self.is_paused:
            await self._resumed.wait()

    def kill(self) -> None:
        """Stop the process at once, without a graceful shutdown."""
        self.is_alive = False
        if self.group is not None:
            self.group.cancel_scope.cancel()


class Network:
    """Carries messages, with delay, loss, duplication, partitions and stalled connections."""

    def __init__(self, *, rng: random.Random) -> None:
        """Create a network without processes; random delays and faults use ``rng``."""
        self.rng = rng
        self.faults = NetworkFaults()
        self.min_delay_s = MIN_DELAY_S
        self.by_address: dict[str, Process] = {}
        self.call_counts: dict[str, int] = defaultdict(int)
        self._stalled: set[tuple[str, str]] = set()

    def stall_connection(self, source: str, target: str) -> None:
        """Drop all messages on the connection from one address to another.

        The connection stays open until a call on it times out; the next call opens a new one.
        """
        self._stalled.add((source, target))

    def call_port(self, source: Process) -> Call:
        """Return the port through which a process sends calls."""

        async def call(
            address: str, message: Any, reply_type: type[T], timeout_s: float
        ) -> Result[T, PeerError]:
            await source.wait_while_paused()
            self.call_counts[type(message).__name__] += 1
            answer = await self._exchange(source, address, message, reply_type, timeout_s)
            await source.wait_while_paused()
            return answer

        return call

    async def _exchange(
        self, source: Process, address: str, message: Any, reply_type: type[T], timeout_s: float
    ) -> Result[T, PeerError]:
        target = self.by_address.get(address)
        with anyio.move_on_after(timeout_s):
            await self._sleep_for_delay()
            if target is None or not target.is_alive:
                return Err(PeerError(kind=PeerErrorKind.UNREACHABLE, message="refused"))
            if self._is_dropped(source, target) or self._is_stalled(source, target):
                await anyio.sleep(NO_REPLY_WAIT_S)
            replies = self._deliver(target, message)
            if self.rng.random() < self.faults.duplication:
                self._deliver(target, message)
            await replies.event.wait()
            await self._sleep_for_delay()
            is_lost = self._is_dropped(target, source) or self._is_stalled(source, target)
            if is_lost or not replies.content:
                await anyio.sleep(NO_REPLY_WAIT_S)
            return Ok(decode_message(replies.content, reply_type))
        self._stalled.discard((source.address, address))
        return Err(PeerError(kind=PeerErrorKind.TIMEOUT, message="no reply"))

    async def _sleep_for_delay(self) -> None:
        delay_s = self.min_delay_s + self.rng.expovariate(1 / MEAN_EXTRA_DELAY_S)
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

    def _is_stalled(self, source: Process, target: Process) -> bool:
        """Return whether the connection from ``source`` to ``target`` is stalled."""
        return (source.address, target.address) in self._stalled

    def _deliver(self, target: Process, message: Any) -> _Reply:
        reply = _Reply()
        if target.group is not None:
            target.group.start_soon(self._handle, target, encode_message(message), message, reply)
        return reply

    async def _handle(self, target: Process, data: bytes, message: Any, reply: _Reply) -> None:
        await target.wait_while_paused()
        handler = target.handlers.get(type(message))
        if handler is not None:
            answer = await handler.handle(decode_message(data, type(message)))
            await target.wait_while_paused()
            reply.content = encode_message(answer)
        reply.event.set()


@dataclass(kw_only=True)
class _Reply:
    """The reply to a delivered message; the content stays empty without a handler."""

    content: bytes = b""
    event: anyio.Event = field(default_factory=anyio.Event)
