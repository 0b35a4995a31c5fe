"""Actors that each own one part of a process's state and communicate by messages."""
