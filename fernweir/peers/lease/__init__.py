"""Who owns a channel, under which fence: leases granted by a majority of keepers, without disks.

After PaxosLease (Trencseni, Gazso, Reinhardt 2012). A keeper grants a channel to one holder at a time, for a
span by its own clock from when it grants; a holder believes for a shorter span by its own clock, from when it
asked. Two majorities share a keeper, so two holders never believe at once. `docs/peers.md` says what is
guaranteed by what.
"""
