"""Manages leases on seats at the entitlement server: state machine, durable log and reconciliation.

No module reads a clock, and only `file_store` does I/O: it accesses the disk.
"""
