"""For any settings, a node starts with their documented meaning, or names what it cannot use."""

from __future__ import annotations

import json
import math
import shlex
import shutil
import subprocess
import sys
import tomllib
from copy import deepcopy
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import pytest

from fernweir.controller import Controller
from fernweir.front.names import number_of
from fernweir.interface import (
    Arrival,
    AttemptEnded,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Place,
    Result,
    ServerState,
    SlowStart,
    TimerFired,
)
from fernweir.node.config import ConfigError, NodeConfig, load_config
from fernweir.node.endpoint_feed import EndpointFeed
from tests.helpers import entry, viewer
from tests.node_scene import PLAIN, Scene, run_scenario

ROOT = Path(__file__).parent.parent
# Every setting that a node reads, as the platform sends them. Names contain characters that the simulator's
# text replaces.
TOLD: dict[str, Any] = {
    "Categories": [
        {"Name": "film, long", "Aim": 180, "Deadline": 280.0, "Gain": 1, "Idempotency": "repeatable"},
        {"Name": "2026", "Aim": 900.0, "Deadline": 6500, "Gain": 2.5, "Idempotency": "once"},
        {"Name": "true", "Aim": 900, "Deadline": 3000, "Gain": 1, "Idempotency": "by_key"},
    ],
    "Discovery": "automatic",
    "Extra": {
        "RatesKb": [100, 200.5, 400], "LevelWorth": [0.3, 0.6, 1], "KindSlots": [20, 30], "WeightKb": 2000,
        "UplinkKb": 9000, "Cells": 4, "Groups": 2, "ClassScale": [1, 0.5, 2], "LowestRung": [0, 1, 0],
        "ClassTop": [2, 2, 1], "Seats": [0, 4, 0], "SwitchCostS": 0.4, "SeenAfter": 700, "Tell": 2500,
    },
    "Feedback": {"Names": ["x0", "x1"], "Via": "inline"},
    "Instances": 2,
    "Limits": {
        "RetryAfter": True, "MaxRetryAfter": 1500, "MayProbe": True, "AttemptsCap": 3,
        "ConnectTimeout": 120.0, "ConnIdle": 6000,
    },
    "MachineTypes": ["box, small", "box 2"],
    "Obligations": {
        "AnswerSlack": 40, "BudgetSpan": 7000, "FreeResends": 5, "ExtraShare": 0.1, "WarmUp": 6000,
        "ColdFrom": 0.4, "FallMultiple": 2.5, "Fall": 3000, "DrainGrace": 400,
    },
    "Ordinal": 1,
    "Period": 10,
}  # fmt: skip
BODY: dict[str, Any] = {
    "name": "n7", "listen": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "feed": "127.0.0.1:2",
    "known": {"n": 1, "events": [{"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": []}}]},
    "settings": TOLD,
}  # fmt: skip
ABSENT = object()
NAN, INF, LONG = (
    '"__nan__"',
    '"__inf__"',
    '"__long__"',
)  # accepted by the JSON parser, but never written like this
STRANGE: tuple[Any, ...] = (
    ABSENT, None, 0, -1, -0.5, 0.5, 1, 255, 1e15, 1e300, 10**400, True, False, "", "abc", "7", "-7", "nan",
    "1e400", "\ud800", [], {}, [0], [-1], ["a"], [[]], [None], {"count": -1}, {"count": 9},
    "__nan__", "__inf__", "__long__",
)  # fmt: skip


def written(body: object) -> str:
    text = json.dumps(body).replace(NAN, "NaN").replace(INF, "-Infinity")
    return text.replace(LONG, "1" * 5000)


