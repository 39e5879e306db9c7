"""Writes results, starts and crashes of a shard in groups."""

__all__ = ["Outbox"]

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
from typing import Any

from camphortray import clock as clocks
from camphortray import errors
from camphortray import fold as folds
from camphortray import grouping
from camphortray import jobs
from camphortray import jobshard
from camphortray import logs
from camphortray import tasks

LOG = logs.logger("jobs")
# Most bytes of results in one record; smaller where the log allows less.
GROUP_BYTES = 262_144
# Bytes of a result besides its body, about.
RESULT_OVERHEAD = 96
APPEND_S = 10.0


@dataclasses.dataclass(slots=True, eq=False)
class Note:
    """A start or crash that waits to be written.

    Attributes:
      kind: ``START`` or ``CRASH``.
      job: Id of the job.
      items: Which items.
      written: Gets whether the fold counted it.
    """

    kind: str
    job: str
    items: tuple[int, ...]
    written: "asyncio.Future[bool]"


class Outbox:
    """Holds what is to be written until the log has it.

    While the log is away everything is held; ``held_bytes`` lets the
    dispatcher pause in time.

    Attributes:
      held_bytes: Size of the results held.
      pressed: Whether nothing more is begun until results are written.
    """

    def __init__(
        self,
        shard: jobshard.JobShard,
        clock: clocks.Clock,
        interval_s: Callable[[], float],
        record_limit: int,
        pressed: Callable[[], bool] = lambda: False,
    ) -> None:
        self.pressed = pressed
        self.shard = shard
        self.clock = clock
        self.interval_s = interval_s
        self.limit = min(GROUP_BYTES, record_limit // 2)
        self.results: list[jobs.ItemResult] = []
        self.notes: list[Note] = []
        self.held_bytes = 0
        self.hurry = False
        self.wake = asyncio.Event()
        self.emptied = asyncio.Event()
        self.emptied.set()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to write."""
        work = tasks.forever("writer of results", self.run)
        self.task = asyncio.get_running_loop().create_task(work)

    async def stop(self) -> None:
        """Drop what is held; it is no longer this host's to write."""
        await tasks.end(self.task)
        for note in self.notes:
            note.written.cancel()
        self.results, self.notes, self.held_bytes = [], [], 0
        self.emptied.set()

    def add(self, result: jobs.ItemResult) -> None:
        """Hold a result until it is written."""
        self.results.append(result)
        self.held_bytes += len(result.body) + RESULT_OVERHEAD
        self.emptied.clear()
        self.wake.set()

    async def note(self, kind: str, job: str, items: Iterable[int]) -> bool:
        """Write a start or crash; return whether the fold counted it."""
        written = asyncio.get_running_loop().create_future()
        self.notes.append(Note(kind, job, tuple(items), written))
        self.wake.set()
        return await written

    async def run(self) -> None:
        """Write whatever there is, at most once an interval."""
        while True:
            await self.wake.wait()
            if self.held_bytes < self.limit:
                await asyncio.sleep(self.interval_s())
            await self.linger()
            self.wake.clear()
            while self.notes or self.results:
                await self.write_notes()
                await self.write_results()
            self.emptied.set()

    async def linger(self) -> None:
        """Wait for more results until an append is worth its price."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grouping.RESULTS_DELAY_S):
                while not self.worth_it():
                    self.wake.clear()
                    await self.wake.wait()

    def worth_it(self) -> bool:
        """Return whether to write now.

        Notes are waited for, and so is the last result of a job.
        """
        return (
            bool(self.notes)
            or self.hurry
            or self.pressed()
            or len(self.results) >= grouping.RESULTS_TARGET
            or self.held_bytes >= self.limit
            or any(self.ends(job) for job in {r.job for r in self.results})
        )

    def ends(self, name: str) -> bool:
        """Return whether a job ends with the results held."""
        job = self.shard.fold.jobs.get(name)
        if job is None:
            return True
        held = sum(result.job == name for result in self.results)
        return job.ended + held >= job.accept.count

    async def flush(self) -> None:
        """Write everything now; for whoever is about to leave."""
        self.hurry = True
        self.wake.set()
        await self.emptied.wait()
        self.hurry = False

    async def write_notes(self) -> None:
        """Write all notes, one record for each job and kind."""
        groups: dict[tuple[str, str], list[Note]] = {}
        for note in self.notes:
            groups.setdefault((note.kind, note.job), []).append(note)
        for (kind, job), notes in groups.items():
            items = tuple(item for note in notes for item in note.items)
            cls = jobs.JobStart if kind == jobs.START else jobs.JobCrash
            outcome = await self.push(kind, cls(job, items))
            for note in notes:
                self.notes.remove(note)
                if not note.written.done():
                    note.written.set_result(outcome.valid)

    async def write_results(self) -> None:
        """Write the oldest results that fit into one record."""
        size = 0
        count = 0
        for result in self.results:
            size += len(result.body) + RESULT_OVERHEAD
            if count and size > self.limit:
                size -= len(result.body) + RESULT_OVERHEAD
                break
            count += 1
        if not count:
            return
        group = tuple(self.results[:count])
        await self.push(jobs.RESULTS, group)
        del self.results[:count]
        self.held_bytes -= size

    async def push(self, kind: str, what: Any) -> folds.Outcome:
        """Append until it is read back, however long the log is away.

        A record given up may still land. Results are then written twice,
        and the fold counts the first; a start is refused the second time
        and its item is not dispatched, which is the safe side.
        """
        while True:
            body = what
            if kind == jobs.RESULTS:
                body = jobs.JobResults(what, self.clock.wall())
            try:
                return await self.shard.append(kind, body, APPEND_S)
            except errors.LogError as error:
                LOG.warning("{} held back: {}", kind, error)
