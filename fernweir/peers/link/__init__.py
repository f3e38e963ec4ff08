"""Transport between fronts: datagrams, connections, and `Links`, which combines both. Uses `peers.wire`."""
