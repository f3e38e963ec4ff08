"""The command line: `fernweir COMMAND --help` explains each."""

from fernweir.cli.main import main

__all__ = ["main"]
