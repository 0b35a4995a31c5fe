"""Actors that each own one piece of state and talk by messages."""
