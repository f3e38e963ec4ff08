"""The journal of events: what a front did with each session, and the state that follows from it."""
