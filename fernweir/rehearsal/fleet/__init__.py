"""Several real fronts as processes, with a relay between them, and what is done to both from a seed."""
