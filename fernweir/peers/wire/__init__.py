"""Messages to bytes and back, seals, replay windows, frames. Pure; `docs/peers.md` has the formats."""
