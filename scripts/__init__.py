"""Simulations of the decision code, cost measurements, and a check of test reports."""
