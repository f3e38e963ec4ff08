"""Leases on seats at the entitlement server: state machine, durable log and reconciliation.

All modules are free of I/O and clock except `file_store`, which alone accesses a disk.
"""
