"""Forwarding of requests to the front that owns their session."""
