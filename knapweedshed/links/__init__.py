"""Actors that own sockets, and adapters to external systems."""
