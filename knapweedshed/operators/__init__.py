"""The library in which operators write configuration."""
