"""What a question or an order will touch, before it is run: summaries of shards, estimates, limits, waves."""
