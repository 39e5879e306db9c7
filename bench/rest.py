"""What a host at rest costs: processor time, calls to the store, messages.

Whole hosts, the stand-in store and its engines run in one process; engines
renew their entries and nobody asks for anything. Processor time includes
what the stand-ins take. ``python -m bench.rest 16 40``.
"""

__all__ = ["main"]

import asyncio
import collections
import json
import sys
import time
from typing import Any

from camphortray import links
from tests import platformkit

ENGINES = 31
RENEW_S = 1.2
SETTLE_S = 12.0
MEASURE_S = 10.0
SIZES = (16, 40)


def count_messages(counts: collections.Counter[str]) -> None:
    """Count the messages that links send, by class."""
    ask, notify = links.Link.ask, links.Link.notify

    async def counted_ask(
        self: links.Link, message: Any, timeout_s: float
    ) -> Any:
        counts[type(message).__name__] += 1
        return await ask(self, message, timeout_s)

    def counted_notify(self: links.Link, message: Any) -> None:
        counts[type(message).__name__] += 1
        notify(self, message)

    links.Link.ask = counted_ask  # type: ignore[method-assign]
    links.Link.notify = counted_notify  # type: ignore[method-assign]


async def renew(platform: platformkit.Platform) -> None:
    """Renew the entries of all engines, for ever."""
    sequence = 1
    while True:
        await asyncio.sleep(RENEW_S)
        sequence += 1
        for engine in platform.engines.values():
            await platform.register(engine, sequence=sequence)


async def measure(
    hosts: int, counts: collections.Counter[str]
) -> dict[str, Any]:
    """Return what each of so many hosts at rest costs."""
    async with platformkit.Platform(hosts, ENGINES) as platform:
        task = asyncio.get_running_loop().create_task(renew(platform))
        await asyncio.sleep(SETTLE_S)
        calls = platform.store.calls
        calls.clear()
        counts.clear()
        begun, used = time.monotonic(), time.process_time()
        await asyncio.sleep(MEASURE_S)
        seconds = time.monotonic() - begun
        used = time.process_time() - used
        task.cancel()
        share = 1 / seconds / hosts
        return {
            "cores": round(used * share, 5),
            "store_calls_per_s": {
                path: round(number * share, 2)
                for path, number in sorted(calls.items())
            },
            "messages_per_s": {
                name: round(number * share, 2)
                for name, number in sorted(counts.items())
            },
        }


def main() -> int:
    """Print a line of JSON for each number of hosts."""
    counts: collections.Counter[str] = collections.Counter()
    count_messages(counts)
    for hosts in map(int, sys.argv[1:] or SIZES):
        found = asyncio.run(measure(hosts, counts))
        print(json.dumps({"hosts": hosts, **found}), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
