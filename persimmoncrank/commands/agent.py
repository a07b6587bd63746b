"""The command ``agent``."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from persimmoncrank.commands._logs import set_up_logs
from persimmoncrank.commands._roles import run_until_signal, serve_agent

if TYPE_CHECKING:
    from persimmoncrank.settings import AgentSettings

log = logging.getLogger(__name__)


def agent(settings: AgentSettings) -> None:
    """Run an agent in the foreground until SIGTERM or SIGINT."""
    set_up_logs(settings.log_format, settings.log_level)
    run_until_signal(lambda stop: serve_agent(settings, stop))
