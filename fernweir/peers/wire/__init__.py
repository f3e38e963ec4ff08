"""Encoding of messages, seals, replay windows and frames. Pure; `docs/peers.md` describes the formats."""
