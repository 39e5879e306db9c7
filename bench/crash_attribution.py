"""Cost of finding and refusing prompt segments that crash engines.

``python -m bench.crash_attribution``
"""

import time
import tracemalloc
import types

import msgspec

from camphortray import crash_attribution
from camphortray import facts
from camphortray import gossip
from camphortray import messages
from camphortray import metrics
from camphortray import segment_quarantine

REQUESTS = 20_000
SEGMENTS = ("5c1e07a2", "91bd3f06", "0a77e1c4")
# A zone of the target's engines, and the attempts without an answer at each.
ENGINES, ATTEMPTS = 67, 3


def quarantine() -> segment_quarantine.SegmentQuarantine:
    """Return the part of a host without peers."""
    context = types.SimpleNamespace(
        clock=types.SimpleNamespace(wall=time.time, monotonic=time.monotonic),
        rng=None,
        program="host",
        metrics=metrics.Metrics(),
        part=lambda cls: None,
    )
    return segment_quarantine.SegmentQuarantine(context)


def report_of(number: int) -> crash_attribution.CrashReport:
    """Return the report of a crash under attempts of different prompts."""
    attempts = tuple(
        crash_attribution.Attempt(
            f"{number:04x}{each:04x}", (*SEGMENTS, f"{number % 9:08x}")
        )
        for each in range(ATTEMPTS)
    )
    return crash_attribution.CrashReport("s", f"i-{number}", 0.0, attempts)


def bytes_of(report: crash_attribution.CrashReport) -> int:
    """Return the bytes of a message that tells one crash."""
    value = msgspec.to_builtins(report)
    fact = facts.Fact(
        segment_quarantine.CRASH_FACT,
        f"{report.engine}/host-1/host/1700000000.000",
        1_700_000_000_000,
        value,
        crash_attribution.CRASH_TTL_S,
    )
    news = gossip.News(known=(fact,))
    return len(messages.encode(messages.Envelope(0, False, news)))


def main() -> None:
    """Measure and print."""
    part = quarantine()
    begun_at = time.perf_counter()
    for _ in range(REQUESTS):
        part.find("s", SEGMENTS)
        part.on_answer("s", SEGMENTS, 0.0)
    idle_s = time.perf_counter() - begun_at
    found = crash_attribution.CrashAttribution()
    begun_at = time.perf_counter()
    for number in range(ENGINES):
        found.record_crash(report_of(number))
    record_s = time.perf_counter() - begun_at
    begun_at = time.perf_counter()
    found.culprits(10.0)
    zone_s = time.perf_counter() - begun_at
    tracemalloc.start()
    full = crash_attribution.CrashAttribution()
    for number in range(crash_attribution.MAX_CRASHES):
        full.record_crash(report_of(number))
    bytes_held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    begun_at = time.perf_counter()
    full.culprits(10.0)
    full_s = time.perf_counter() - begun_at
    print(
        f"a request without a crash: {idle_s / REQUESTS * 1e6:.2f} us;"
        f" a report of {ATTEMPTS} attempts: {bytes_of(report_of(1))} bytes,"
        f" {record_s / ENGINES * 1e6:.0f} us to record;"
        f" {ENGINES} crashes at once weighed in {zone_s * 1e3:.1f} ms,"
        f" {crash_attribution.MAX_CRASHES} in {full_s * 1e3:.1f} ms and"
        f" {bytes_held / 1e3:.0f} KB"
    )


if __name__ == "__main__":
    main()
