"""The command line's root: what each command needs is loaded when it is called, and no sooner."""

from __future__ import annotations

import sys
from importlib import import_module

import click

# Command: where it stands, and its line in the help. What a front node needs nothing of is not loaded for it.
COMMANDS = {
    "appliance": ("fernweir.cli.appliance:appliance", "A unit that runs a site's fronts."),
    "ask": ("fernweir.cli.console:ask", "A single question to, or command for, a unit or a front."),
    "audit": ("fernweir.cli.front:audit_command", "Judge the six rules from a TRACE."),
    "check-config": ("fernweir.cli.front:check_config", "Check SETTINGS and the keys that they name."),
    "console": ("fernweir.cli.console:console", "The operator's picture of a unit or a front."),
    "ledger": ("fernweir.cli.ledger:ledger", "The seat log of a front: verify, dump, compact."),
    "new-keys": ("fernweir.cli.front:new_keys", "Write a JWK Set of fresh secrets."),
    "node": ("fernweir.cli.main:node", "Run a front node on the platform's protocol (ROUTER_CONFIG)."),
    "rehearse": (
        "fernweir.cli.rehearse:rehearse",
        "Play days of trouble on simulated servers, and judge them.",
    ),
    "replay": ("fernweir.cli.front:replay_command", "Feed a front's RECORD to a fresh module."),
    "serve": ("fernweir.cli.front:serve_command", "Run a front by its SETTINGS until SIGTERM."),
    "standin": ("fernweir.cli.standin:standin", "Simulated counterparts, each alone."),
}


class LazyGroup(click.Group):
    """Lists commands by `COMMANDS`; imports the one that is called."""

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
    """A session front: places video sessions on streaming servers and shapes them.

    Start with `fernweir rehearse bad-day`, which plays a day of trouble on simulated servers and judges it.
    """


@click.command("node")
def node() -> None:
    """Run a front node on the platform's protocol, by the file that ROUTER_CONFIG names, until SIGTERM.

    Exit code 0: it was told to stop. 2: the configuration can't be used, or the address can't be had.
    """
    from fernweir.node.program import main as run

    sys.exit(run())
