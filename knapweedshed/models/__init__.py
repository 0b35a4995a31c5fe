"""Typed data: `NamedTuple` and `TypedDict` only, no behaviour beyond derived values."""
