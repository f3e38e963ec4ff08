"""A front node on the platform's own protocol: one more way in and out of the front (docs/node.md)."""
