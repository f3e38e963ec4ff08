"""The operators' console: one set of views, shown on a screen, run by a script, or printed once."""
