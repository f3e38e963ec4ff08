"""The root of the command line, which imports the module of a command only when the command is called."""

from __future__ import annotations

import sys
from importlib import import_module

import click

# The location and the help line of each command. A front node imports nothing that only other commands need.
COMMANDS = {
    "appliance": (
        "fernweir.cli.appliance:appliance",
        "Create and run a unit, which runs the fronts of a site.",
    ),
    "ask": ("fernweir.cli.console:ask", "Send a single query or command to a unit or a front."),
    "audit": ("fernweir.cli.front:audit_command", "Check the six rules against a TRACE."),
    "check-config": ("fernweir.cli.front:check_config", "Check SETTINGS and the keys that they refer to."),
    "console": ("fernweir.cli.console:console", "Show the operator console of a unit or a front."),
    "ledger": ("fernweir.cli.ledger:ledger", "Verify, dump or compact the seat log of a front."),
    "new-keys": ("fernweir.cli.front:new_keys", "Write a JWK Set of fresh secrets."),
    "node": ("fernweir.cli.main:node", "Run a front node on the platform's protocol (ROUTER_CONFIG)."),
    "rehearse": (
        "fernweir.cli.rehearse:rehearse",
        "Run fault scenarios on simulated servers and check the results.",
    ),
    "replay": ("fernweir.cli.front:replay_command", "Feed a front's RECORD to a fresh module."),
    "serve": ("fernweir.cli.front:serve_command", "Run a front by its SETTINGS until SIGTERM."),
    "standin": ("fernweir.cli.standin:standin", "Run one simulated counterpart of a front."),
}


class LazyGroup(click.Group):
    """Lists the commands of `COMMANDS` and imports only the one that is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module, _, name = COMMANDS[cmd_name][0].partition(":")
        command = getattr(import_module(module), name)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, COMMANDS[name][1]) for name in sorted(COMMANDS)])


@click.group(
    cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100}
)
@click.version_option(package_name="fernweir", prog_name="fernweir", message="%(prog)s %(version)s")
def main() -> None:
    """A session front: places video sessions on streaming servers and adapts their bit rates.

    Start with `fernweir rehearse bad-day`, which injects faults on simulated servers and checks the rules.
    """


@click.command("node")
def node() -> None:
    """Run a front node on the platform's protocol, configured by the file in ROUTER_CONFIG, until SIGTERM.

    Exit code 0: it was asked to stop. 2: the configuration is invalid, or the address is not available.
    """
    from fernweir.node.program import main as run

    sys.exit(run())
