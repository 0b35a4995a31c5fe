"""Example deployments of both co-operatives, and a way to run them on one machine."""
