"""Channel ownership by fenced leases that a majority of keepers grants, without disks.

The protocol follows PaxosLease (Trencseni, Gazso, Reinhardt 2012). A keeper grants a channel to one holder at
a time, for a span that starts with the grant by the keeper's clock. The holder uses the lease for a shorter
span that starts with its request by its own clock. Two majorities share a keeper, so two holders never hold
the same channel at once. `docs/peers.md` describes the guarantees and what each depends on.
"""
