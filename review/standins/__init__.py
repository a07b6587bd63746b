"""Stand-ins for the platform, the executors and the clients, after the users' pages."""
