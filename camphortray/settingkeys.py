"""Keys of the settings tree: what each may hold and what it means."""

__all__ = ["KEYS", "Key", "check_value", "key_for"]

import dataclasses
import difflib
import functools
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from camphortray import check
from camphortray import config as configs

Kind = Literal["engines", "plain"]
Priority = Literal["latency", "throughput"]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Seconds = configs.Seconds
Count = configs.Count


@dataclasses.dataclass(frozen=True)
class Key:
    """What a key may hold.

    Attributes:
      pattern: Dotted name; ``*`` stands for one name of the operator's.
      hint: Type that a value must have.
      default: Value where nothing is set; None where there is none.
      unit: e.g. ``"s"``.
      doc: One line for ``explain``.
    """

    pattern: str
    hint: Any
    default: Any
    unit: str
    doc: str


KEYS = (
    Key("kind", Kind, "engines", "", "engines, or plain for other services"),
    Key("priority", Priority, "latency", "", "latency or throughput first"),
    Key("objective.ttft_s", Seconds, 1.2, "s", "time to first token"),
    Key("objective.itl_s", Seconds, 0.041, "s", "time between tokens"),
    Key("objective.share", Share, 0.95, "", "share that must meet it"),
    Key("objective.available", Share, 0.999, "", "share answered"),
    Key("model.*.version", str, None, "", "version wanted"),
    Key("model.*.adapters", tuple[str, ...], (), "", "adapters wanted"),
    Key("upstream.*.address", configs.AddressText, None, "", "IP:PORT"),
    Key("upstream.*.availability_zone", str, "", "", "where it stands"),
    Key("upstream.*.plugin", str, "openai", "", "how to speak to it"),
    Key("upstream.*.slots", Count, 32, "requests", "run at once"),
    Key("upstream.*.version", str, "", "", "of its software"),
    Key("upstream.*.checks_fencing", bool, False, "", "refuses old orders"),
    Key("upstream.*.role", str, "mixed", "", "role wanted"),
    Key("rollout.floor", Share, 0.75, "", "of upstreams that keep serving"),
    Key("rollout.load_s", Seconds, 120.0, "s", "a load should take at most"),
    Key("order.longest_s", Seconds, 10.0, "s", "an order may be under way"),
    Key("workspace.*.keys", tuple[str, ...], (), "", "SHA-256 of its keys"),
    Key("workspace.*.weight", Amount, 1.0, "", "share when queues form"),
    Key("workspace.*.requests_per_s", Amount, 0.0, "1/s", "0: no limit"),
    Key("operator.*.keys", tuple[str, ...], (), "", "SHA-256 of its keys"),
    Key("route.*.idempotent", bool, True, "", "whether calls may repeat"),
    Key("limit.queue", Count, 256, "requests", "waiting at one host"),
    Key("limit.deadline_s", Seconds, 60.0, "s", "where none is given"),
    Key("limit.silence_s", Seconds, 5.0, "s", "longest gap in an answer"),
    Key("retry.share", Share, 0.2, "", "retries to recent successes"),
    Key("poison.quarantine_s", Seconds, 3600.0, "s", "of a proven request"),
    Key("call.keep_s", Seconds, 86400.0, "s", "answers of claimed calls"),
    Key("job.keep_s", Seconds, 86400.0, "s", "results after the end"),
    Key("job.max_items", Count, 140_000, "items", "in one job"),
    Key("job.attempts", Count, 4, "", "tries of an item"),
    Key("job.weight", Amount, 1.0, "", "share among jobs"),
    Key("batch.share", Share, 1.0, "", "of slots that batch may use"),
)


@functools.cache
def key_for(name: str) -> Key | None:
    """Return what a dotted key may hold, or None if there is no such key.

    >>> key_for("workspace.home-1.weight").default
    1.0
    """
    for key in KEYS:
        start, star, end = key.pattern.partition("*")
        if not star and name == start:
            return key
        # A name of the operator's may hold dots, as "lm-3.1" does.
        if (
            star
            and name.startswith(start)
            and name.endswith(end)
            and len(name) > len(start) + len(end)
        ):
            return key
    return None


def check_value(name: str, value: Any) -> str:
    """Return what is wrong with a value, or an empty text.

    >>> check_value("objective.ttft_s", -1)
    'found -1, expected float > 0'
    >>> check_value("objective.ttft", 1)
    'no such key; perhaps objective.ttft_s'
    """
    key = key_for(name)
    if key is None:
        near = difflib.get_close_matches(
            name, [key.pattern for key in KEYS], n=1
        )
        return "no such key" + (f"; perhaps {near[0]}" if near else "")
    try:
        msgspec.convert(value, key.hint)
    except msgspec.ValidationError:
        return f"found {value!r}, expected {check.describe(key.hint)}"
    return ""
