"""Names that operators, scripts and other programs rely on, collected from the code for a golden list."""

from __future__ import annotations

import re
from enum import Enum
from pathlib import Path
from typing import Any

import click
from pydantic import AliasChoices, BaseModel, ValidationError
from pydantic.fields import FieldInfo

from fernweir import interface
from fernweir.appliance import doctor, layout, supervise
from fernweir.audit import gaps
from fernweir.cli.main import main
from fernweir.config import front, peers
from fernweir.control import orders
from fernweir.entitlement import introspect
from fernweir.front import commands
from fernweir.http import client
from fernweir.journal import events
from fernweir.node import frames
from fernweir.rehearsal import faults
from fernweir.rehearsal.fleet import schedule
from fernweir.seats import messages
from fernweir.tokens import claims

ROOT = Path(__file__).parent.parent
SECTIONS: dict[str, type[BaseModel]] = {
    "front": front.FrontSection,
    "list": front.ListSection,
    "tokens": front.TokensSection,
    "fleet": front.FleetSection,
    "ladder": front.LadderSection,
    "reports": front.ReportsSection,
    "rules": front.RulesSection,
    "class.NAME": front.ClassSection,
    "http": front.HttpSection,
    "boxes": front.ServersSection,
    "entitlement": front.EntitlementSection,
    "introspection": front.IntrospectionSection,
    "control": front.ControlSection,
    "log": front.LogSection,
    "peers": peers.PeersSection,
    "unit": layout.UnitSection,
    "trial": layout.TrialSection,
}
# Enums whose members' values are stored, sent, or shown; the other ones never leave the process.
ENUMS: dict[str, type[Enum]] = {
    "effect": interface.Idempotency,
    "server-state": interface.ServerState,
    "list-kind": interface.EndpointListKind,
    "result": interface.Result,
    "note-kind": interface.NoticeKind,
    "journal-event": events.EventKind,
    "order-kind": orders.CommandKind,
    "order-outcome": orders.Outcome,
    "frame-type": frames.FrameType,
    "frame-parameter": frames.ParameterCode,
    "token-fault": claims.TokenFault,
    "reply-kind": commands.ReplyKind,
    "http-outcome": client.Outcome,
    "introspection-word": introspect.IntrospectionStatus,
    "seat-operation": messages.Operation,
    "process-state": supervise.State,
    "doctor-grade": doctor.Grade,
    "audit-gap": gaps.Loss,
    "fault-kind": faults.Kind,
    "fleet-fault-kind": schedule.Kind,
}
_ENVIRONMENT = re.compile(r"environ(?:ment)?(?:\.get\(|\[)\s*\"([A-Z][A-Z0-9_]+)\"")
_VARIABLE = re.compile(r"\"((?:ROUTER|FERNWEIR)_[A-Z0-9_]+)\"")


def written_key(name: str, field: FieldInfo) -> str:
    """How a key is written in a file: the first spelling where there are several."""
    if isinstance(field.validation_alias, AliasChoices):
        return str(field.validation_alias.choices[0])
    return str(field.alias or name)


def section_keys() -> dict[str, list[str]]:
    """The accepted keys of every INI section, as they are written in a file."""
    return {
        name: sorted(written_key(key, one) for key, one in schema.model_fields.items())
        for name, schema in SECTIONS.items()
    }


def accepted_spellings(schema: type[BaseModel], keys: list[str]) -> list[str]:
    """Those of the keys, with hyphens or with underscores, that a section takes."""
    spellings = {spelling for key in keys for spelling in (key, key.replace("-", "_"))}
    return sorted(one for one in spellings if is_accepted(schema, one))


def is_accepted(schema: type[BaseModel], key: str) -> bool:
    """Whether a section takes a key, alone: beside its other spelling a second one is refused."""
    try:
        schema.model_validate({key: ""})
    except ValidationError as error:
        return all(one["type"] != "extra_forbidden" for one in error.errors())
    return True


def section_spellings() -> dict[str, list[str]]:
    """Every spelling of a key that is accepted, by section."""
    return {name: accepted_spellings(SECTIONS[name], keys) for name, keys in section_keys().items()}


