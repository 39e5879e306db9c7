"""A late second copy of a refusal, taken for the answer to another request.

Engines reject a request that is larger than their memory, as sound engines
do, and keep the connection. Under trouble one of them sends a second copy of
one such answer late: at the point where the answer to the next request on the
connection is expected, right before it. The copy bears the attempt id of the
rejected request.
"""

import asyncio

from rig import engine as engines
from rig import rig as rigs
from rig import wire

PREFIX = "/lohu930/"
SERVICE = "dele69a"
# Requests sent one after the other begun, as many a second as at the site.
COUNT = 120
PAUSE_S = 1 / 25
# Tokens of a prompt that no engine has memory for, and when such ones come.
TOO_LARGE = 120_000
LARGE_AT = (30, 50, 70, 90)


class Fault:
    """The one answer that is sent a second time."""

    def __init__(self) -> None:
        self.engine = None
        self.sent = 0


class Garbling(engines.Engine):
    """An engine that may send one answer a second time, late."""

    def __init__(self, *args, fault) -> None:
        super().__init__(*args)
        self.fault = fault
        self.answers = 0
        self.owed: dict[wire.Channel, bytes] = {}

    async def handle(self, channel, ask) -> None:
        attempt = ask.headers.get("attempt-id", "")
        tokens = ask.headers.get("token-counts", "0,0")
        if ask.method == "POST":
            self.answers += 1
        if int(tokens.split(",")[0]) < TOO_LARGE:
            await super().handle(channel, ask)
            return
        await self.reject(channel, ask)
        fields = {
            "Attempt-Id": attempt,
            "Not-Executed": "1",
            "Content-Length": "0",
        }
        self.owed[channel] = wire.head_of(503, fields)

    async def run(self, channel, ask) -> None:
        extra = self.owed.pop(channel, None)
        if extra is not None and rigs.TROUBLE and not self.fault.sent:
            self.fault.sent = 1
            self.fault.engine = self
            channel = Late(channel, extra, self)
        await super().run(channel, ask)


class Late(wire.Channel):
    """A connection on which an earlier answer comes once more first."""

    def __init__(self, channel, extra, engine) -> None:
        super().__init__(channel.reader, channel.writer)
        self.extra = extra
        self.engine = engine

    async def begin(self, status, headers) -> None:
        self.engine.note(
            f"engine {self.engine.id} has the first token of"
            f" {headers['Attempt-Id']}, and sends the late copy before its"
            " answer"
        )
        self.writer.write(self.extra)
        await super().begin(status, headers)


async def question(rig, attempt, tokens, results) -> None:
    """Send one question as a client does."""
    headers = {
        "Host": rigs.HOST_NAME,
        "Attempt-Id": attempt,
        "Model": "m",
        "Token-Counts": f"{tokens},80",
        "Prompt-Prefix": f"5c1e07a2:200,{attempt[:8]}:{tokens - 200}",
        "Deadline-Ms": "5000",
    }
    rig.note(f"client sends {attempt}, {tokens} tokens")
    found = await wire.call(
        rig.hosts[0].front, "POST", f"{PREFIX}2f", headers, b"q" * 1500
    )
    rig.note(
        f"client gets {found.status} for {attempt}, complete:"
        f" {found.complete}, stamp {found.headers.get('server-stamp')}"
    )
    results[attempt] = found


async def case(rig: rigs.Rig) -> bool:
    """Run the case; return whether the rule held."""
    rig.configure(
        [
            rigs.route(
                "r-1",
                PREFIX,
                "streaming",
                service=SERVICE,
                maxAttempts=1,
                resumable=False,
                sticky=True,
                gapAimMs=300,
            )
        ],
        [rigs.service(SERVICE)],
    )
    fault = Fault()
    for _ in range(2):
        await rig.add(
            Garbling(
                rig.store,
                SERVICE,
                lambda ask: engines.Work(0.02, 34, 0.012, 60),
                rig.note,
                fault=fault,
            )
        )
    await rig.start_hosts()
    results: dict[str, wire.Answer] = {}
    asked = []
    large = []
    for number in range(COUNT):
        tokens = 450
        attempt = rigs.new_id()
        if number in LARGE_AT:
            tokens = TOO_LARGE
            large.append(attempt)
        work = question(rig, attempt, tokens, results)
        asked.append(asyncio.ensure_future(work))
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*asked)
    await asyncio.sleep(1.0)
    return judge(rig, results, large, fault)


def judge(rig, results, large, fault) -> bool:
    """Return whether every request ran once at most, and none refused ran."""
    ran = [attempt for engine in rig.engines for attempt in engine.ran]
    answers = [engine.answers for engine in rig.engines]
    places = [i for i, e in enumerate(rig.engines) if e is fault.engine]
    rig.note.say(
        f"{len(results)} requests; engines gave {answers} answers, sent a"
        f" second time: {fault.sent} by engine {places};"
        f" {sum(r.status == 200 for r in results.values())} served;"
        f" the large ones got {[results[each].status for each in large]}"
    )
    kept = True
    for attempt, found in results.items():
        count = ran.count(attempt)
        if count > 1:
            rig.note.say(f"TWICE: {attempt} was run by {count} engines")
            kept = False
        if count and found.status in (429, 503, 408, 421):
            rig.note.say(f"REFUSED: {attempt} got {found.status} and has run")
            kept = False
    served = sum(found.status == 200 for found in results.values())
    if served < COUNT // 2 or fault.sent < rigs.TROUBLE:
        raise rigs.CannotRunError("few were served, or nothing was sent late")
    return kept


if __name__ == "__main__":
    rigs.main(__file__, case)
