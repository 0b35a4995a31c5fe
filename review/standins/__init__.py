"""Stand-ins for the cases of this review: store, runners, clients, and host control."""