def section_defaults() -> dict[str, dict[str, Any]]:
    """What a key stands for when it is left out; keys that must be there are missing here."""
    return {
        name: {
            written_key(key, one): plain_default(one.get_default(call_default_factory=True))
            for key, one in sorted(schema.model_fields.items())
            if not one.is_required()
        }
        for name, schema in SECTIONS.items()
    }


def plain_default(value: Any) -> Any:
    """A default as JSON has it."""
    return list(value) if isinstance(value, tuple | list | set | frozenset) else value


def environment_names() -> list[str]:
    """The environment variables that the code reads."""
    found: set[str] = set()
    for path in (ROOT / "fernweir").rglob("*.py"):
        text = path.read_text(encoding="utf-8")
        found |= set(_ENVIRONMENT.findall(text)) | set(_VARIABLE.findall(text))
    return sorted(found)


def command_tree() -> dict[str, list[str]]:
    """Every command that the help lists, by its words, with its arguments and options."""
    tree: dict[str, list[str]] = {}

    def walk(words: tuple[str, ...], command: click.Command) -> None:
        tree[" ".join(words)] = described_parameters(command)
        if isinstance(command, click.Group):
            context = click.Context(command)
            for name in command.list_commands(context):
                inner = command.get_command(context, name)
                assert inner is not None
                walk((*words, name), inner)

    walk(("fernweir",), main)
    return dict(sorted(tree.items()))


def parameters_of(words: str) -> list[str] | None:
    """The arguments and options of a command, also of a hidden one; None if it can't be called."""
    command: click.Command = main
    for word in words.split()[1:]:
        inner = (
            command.get_command(click.Context(command), word) if isinstance(command, click.Group) else None
        )
        if inner is None:
            return None
        command = inner
    return described_parameters(command)


def described_parameters(command: click.Command) -> list[str]:
    """The arguments and options of a command, in order of their names."""
    return sorted(" / ".join([*one.opts, *one.secondary_opts]) for one in command.params)


def enum_values() -> dict[str, list[Any]]:
    """The values of every enum whose members are stored or sent, in their order."""
    return {name: [member.value for member in kind] for name, kind in ENUMS.items()}


def exit_codes(folder: Path) -> dict[str, int]:
    """Exit codes of commands whose outcome is known beforehand, each with a fresh set of files."""
    from click.testing import CliRunner

    from tests.golden_decisions import read_compressed

    record = read_compressed("front_day.record.gz").decode()
    lines = record.splitlines()
    changed = [line.replace('"server":', '"server":1') if '"is":"Place"' in line else line for line in lines]
    files = {
        "good.record": record,
        "changed.record": "\n".join(changed),
        "bad.record": "{}",
        "bad.ini": "[front]\n",
    }
    files["bad.trace"] = '{"kind":"unheard-of"}\n'
    for name, text in files.items():
        (folder / name).write_text(text)
    runs = {
        "help": ["--help"],
        "unknown command": ["unheard-of"],
        "replay of a good record": ["replay", str(folder / "good.record")],
        "replay of a changed record": ["replay", str(folder / "changed.record")],
        "replay of no record": ["replay", str(folder / "bad.record")],
        "check-config of bad settings": ["check-config", str(folder / "bad.ini")],
        "audit of a bad trace": ["audit", str(folder / "bad.trace")],
        "serve with bad settings": ["serve", str(folder / "bad.ini")],
        "appliance doctor of no unit": ["appliance", "doctor", str(folder / "none")],
        "node without a configuration": ["node"],
    }
    runner = CliRunner(env={"ROUTER_CONFIG": ""})
    return {name: runner.invoke(main, arguments).exit_code for name, arguments in runs.items()}


def all_names() -> dict[str, Any]:
    """All lists of names, as they are stored."""
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        codes = exit_codes(Path(folder))
    return {
        "ini_keys": section_keys(),
        "ini_spellings": section_spellings(),
        "ini_defaults": section_defaults(),
        "environment": environment_names(),
        "commands": command_tree(),
        "enum_values": enum_values(),
        "exit_codes": codes,
    }
