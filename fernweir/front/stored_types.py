"""The names under which values of the interface are stored and sent, independent of the names in the code.

A front's record names the type and the fields of a value, and a node sends its settings to its peers under
these names. The table is therefore a storage format: a class or field that is renamed keeps its stored name.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any, get_type_hints

from fernweir import interface


@dataclass(frozen=True, slots=True)
class StoredType:
    """The stored names of one class of the interface.

    Attributes:
        kind: The class.
        name: The stored name of the type.
        field_names: The stored names of the fields, in the order of the class, separated by spaces.
        names: The stored names of the fields as a tuple.
        attributes: The names of the fields in the code, in the same order.
        hints: The types of the fields.
    """

    kind: type[Any]
    name: str
    field_names: str
    names: tuple[str, ...] = field(init=False)
    attributes: tuple[str, ...] = field(init=False)
    hints: tuple[Any, ...] = field(init=False)

    def __post_init__(self) -> None:
        hints = get_type_hints(self.kind)
        attributes = tuple(item.name for item in fields(self.kind))
        object.__setattr__(self, "names", tuple(self.field_names.split()))
        object.__setattr__(self, "attributes", attributes)
        object.__setattr__(self, "hints", tuple(hints[name] for name in attributes))


STORED_TYPES = (
    StoredType(
        interface.SessionClass,
        "SessionClass",
        "name aim_ms deadline_ms gain effect scale lowest_rung top_rung seats",
    ),
    StoredType(interface.RetryBudget, "Budget", "span_ms free share"),
    StoredType(interface.SlowStart, "ColdRule", "warm_up_ms cold_from fall_multiple fall_ms"),
    StoredType(
        interface.Settings,
        "Settings",
        "classes fronts ordinal period_ms cells racks rates_kb worths kind_streams weight_kb "
        "uplink_kb switch_cost_s seen_after_ms tell_ms report_fields must_subscribe may_probe "
        "attempts_cap retry_after_max_ms answer_slack_ms drain_grace_ms cold budget",
    ),
    StoredType(interface.Endpoint, "ServerEntry", "server state started_at cell kind weight"),
    StoredType(interface.EndpointListUpdate, "ListUpdate", "kind version entries"),
    StoredType(
        interface.Viewer,
        "Viewer",
        "session cls key title first_cell copies top_rung length_ms left_ms moved returning",
    ),
    StoredType(interface.Arrival, "Arrival", "viewer"),
    StoredType(interface.SessionRecovered, "TakenOver", "viewer server"),
    StoredType(interface.AttemptSucceeded, "Started", "session server attempt took_ms"),
    StoredType(interface.AttemptEnded, "Ended", "session server attempt result closed took_ms report"),
    StoredType(interface.ClientDisconnected, "Abandoned", "session"),
    StoredType(interface.ServerNotice, "Note", "session server attempt kind level"),
    StoredType(interface.TimerFired, "TimerFired", "token"),
    StoredType(interface.HealthCheckEnded, "Probed", "server result took_ms report"),
    StoredType(interface.FrontMessage, "Message", "sender body"),
    StoredType(interface.Place, "Place", "session server timeout_ms"),
    StoredType(interface.SetRung, "SetRung", "session rung"),
    StoredType(interface.Migrate, "Move", "session"),
    StoredType(interface.Reject, "Refuse", "session retry_after_ms"),
    StoredType(interface.Fail, "Fail", "session"),
    StoredType(interface.SetTimer, "Timer", "token after_ms"),
    StoredType(interface.CheckHealth, "Probe", "server"),
    StoredType(interface.Subscribe, "Subscribe", "active"),
    StoredType(interface.Log, "Log", "text"),
)
BY_CLASS = {stored.kind: stored for stored in STORED_TYPES}
BY_NAME = {stored.name: stored for stored in STORED_TYPES}
_IDEMPOTENCY_NAMES = {"repeatable": "REPEATABLE", "by_key": "BY_KEY", "once": "ONCE"}


def stored_text(value: Any) -> str:
    """Returns a setting's value as the text that peers compare.

    The text is what `repr` returned for the value when the format was defined.
    """
    stored = BY_CLASS.get(type(value))
    if stored is not None:
        pairs = zip(stored.names, stored.attributes, strict=True)
        items = (f"{name}={stored_text(getattr(value, attribute))}" for name, attribute in pairs)
        return f"{stored.name}({', '.join(items)})"
    if isinstance(value, Enum):
        return f"<Effect.{_IDEMPOTENCY_NAMES[value.value]}: {value.value!r}>"
    if isinstance(value, tuple):
        inner = ", ".join(map(stored_text, value))
        return f"({inner},)" if len(value) == 1 else f"({inner})"
    return repr(value)
