"""Callers with questions and jobs, who write down what they see."""

__all__ = ["Load"]

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import random
import time

from camphortray_platform import jobsfront
from camphortray_platform import names

from bench.soak import checker
from bench.soak import standins
from camphortray import config as configs
from camphortray import errors
from camphortray import httpclient
from tests import platformkit

QUESTION_S = 0.1
JOB_S = 0.6
# Mean time from one request that crashes engines to the next.
DEADLY_S = 0.7
LOOK_S = 0.5
DEADLINE_S = 5.0
# Callers that keep a connection idle for as long as they may.
IDLE_CALLERS = 3
IDLE_LOOK_S = 0.05
TIMEOUTS = httpclient.Timeouts(1.0, DEADLINE_S + 1.5, DEADLINE_S + 1.5)
# Share of the streams that their caller breaks off, and times that it takes
# one up again after each break.
LEAVE_SHARE, TAKE_UPS, TAKE_UP_PAUSE_S = 0.15, 2, 0.05
# The same where it tries again until all hosts are back.
PATIENT_TAKE_UPS, PATIENT_PAUSE_S = 16, 0.3
# Mean time between questions as engines refuse many, and to lose power amid
# many streams.
MANY_S, POWER_S = 1 / 130, 1 / 30
# Times that a caller sends a job before it gives up, and tries in between.
SENDS, AGAIN_S = 8, 0.4
BODY = b"soak"


def expected_of(stream: str, after: int) -> str:
    """Return what a stream holds after an event."""
    return "".join(
        f"id: {n}\ndata: {standins.text_of(stream, n)}\n\n"
        for n in range(after + 1, standins.events_of(stream) + 1)
    )


class KeptClient(httpclient.HttpClient):
    """Keeps idle connections by the limit in force as it uses them again.

    Attributes:
      most_idle_s: Returns the longest that one may be idle.
    """

    most_idle_s: Callable[[], float]

    async def connect(
        self,
        address: configs.Address,
        limits: httpclient.Timeouts,
        fresh: bool,
    ) -> httpclient.ClientConnection:
        for connection in self.idle.get(address, []):
            connection.idle_limit_s = self.most_idle_s()
        return await super().connect(address, limits, fresh)


