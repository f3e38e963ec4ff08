"""Fronts that know one another: members, facts, acts, stragglers, leases, channels, estimates.

Off unless the settings have a `[peers]` section, and not imported then. `docs/peers.md` has the design.
"""
