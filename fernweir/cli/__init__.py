"""The command line; `fernweir COMMAND --help` describes each command."""

from fernweir.cli.main import main

__all__ = ["main"]
