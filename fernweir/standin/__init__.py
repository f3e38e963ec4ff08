"""Stand-ins for what lies around a front: simulated boxes, viewers and the list server, all scriptable.

They share `http`, `dash` and `tokens` with the front and nothing else, and write what passed on their
sockets to a trace, from which `fernweir.audit` judges the rules.
"""
