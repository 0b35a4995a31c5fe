"""Small stand-ins of the platform, for tests and for trying the product."""
