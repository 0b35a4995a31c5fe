"""Measurements of the decisions, with seeded arrivals and a manual clock."""
