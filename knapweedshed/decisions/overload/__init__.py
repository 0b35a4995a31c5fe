"""Decisions under overload: what keeps, gives way, waits or is rejected."""
