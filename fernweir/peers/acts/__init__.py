"""Which front acted on which version: chains of acts, copies at two peers, clocks compared, questions.

`docs/peers.md` has what is reused of the journal, and why.
"""
