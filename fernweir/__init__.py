"""fernweir: the decisions of a session controller for a fleet of media servers."""

from fernweir.controller import Controller
from fernweir.interface import Settings

__all__ = ["VERSION", "Controller", "Settings"]

VERSION = "0.2.0"  # as pyproject.toml has it
