"""Message encodings: the only importers of codec libraries."""
