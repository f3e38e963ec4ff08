"""Who is alive, at which address, in which life: membership of the fronts by probing and gossip."""
