"""Gathers the events of all hosts for a report."""

__all__ = ["Gathered", "gather", "merge_answers"]

import asyncio
import dataclasses
from typing import Any

import msgspec

from camphortray import burn
from camphortray import burn_rate
from camphortray import burn_recorder
from camphortray import config as configs
from camphortray import ctl_client
from camphortray import errors
from camphortray import log
from camphortray import records

# Hosts asked at once, and the longest wait for one, in seconds.
AT_ONCE = 32
ASK_S = 5.0
GONE = frozenset({"dead", "left"})


@dataclasses.dataclass(frozen=True)
class Answer:
    """What one process, or the log in its place, tells.

    Attributes:
      host: ``HOST/PROGRAM``.
      incarnation: Of the process.
      rows: Its cells.
      objectives: Objectives by service, as it has them.
    """

    host: str
    incarnation: int
    rows: tuple[burn.Row, ...]
    objectives: dict[str, burn_rate.Objective] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Gathered:
    """Everything a report is made of.

    Attributes:
      rows: Cells of all processes, each stretch of each process once.
      objectives: Objectives by service.
      answered: Names of processes that answered.
      missing: Names of those that should have and did not, with why.
      kept: Number of processes known from the log only.
    """

    rows: tuple[burn.Row, ...]
    objectives: dict[str, burn_rate.Objective]
    answered: tuple[str, ...]
    missing: dict[str, str]
    kept: int


async def gather(entry: str, log_address: str, since: float) -> Gathered:
    """Ask all hosts that an entry host knows, and read the log.

    Args:
      entry: ``IP:PORT`` of an entry host.
      log_address: ``IP:PORT`` of the log, or empty to do without.
      since: Begin of the longest window, in seconds since 1970.

    Raises:
      CamphortrayError: the entry host does not answer.
    """
    members = (await ctl_client.fetch(entry, "GET", "/v1/admin/hosts"))[
        "members"
    ]
    room = asyncio.Semaphore(AT_ONCE)
    wanted = [m for m in members if m["status"] not in GONE]
    told = await asyncio.gather(*(ask(m, since, room) for m in wanted))
    answers = [a for a in told if isinstance(a, Answer)]
    missing = {
        member["name"]: answer
        for member, answer in zip(wanted, told, strict=True)
        if isinstance(answer, str)
    }
    kept: list[Answer] = []
    if log_address:
        try:
            kept = await read_log(log_address, since)
        except errors.LogError as error:
            missing["log"] = str(error)
    return merge_answers(answers, kept, missing)


async def ask(
    member: dict[str, Any], since: float, room: asyncio.Semaphore
) -> Answer | str:
    """Ask one process; return why it did not answer if it did not."""
    if not member["http_address"]:
        return "has no address yet"
    target = f"/v1/admin/burn?since={since:.0f}"
    try:
        async with room, asyncio.timeout(ASK_S):
            data = await ctl_client.fetch(
                member["http_address"], "GET", target
            )
        return msgspec.convert(data, Answer, strict=False)
    except TimeoutError:
        return f"no answer in {ASK_S:g} s"
    except (errors.CamphortrayError, msgspec.ValidationError) as error:
        return str(error)


async def read_log(address: str, since: float) -> list[Answer]:
    """Return what processes kept in the log, lost ones included."""
    cls = log.LOG_SERVICES.get("http")
    service = cls.from_config(configs.PlatformConfig(address))
    found = []
    offset = 0
    try:
        while True:
            try:
                page = await service.read(burn_recorder.STREAM, offset)
            except errors.LogTruncated as error:
                offset = error.first
                continue
            for held in page.records:
                offset = held.offset + 1
                if held.time >= since:
                    found.append(decode(held.body))
            if offset >= page.next:
                return [answer for answer in found if answer is not None]
    finally:
        await service.close()


def decode(body: bytes) -> Answer | None:
    """Read one record, or return None if it is no such record."""
    try:
        record = records.decode(body)
        return msgspec.convert(record.body, Answer)
    except (errors.RecordError, msgspec.ValidationError):
        return None


def merge_answers(
    answers: list[Answer], kept: list[Answer], missing: dict[str, str]
) -> Gathered:
    """Put answers and kept records together.

    A process that answers tells all it has, so what it kept is left out;
    of the others, each stretch of each life counts once, as a record may
    stand in the log twice.
    """
    alive = {(answer.host, answer.incarnation) for answer in answers}
    rows = [row for answer in answers for row in answer.rows]
    seen: set[tuple[Any, ...]] = set()
    lives = set()
    for answer in kept:
        life = answer.host, answer.incarnation
        if life in alive:
            continue
        lives.add(life)
        for row in answer.rows:
            at = *life, row.start, row.service, row.batch
            if at not in seen:
                seen.add(at)
                rows.append(row)
    objectives: dict[str, burn_rate.Objective] = {}
    for answer in answers:
        objectives.update(answer.objectives)
    return Gathered(
        tuple(rows),
        objectives,
        tuple(sorted(answer.host for answer in answers)),
        missing,
        len(lives),
    )