def paths(tree: Any, above: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the paths of all values in a tree, including containers."""
    inner = tree.items() if isinstance(tree, dict) else enumerate(tree) if isinstance(tree, list) else ()
    return [above, *(path for key, one in inner for path in paths(one, (*above, key)))]


def changed(path: tuple[Any, ...], value: object) -> Any:
    body = deepcopy(BODY)
    if not path:
        return value
    here: Any = body
    for key in path[:-1]:
        here = here[key]
    if value is ABSENT:
        del here[path[-1]]
    else:
        here[path[-1]] = value
    return body


def loaded(folder: Path, body: object) -> NodeConfig:
    file = folder / "config.json"
    file.write_text(written(body))
    return load_config({"ROUTER_CONFIG": str(file)})


def body_with(**more: dict[str, Any]) -> dict[str, Any]:
    """Returns the body with some settings of some groups changed or removed."""
    body = deepcopy(BODY)
    for group, values in more.items():
        for key, value in values.items():
            if value is ABSENT:
                del body["settings"][group][key]
            else:
                body["settings"][group][key] = value
    return body


def use_all_settings(config: NodeConfig) -> None:
    """Feeds a controller events that use all of its settings, so that an unusable one raises here."""
    settings, rng = config.settings, Random(3)
    brain, now, rid = Controller(settings, config.seed), 1000.0, 0
    entries = tuple(entry(n, zone=n, server_type=n % 2, started_at=900.0 * (n % 2)) for n in range(1, 5))
    report = (0.4,) * len(settings.report_fields)
    events: list[Event] = [EndpointListUpdate(EndpointListKind.CACHED, 1, entries)]
    results = (Result.RESET, Result.TIMEOUT, Result.FULL, Result.ERROR, Result.CONNECT_FAILED)
    for _ in range(8):
        for cls in range(len(settings.classes)):
            rid += 1
            wanted = viewer(rid, class_index=cls, remaining_ms=settings.classes[cls].deadline_ms)
            events.append(Arrival(replace(wanted, top_rung=len(settings.rung_rates_kbyte_s) - 1)))
        placed = [one for one in brain.handle(now, events) if isinstance(one, Place)]
        now += 60.0
        events = [TimerFired(1)]
        events += [
            AttemptEnded(one.session, one.server, 0, rng.choice(results), False, 9.0, report)
            for one in placed
        ]


def test_all_documented_settings_are_read_with_unchanged_names(tmp_path: Path) -> None:
    config = loaded(tmp_path, BODY)
    assert [one.name for one in config.settings.classes] == ["film, long", "2026", "true"]
    assert config.server_types == ("box, small", "box 2")
    assert (config.connect_timeout_ms, config.idle_timeout_ms, config.settings.max_attempts) == (
        120.0,
        6000.0,
        3,
    )
    line = {
        "name": "s-0", "address": "127.0.0.1:9", "zone": "z", "type": "box 2", "group": 0, "status": "up",
        "weight": 1, "since_ms": 0,
    }  # fmt: skip
    first = {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": [line]}}
    (update,) = EndpointFeed(config.server_types, 0.0).apply_known_events((first,), 1)
    assert [(one.server, one.server_type, one.state) for one in update.entries] == [
        (number_of("s-0"), 1, ServerState.READY)
    ]


@pytest.mark.parametrize("name", ["film, long", "2026", "true", "null", "nächte 720p-2", "x" * 300])
def test_class_names_are_unchanged_in_set_ups_and_at_servers(name: str) -> None:
    async def scenario(scene: Scene) -> None:
        viewer = await scene.viewer()
        request = scene.setup(**{"class": name})
        viewer.send(request)
        assert (await viewer.answer(request.id)).type == "answer"
        ((_, frame),) = scene.setups()
        assert frame.parameters[3].decode() == name

    run_scenario(scenario, settings=replace(PLAIN, classes=(replace(PLAIN.classes[0], name=name),)))


def test_absent_and_zero_settings_have_their_documented_meaning(tmp_path: Path) -> None:
    longest = 6500.0  # a connect never takes longer than an answer
    for none in (0, ABSENT, None):
        config = loaded(tmp_path, body_with(Limits={"ConnectTimeout": none, "ConnIdle": none}))
        assert (config.connect_timeout_ms, config.idle_timeout_ms) == (longest, math.inf)
        assert loaded(tmp_path, body_with(Limits={"AttemptsCap": none})).settings.max_attempts is None
        assert loaded(tmp_path, body_with(Obligations={"BudgetSpan": none})).settings.retry_budget is None
        assert loaded(tmp_path, body_with(Obligations={"WarmUp": none})).settings.slow_start is None
        assert loaded(tmp_path, body_with(Extra={"Tell": none})).settings.report_interval_ms == 0.0
        assert not loaded(tmp_path, body_with(Limits={"MaxRetryAfter": none})).settings.max_retry_after_ms
        assert not loaded(tmp_path, body_with(Obligations={"DrainGrace": none})).settings.drain_grace_ms
        seats = [0, 0, 0] if none == 0 else none
        classes = loaded(tmp_path, body_with(Extra={"Seats": seats})).settings.classes
        assert [one.seats for one in classes] == [0, 0, 0]
    first = BODY["settings"]["Categories"][0]
    aimless = body_with()
    aimless["settings"]["Categories"][0] = {**first, "Aim": 0}
    assert loaded(tmp_path, aimless).settings.classes[0].latency_objective_ms == first["Deadline"]
    kept = loaded(tmp_path, BODY).settings
    assert kept.slow_start == SlowStart(6000.0, 0.4, 2.5, 3000.0) and kept.classes[1].seats == 4


def test_any_modified_setting_is_used_or_named_in_the_error(tmp_path: Path) -> None:
    used, named = 0, 0
    for path in paths(BODY):
        for value in STRANGE:
            body = changed(path, value) if path or value is not ABSENT else None
            try:
                config = loaded(tmp_path, body)
            except ConfigError as error:
                keys = [str(key) for key in path if isinstance(key, str)][-2:]
                known = (*keys, "not JSON") if path else ("not", "seed")
                assert any(key in str(error) for key in known), (path, value, error)
                assert "\n" not in str(error) and len(str(error)) < 250
                named += 1
                continue
            use_all_settings(config)
            used += 1
    assert used > 100 and named > 1000


@pytest.mark.parametrize(
    ("path", "value", "word"),
    [
        (("settings", "Categories"), [], "Categories"),
        (("settings", "Categories", 1, "Name"), "film, long", "Categories.1.Name"),
        (("settings", "Categories", 0, "Deadline"), 0, "Categories.0.Deadline"),
        (("settings", "Categories", 2, "Idempotency"), "never", "Categories.2.Idempotency"),
        (("settings", "Extra", "RatesKb"), [], "Extra.RatesKb"),
        (("settings", "Extra", "LevelWorth"), [0.3, 1], "Extra.LevelWorth"),
        (("settings", "Extra", "LowestRung"), [0, 1, 2], "Extra.LowestRung"),
        (("settings", "Extra", "Groups"), 1e300, "Extra.Groups"),
        (("settings", "Limits", "MayProbe"), "yes", "Limits.MayProbe"),
        (("settings", "Limits", "AttemptsCap"), {}, "Limits.AttemptsCap"),
        (("settings", "Obligations"), 5, "Obligations"),
        (("settings", "MachineTypes"), "box", "MachineTypes"),
        (("settings", "MachineTypes"), ABSENT, "MachineTypes"),
        (("limits", "sockets"), True, "limits.sockets"),
        (("feed",), "feed.example:4222", "feed"),
    ],
)
def test_the_error_names_an_unusable_setting(
    tmp_path: Path, path: tuple[Any, ...], value: object, word: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        loaded(tmp_path, changed(path, value))
    assert word in str(caught.value)


@pytest.mark.parametrize(
    "text", ["1e400", "-Infinity", "NaN", "9" * 5000, "[" * 900 + "]" * 900, '"\\ud800"']
)
def test_an_invalid_setting_ends_the_program_with_2_and_one_line(tmp_path: Path, text: str) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(changed(("settings", "Limits", "ConnIdle"), "here")).replace('"here"', text))
    done = subprocess.run(
        [sys.executable, "-B", "-m", "fernweir", "node"],
        cwd=ROOT, env={"ROUTER_CONFIG": str(file)}, capture_output=True, text=True, check=False,
    )  # fmt: skip
    assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr
    assert "ConnIdle" in done.stderr or "not JSON" in done.stderr


def test_nothing_but_the_platforms_variables_reaches_a_node_that_run_starts(tmp_path: Path) -> None:
    """Python's own environment variables could inject other code into a node."""
    (tmp_path / "json.py").write_text("raise SystemExit(7)\n")
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    assert command.startswith("exec .venv/bin/python ")
    done = subprocess.run(
        ["/bin/sh", "-c", command.replace(".venv/bin/python", shlex.quote(sys.executable), 1)],
        cwd=ROOT, capture_output=True, text=True, check=False,
        env={
            "ROUTER_CONFIG": "/nowhere.json", "PYTHONPATH": str(tmp_path), "PYTHONASYNCIODEBUG": "1",
            "PYTHONSTARTUP": str(tmp_path / "json.py"), "PYTHONWARNINGS": "error",
        },
    )  # fmt: skip
    assert done.returncode == 2 and done.stderr == "fernweir node: /nowhere.json: No such file or directory\n"


def test_the_sites_script_copies_the_kit_files_or_names_missing_ones(tmp_path: Path) -> None:
    """Runs in a copy of the required files, so that the repository stays unchanged."""
    script, kit = tmp_path / "root/scripts/sites", tmp_path / "given/kit/more/mass/other"
    script.parent.mkdir(parents=True)
    shutil.copy(ROOT / "scripts/sites", script)
    there = tmp_path / "root/deploy/sites"
    there.mkdir(parents=True)
    kit.mkdir(parents=True)
    (kit / "real.json").write_text("1")
    done = subprocess.run([script], capture_output=True, text=True, check=False)
    assert done.returncode == 1 and done.stderr.count("\n") == 1
    assert "wire.json unlock.txt in ../given/kit/more/mass/other" in done.stderr and not list(there.iterdir())
    for name in ("wire.json", "unlock.txt"):
        (kit / name).write_text(name)
        (kit / name).chmod(0o444)
    for _ in range(2):  # existing files are replaced
        subprocess.run([script], check=True)
    assert {one.name for one in there.iterdir()} == {"real.json", "wire.json", "unlock.txt"}
    ignored = (ROOT / ".gitignore").read_text().splitlines()
    assert {f"deploy/sites/{one.name}" for one in there.iterdir()} <= set(ignored)
