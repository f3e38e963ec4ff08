"""Rehearsals: a whole site of stand-ins around real fronts, and the days that are played on it."""
