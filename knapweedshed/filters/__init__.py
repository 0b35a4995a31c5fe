"""The filters of the request chains."""
