"""Stand-ins of the second review: the platform's store, runners, and host processes."""
