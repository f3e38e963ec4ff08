"""Settings of a small deployment: the example of the simulator's page, with two racks."""

from __future__ import annotations

from typing import Any


def small_deployment() -> dict[str, Any]:
    """Returns the settings object of a front node."""
    return {
        "Categories": [_category("briefing", 3000.0, 3.0), _category("training", 4000.0, 1.0)],
        "Clients": {"MarksRetry": False},
        "Discovery": "automatic",
        "Extra": {
            "AllLinksKb": 160301.0, "Cells": 12, "ClassScale": [1.4, 1.0], "ClassTop": [4, 2], "Groups": 2,
            "Guard": 0.0, "IsLive": [False, False], "JoinAdds": 1.0, "KindSlots": [49, 33],
            "LevelWorth": [0.22, 0.44, 0.64, 0.82, 1.0], "LowestRung": [1, 0],
            "RatesKb": [286.0, 484.0, 820.0, 1388.0, 2350.0], "Seats": [5, 0], "SeenAfter": 696.143,
            "StallCost": 5.0, "SwitchCostS": 0.4026368237585616, "Tell": 2500.0, "UplinkKb": 55665.0,
            "WeightKb": 4585.0,
        },
        "Family": "streams",
        "Feedback": {"Names": ["x0", "x1"], "Via": "inline"},
        "Instances": 2,
        "Limits": {
            "AttemptsCap": 3, "Cancel": True, "ConnIdle": 15000.0, "ConnectTimeout": 250.0,
            "MaxRetryAfter": 1000.0, "MayProbe": True, "MayTell": False, "RetryAfter": True,
            "SecondCopies": False, "StreamsPerConn": 1048576,
        },
        "MachineTypes": ["three-core", "two-core"],
        "MyZone": 0,
        "Obligations": {
            "AnswerSlack": 40.0, "AskWithin": 10000.0, "BudgetSpan": 10000.0, "ColdFrom": 0.4,
            "DrainGrace": 1000.0, "ExtraShare": 0.1, "Fall": 3000.0, "FallMultiple": 2.5, "FreeResends": 5.0,
            "WarmUp": 12000.0,
        },
        "Ordinal": 0, "OverShareWorth": 0.1, "Period": 10.0, "Projects": [], "Tier": 0,
        "Tiers": ["lesson-servers"], "ValueBy": "request", "WeightSource": "rough", "Zones": ["lagos-dc1"],
    }  # fmt: skip


def _category(name: str, deadline_ms: float, gain: float) -> dict[str, Any]:
    return {
        "Aim": 800.0, "Deadline": deadline_ms, "Gain": gain, "Group": "all", "Idempotency": "repeatable",
        "LateValue": 0.0, "Name": name, "RepeatWindow": 5000.0, "Stream": True,
    }  # fmt: skip
