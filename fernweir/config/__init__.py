"""Settings files: INI parsed by the standard library and validated with schemas; errors name their line."""

from fernweir.config.front import FrontConfig, load_front
from fernweir.config.ini import ConfigError, Problem

__all__ = ["ConfigError", "FrontConfig", "Problem", "load_front"]
