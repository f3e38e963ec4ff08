"""Stragglers: which front is behind the fleet, who brings it up, when it is shut out and comes back."""
