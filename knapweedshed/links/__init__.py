"""Actors that own sockets, and the adapters to outside systems."""
