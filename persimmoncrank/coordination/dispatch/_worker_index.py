"""The agents that an entry considers for a task, without a scan of all of them."""

from __future__ import annotations

import logging
from collections import OrderedDict, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from persimmoncrank.coordination.dispatch._agent_link import AgentLink

log = logging.getLogger(__name__)

SAMPLE_SIZE = 8


class WorkerIndex:
    """The connected agents by the age of their last frame and by the labels of their workers.

    The agents assigned to an entry are a constant number if the entries grow with the agents, and
    so are those in one rack. Of the rest, each task gets a sample in turn.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self._by_age: OrderedDict[str, AgentLink] = OrderedDict()
        self._by_label: dict[str, dict[str, AgentLink]] = {}
        self._labels: dict[str, tuple[str, ...]] = {}
        self._turns: deque[AgentLink] = deque()

    def add(self, link: AgentLink) -> None:
        """Add a connected agent."""
        if link not in self._turns:
            self._turns.append(link)
        self.touch(link)

    def touch(self, link: AgentLink) -> None:
        """Note a frame of an agent."""
        key = link.hello.incarnation
        self._by_age[key] = link
        self._by_age.move_to_end(key)
        labels = link.report.labels if link.report is not None else ()
        if self._labels.get(key, ()) != labels:
            self._set_labels(link, labels)

    def remove(self, link: AgentLink) -> None:
        """Remove an agent that is not connected any more."""
        self._by_age.pop(link.hello.incarnation, None)
        self._set_labels(link, ())
        if link in self._turns:
            self._turns.remove(link)

    def _set_labels(self, link: AgentLink, labels: tuple[str, ...]) -> None:
        key = link.hello.incarnation
        for label in self._labels.pop(key, ()):
            self._by_label[label].pop(key, None)
            if not self._by_label[label]:
                del self._by_label[label]
        for label in labels:
            self._by_label.setdefault(label, {})[key] = link
        if labels:
            self._labels[key] = labels

    def current(self, *, now_s: float) -> Iterator[AgentLink]:
        """Yield the agents whose state is known from a recent frame, the newest first."""
        for link in reversed(self._by_age.values()):
            if not link.is_current(now_s=now_s):
                return
            yield link

    def candidates(self, label: str, *, now_s: float) -> list[AgentLink]:
        """Return the agents to consider for a task, preferably on a worker with ``label``."""
        found = {link.hello.incarnation: link for link in self.current(now_s=now_s)}
        found.update(self._by_label.get(label, {}))
        for _ in range(min(SAMPLE_SIZE, len(self._turns))):
            self._turns.rotate(-1)
            found[self._turns[-1].hello.incarnation] = self._turns[-1]
        return list(found.values())
