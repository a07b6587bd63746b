"""Stand-ins for the platform, executors and clients, with the standard library only."""
