"""Session controller that places video sessions on a fleet of media servers."""

from fernweir.controller import Controller
from fernweir.interface import Settings

__all__ = ["VERSION", "Controller", "Settings"]

VERSION = "0.2.0"  # equals the version in pyproject.toml
