"""Data types: `NamedTuple` and `TypedDict` only, with no logic but derived values."""
