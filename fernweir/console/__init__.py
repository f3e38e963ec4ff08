"""The operators' console: the same views on a screen, in a script, or printed once."""
