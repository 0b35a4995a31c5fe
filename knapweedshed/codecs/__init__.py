"""Message encodings; no other package imports an encoding library."""
