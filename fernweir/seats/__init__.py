"""Seats held at an entitlement server: who holds what, until when, and how that survives anything.

Decisions and state, free of I/O and clock, but for `files`, the only place that touches a disk.
"""
