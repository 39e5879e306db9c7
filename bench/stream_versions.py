"""Cost of keeping at which software version streams began.

``python -m bench.stream_versions``
"""

import json
import time
import tracemalloc

from camphortray import messages
from camphortray import slot_messages
from camphortray import slot_queue
from camphortray import stream_versions

STREAMS = 50_000
BATCH = 100
LEFT_S = 5.0


def size_of(message: object) -> int:
    """Return the bytes of a message."""
    return len(messages.encode(messages.Envelope(0, False, message)))


def ask_bytes(stream: str) -> int:
    """Return the bytes of a request for a slot."""
    want = slot_queue.SlotRequest(
        "9c41d07be2a35f68.0", "host-1/host", True, stream=stream
    )
    return size_of(slot_messages.SlotAsk.of("s", "10.0.0.1:7720", want, 0.0))


def begun_of(number: int) -> stream_versions.Begun:
    """Return a stream."""
    digest = stream_versions.digest_of(f"{number:016x}")
    return stream_versions.Begun(digest, f"v{number % 2}", LEFT_S, "host-1")


def main() -> None:
    """Measure and print."""
    tracemalloc.start()
    streams = stream_versions.StreamVersions()
    found = [begun_of(number) for number in range(STREAMS)]
    streams.merge(found)
    bytes_held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    batch = found[:BATCH]
    update = slot_messages.StreamUpdate.of("s", batch, 0.0)
    fresh = stream_versions.StreamVersions()
    begun_at = time.perf_counter()
    for number in range(STREAMS):
        fresh.record(begun_of(number))
    record_s = time.perf_counter() - begun_at
    begun_at = time.perf_counter()
    for _ in range(STREAMS // BATCH):
        fresh.merge(update.begun(0.0, "host-1"))
    merge_s = time.perf_counter() - begun_at
    begun_at = time.perf_counter()
    streams.prune(0.0)
    prune_s = time.perf_counter() - begun_at
    print(
        json.dumps(
            {
                "bytes_in_ask": ask_bytes("9c41d07be2a35f68") - ask_bytes(""),
                "bytes_in_update": size_of(update) / BATCH,
                "record_us": round(record_s / STREAMS * 1e6, 2),
                "merge_us": round(merge_s / STREAMS * 1e6, 2),
                "prune_ms_of_50000": round(prune_s * 1e3, 1),
                "bytes_held": round(bytes_held / STREAMS),
            }
        )
    )


if __name__ == "__main__":
    main()
