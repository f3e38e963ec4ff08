"""Facts that fronts publish about themselves, spread by gossip, and transfers of large blobs."""
