"""Stand-ins for executors, clients, the operator and the platform's store."""
