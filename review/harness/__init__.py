"""Stand-ins of the platform for the cases of the review: front node, media servers, control feed, viewers."""
