"""Configuration from the platform's store."""

from __future__ import annotations

from persimmoncrank.coordination.configuration._table_follower import TableFollower

__all__ = ["TableFollower"]