class Load:
    """Callers of all hosts.

    Attributes:
      ways: Where callers reach each host.
      seen: What they saw.
      last: Whether all faults have ended.
      calm: Whether nothing goes wrong but that one host leaves.
      leaves: Its name, or "".
      deadly: Whether requests come that crash engines.
      question_s: Mean time from one question to the next.
      take_ups: Times that a caller takes up a stream after each break.
      patient: Whether it tries again where it reached no host, or is
        refused.
      idle_s: Returns the limit on idle connections in force.
    """

    def __init__(
        self, seed: int, ways: dict[str, configs.Address], seen: checker.Seen
    ) -> None:
        self.rng = random.Random(f"load/{seed}")
        self.ways = ways
        self.seen = seen
        self.last = self.calm = False
        self.deadly = seed % 2 == 1
        self.question_s = QUESTION_S
        self.take_ups = TAKE_UPS
        self.patient = False
        self.leaves = ""
        self.count = 0
        self.idle_s: Callable[[], float] = lambda: 1.0
        self.kept = KeptClient(TIMEOUTS)
        self.kept.most_idle_s = self.most_idle_s
        self.fresh = httpclient.HttpClient(TIMEOUTS, max_idle=0)
        self.tasks: set[asyncio.Task[None]] = set()

    def most_idle_s(self) -> float:
        """Return how long callers leave a connection idle at most."""
        return checker.IDLE_SHARE * self.idle_s()

    def spawn(self, work: Awaitable[None]) -> None:
        """Run a caller."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def set_mode(self, mode: str) -> None:
        """Call as it fits to what goes wrong."""
        self.deadly = self.deadly and mode == "all"
        if mode == "copies":
            self.question_s = MANY_S
        if mode in ("power", "release"):
            self.question_s, self.patient = POWER_S, True
            self.take_ups = PATIENT_TAKE_UPS

    async def run(self) -> None:
        """Send questions and jobs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.send_questions())
            group.create_task(self.send_jobs())
            for host in list(self.ways) * IDLE_CALLERS:
                group.create_task(self.stay(host))
            if self.deadly:
                group.create_task(self.send_deadly())

    async def send_questions(self) -> None:
        """Send questions at random times."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.question_s))
            self.spawn(self.ask(self.rng.choice(list(self.ways))))

    async def send_jobs(self) -> None:
        """Send jobs at random times."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / JOB_S))
            self.spawn(self.bring())

    async def stay(self, host: str) -> None:
        """Send questions on one connection, idle as long as it may be."""
        client = KeptClient(TIMEOUTS)
        client.most_idle_s = self.most_idle_s

        def any_held() -> bool:
            return any(client.idle.values())

        try:
            while True:
                ended_at = (await self.ask(host, client)).ended_at
                held = any_held()
                share = 1 - 0.2 * self.rng.random()
                while (
                    time.monotonic() - ended_at
                    < self.most_idle_s() * share - IDLE_LOOK_S
                ):
                    await asyncio.sleep(IDLE_LOOK_S)
                if held:
                    now = time.monotonic()
                    idle = checker.Idle(host, ended_at, now, any_held())
                    self.seen.idle.append(idle)
        finally:
            await client.close()

    async def send_deadly(self) -> None:
        """Send requests that crash engines, no two alike, to all hosts."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / DEADLY_S))
            attempt = self.next_id("d")
            host = self.rng.choice(list(self.ways))
            self.seen.deadly_hosts[attempt] = host
            question = checker.Question(attempt, False, host, "")
            prompt = standins.prompt_of(
                attempt, standins.SHARED, standins.DEADLY
            )
            path = platformkit.STREAM_PREFIX
            self.spawn(
                self.send(question, self.fresh, path, [(names.PREFIX, prompt)])
            )

    def next_id(self, kind: str) -> str:
        """Return an id that was not used before."""
        self.count += 1
        return f"{kind}{self.count}"

    async def ask(
        self, host: str, client: httpclient.HttpClient | None = None
    ) -> checker.Question:
        """Send one question, and take its stream up again if it breaks."""
        paths = (
            platformkit.STREAM_PREFIX,
            standins.ONCE_PREFIX,
            standins.PLAIN_PREFIX,
            standins.OPTIONAL_PREFIX,
        )
        kind = self.rng.randrange(len(paths))
        attempt = self.next_id("q")
        question = checker.Question(
            attempt, kind > 0, host, expected_of(attempt, 0)
        )
        question.last, question.calm = self.last, self.calm
        question.leaves = host == self.leaves
        question.stream = "" if kind else attempt
        question.optional = paths[kind] == standins.OPTIONAL_PREFIX
        client = client or self.rng.choice((self.kept, self.fresh))
        leaves = not kind and self.rng.random() < LEAVE_SHARE
        leaves = leaves and not self.last
        await self.send(question, client, paths[kind], [], leaves)
        if not kind:
            await self.take_up(question)
        return question

    async def send(
        self,
        question: checker.Question,
        client: httpclient.HttpClient,
        path: str,
        more: list[tuple[str, str]],
        leaves: bool = False,
    ) -> None:
        """Send a question and read its answer, or its beginning."""
        self.seen.questions.append(question)
        question.sent_at = time.monotonic()
        shared = standins.prompt_of(question.attempt, standins.SHARED)
        headers = {
            "host": platformkit.HOST_NAME,
            names.ATTEMPT: question.attempt,
            names.DEADLINE: str(round(DEADLINE_S * 1000)),
            names.PREFIX: shared,
            **dict(more),
        }
        text = ""
        try:
            response = await client.request(
                self.ways[question.host],
                "POST",
                path + "x",
                tuple(headers.items()),
                BODY + question.attempt.encode(),
            )
            question.status = response.status
            try:
                while data := await response.read():
                    text += data.decode()
                    if leaves:
                        question.left = True
                        return
                question.whole = True
            finally:
                response.close()
        except errors.UpstreamError:
            pass
        except asyncio.CancelledError:
            question.left = True
            raise
        finally:
            question.ended_at = time.monotonic()
            question.text, question.versions = standins.split(text)

    async def take_up(self, broken: checker.Question) -> None:
        """Take up a stream that has broken, at any host."""
        stream, after = broken.stream, 0
        for _ in range(self.take_ups):
            if broken.status == 200:
                after += broken.text.count("\n\n")
            tries = (200, 0, 503) if self.patient else (200,)
            done = broken.status == 200 and broken.whole
            if broken.status not in tries or done or not after:
                return
            pause_s = PATIENT_PAUSE_S if self.patient else TAKE_UP_PAUSE_S
            await asyncio.sleep(pause_s)
            host = self.rng.choice(list(self.ways))
            again = checker.Question(
                self.next_id("q"), False, host, expected_of(stream, after)
            )
            again.stream = stream
            resumed = [(names.RESUMES, stream), (names.LAST_EVENT, str(after))]
            await self.send(
                again, self.fresh, platformkit.STREAM_PREFIX, resumed
            )
            broken = again

    async def call(
        self,
        host: str,
        method: str,
        target: str,
        headers: httpclient.Headers = (),
        body: bytes = b"",
    ) -> tuple[int, bytes]:
        """Make a call on a job; status 0 stands for no answer."""
        told = [("host", platformkit.HOST_NAME), *headers]
        call = checker.Call(f"{method} {target}", host, time.monotonic())
        content = b""
        with contextlib.suppress(errors.UpstreamError):
            call.status, _, content = await self.fresh.call(
                self.ways[host], method, target, told, body
            )
        call.ended_at = time.monotonic()
        self.seen.calls.append(call)
        return call.status, content

    async def bring(self) -> None:
        """Send a job until it is accepted, then read it until it is whole."""
        name = self.next_id("j")
        ids = [f"{name}-{n}" for n in range(self.rng.randint(1, 16))]
        texts = {
            item: "\n".join(
                standins.text_of(item, n)
                for n in range(1, standins.events_of(item) + 1)
            )
            for item in ids
        }
        job = checker.Job(name, texts)
        self.seen.jobs.append(job)
        path = platformkit.BATCH_PREFIX + name
        items = [
            {
                "id": item,
                "path": path,
                "headers": {
                    "Model": "m",
                    names.PREFIX: standins.prompt_of(item, standins.SHARED),
                },
                "body": base64.b64encode(item.encode()).decode(),
                "tokens": 10,
            }
            for item in ids
        ]
        body = json.dumps({"items": items}).encode()
        sends = 0
        # One in some is sent again though it has been accepted.
        more = self.rng.random() < 0.3
        while sends < SENDS and (not job.accepted or more):
            more = more and not job.accepted
            sends += 1
            host = self.rng.choice(list(self.ways))
            status, _ = await self.call(
                host, "POST", path, [(names.ATTEMPT, name)], body
            )
            job.answers.append(status)
            if status != 202:
                await asyncio.sleep(AGAIN_S)
        if job.accepted:
            await self.follow(job)

    async def follow(self, job: checker.Job) -> None:
        """Read a job now and then, also from positions read before."""
        at = 0
        while at < len(job.expected):
            host = self.rng.choice(list(self.ways))
            back = self.rng.randint(0, at) if self.rng.random() < 0.2 else at
            look = await self.read(job, host, back)
            at = max(at, back + len(look.results))
            if self.rng.random() < 0.1:
                item = self.rng.choice(list(job.expected))
                status, content = await self.call(
                    host, "GET", f"{jobsfront.ITEMS}{job.id}?id={item}"
                )
                same = status == 200 and content == item.encode()
                job.bodies.append((item, status, same))
            await asyncio.sleep(LOOK_S * self.rng.random())

    async def read(
        self, job: checker.Job, host: str, after: int
    ) -> checker.Look:
        """Read a job once and keep what came."""
        last = self.last
        status, content = await self.call(
            host,
            "GET",
            f"{jobsfront.LOTS}{job.id}?after={after}",
            [(names.WAIT, "1000")],
        )
        look = checker.Look(host, status, after, last=last)
        if status == 200:
            told = json.loads(content)
            look.total = told["total"]
            texts = [standins.split(r["text"]) for r in told["results"]]
            look.results = tuple(
                (r["id"], r["state"], text)
                for r, (text, _) in zip(told["results"], texts, strict=True)
            )
            look.mixed = tuple(
                r["id"]
                for r, (_, found) in zip(told["results"], texts, strict=True)
                if len(found) > 1
            )
        job.looks.append(look)
        return look

    async def read_all(self, bound_s: float) -> float | None:
        """Read all accepted jobs at each host; return how long it took."""
        begun_at = time.monotonic()
        # Jobs may still be on their way; none is accepted behind our back.
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=bound_s / 2)
        await self.end_callers()
        try:
            async with asyncio.timeout(bound_s):
                await asyncio.gather(*(self.finish(h) for h in self.ways))
        except TimeoutError:
            return None
        return time.monotonic() - begun_at

    async def finish(self, host: str) -> None:
        """Read all accepted jobs at one host, and ask it once more."""
        for job in [job for job in self.seen.jobs if job.accepted]:
            at = 0
            while at < len(job.expected):
                look = await self.read(job, host, at)
                at += len(look.results)
                if look.status != 200:
                    await asyncio.sleep(LOOK_S)
        while (await self.ask(host)).status != 200:
            await asyncio.sleep(LOOK_S)

    async def end_callers(self) -> None:
        """End whoever still calls."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def stop(self) -> None:
        """End all callers."""
        await self.end_callers()
        await self.kept.close()
        await self.fresh.close()
