"""Channels of sessions: replication to standbys, hand-off, successor selection, takeover, session lookup."""
