"""A front node on the platform's own protocol: its connections, codecs and process (docs/node.md)."""
