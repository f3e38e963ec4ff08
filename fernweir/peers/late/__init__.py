"""Straggler detection: which fronts are stale, who updates them, and when they are shut out."""
