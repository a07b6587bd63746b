"""Stand-ins and helpers for the scripts of the second review; only the standard library is used."""
