"""A front node that uses the platform's own protocol: connections, codecs and process (docs/node.md)."""
