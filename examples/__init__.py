"""Example deployments of both co-operatives, and a program that runs them locally."""
