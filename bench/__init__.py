"""Measurements, each a command: `python -m bench.NAME --help`. None of them is part of CI."""
