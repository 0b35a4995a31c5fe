"""The request chain: one module per filter."""
