"""fernweir: the decisions of a session controller for a fleet of media servers."""

from fernweir.brain import Controller
from fernweir.interface import Settings

__all__ = ["Controller", "Settings"]
