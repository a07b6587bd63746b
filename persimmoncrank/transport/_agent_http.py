"""The agent's HTTP interface: metrics, health and readiness."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from starlette.applications import Starlette

from persimmoncrank.transport._entry_http import health_routes

if TYPE_CHECKING:
    from persimmoncrank.coordination import AgentNode
    from persimmoncrank.transport._metrics import Metrics

log = logging.getLogger(__name__)


def agent_app(node: AgentNode, metrics: Metrics) -> Starlette:
    """Return the HTTP application of an agent."""
    return Starlette(routes=health_routes(node.is_ready, metrics))
