"""Runs the command line."""

from __future__ import annotations

import os

from persimmoncrank.cli import cli

GRPC_VERBOSITY = "GRPC_VERBOSITY"


def main() -> None:
    """Run the command line without gRPC's own log lines, unless ``GRPC_VERBOSITY`` is set."""
    os.environ.setdefault(GRPC_VERBOSITY, "NONE")
    cli(prog_name="persimmoncrank")


if __name__ == "__main__":
    main()
