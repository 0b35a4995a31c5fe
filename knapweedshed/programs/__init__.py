"""Entry points: one module per executable, which builds and stops its actors."""
