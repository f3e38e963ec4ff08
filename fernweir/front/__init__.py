"""The session front: a host that owns sessions and answers without I/O, and thin shells around it."""
