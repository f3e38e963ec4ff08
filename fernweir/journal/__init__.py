"""The journal of a front: session events, their storage, and the state derived from them."""
