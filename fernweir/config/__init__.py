"""Settings: INI read by the standard library, checked by schemas, every mistake named with its line."""

from fernweir.config.front import FrontConfig, load_front
from fernweir.config.ini import ConfigError, Problem

__all__ = ["ConfigError", "FrontConfig", "Problem", "load_front"]
