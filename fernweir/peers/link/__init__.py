"""Sockets between fronts: datagrams, connections, and what joins the two. Thin shells around `peers.wire`."""
