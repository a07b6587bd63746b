"""Example jobs modelled on the workloads of the first customers."""

from __future__ import annotations
