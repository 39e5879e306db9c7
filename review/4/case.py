"""A stream taken in late in a shutdown is cut off before the grace is over.

A host is sent SIGTERM. A client that still has its address sends a question
that takes some seconds, later than 3 s after the signal. The host takes it,
an engine runs it, and the host cuts it off.
"""

import asyncio
import signal

from rig import engine as engines
from rig import rig as rigs
from rig import wire

PREFIX = "/lohu930/"
SERVICE = "dele69a"
GRACE_S = 8.0
# Seconds after SIGTERM at which the question is sent.
SENT_AFTER_S = 3.08
EVENTS, GAP_S = 152, 0.03
TIMEOUT_MS = 15_000


async def case(rig: rigs.Rig) -> bool:
    """Run the case; return whether the rule held."""
    rig.configure(
        [
            rigs.route(
                "r-1",
                PREFIX,
                "streaming",
                service=SERVICE,
                timeoutMs=TIMEOUT_MS,
                maxAttempts=1,
                resumable=False,
                sticky=True,
                gapAimMs=300,
            )
        ],
        [rigs.service(SERVICE)],
    )
    for _ in range(2):
        await rig.add(
            engines.Engine(
                rig.store,
                SERVICE,
                lambda ask: engines.Work(0.02, EVENTS, GAP_S, 60),
                rig.note,
            )
        )
    await rig.start_hosts()
    host = rig.hosts[0]
    loop = asyncio.get_running_loop()
    told_at = loop.time()
    if rigs.TROUBLE:
        host.signal(signal.SIGTERM)
        loop.call_later(GRACE_S, host.signal, signal.SIGKILL)
    await asyncio.sleep(SENT_AFTER_S)
    attempt = rigs.new_id()
    sent_s = loop.time() - told_at
    rig.note(f"client sends {attempt} {sent_s:.3f} s after SIGTERM")
    found = await wire.call(
        host.front,
        "POST",
        f"{PREFIX}2f",
        {
            "Host": rigs.HOST_NAME,
            "Attempt-Id": attempt,
            "Model": "m",
            "Token-Counts": "450,152",
            "Deadline-Ms": str(TIMEOUT_MS),
        },
        b"q" * 1500,
    )
    events = found.body.count(b"\n\n")
    ran = any(attempt in engine.ran for engine in rig.engines)
    rig.note.say(
        f"sent {sent_s:.3f} s after SIGTERM; status {found.status}, {events}"
        f" of {EVENTS} events, complete: {found.complete}, after"
        f" {found.seconds:.2f} s; an engine ran it: {ran}; {found.why}"
    )
    if rigs.TROUBLE and sent_s <= 3.0:
        raise rigs.CannotRunError("it was sent too early to count")
    if ran and not found.complete:
        rig.note.say("LOST: passed on to an engine, and cut off by the host")
        return False
    return True


if __name__ == "__main__":
    rigs.main(__file__, case, hosts=3)
