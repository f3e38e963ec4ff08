"""Channels: what an owner knows, at its standbys; hand-off, heirs, taking over; which front has a session."""
