"""Membership of the fronts by probing and gossip: who is alive, at which address, in which life."""
