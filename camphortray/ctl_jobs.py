"""Operators' and workspaces' commands on batch jobs."""

__all__ = ["cancel", "results", "status", "submit"]

import asyncio
from collections.abc import AsyncIterator
import json
import pathlib
import sys
from typing import Any

from camphortray import ctl_client

READ_BYTES = 262_144


def submit(
    file: str,
    service: str,
    key: str,
    *,
    entry: str = ctl_client.ENTRY_ADDRESS,
) -> int:
    """Submit a job of JSON lines; the same key again is the same job.

    The workspace's key is taken from CAMPHORTRAY_KEY.

    Args:
      file: File of JSON lines, one item each.
      service: Service that is to run it.
      key: Idempotency key of the job.
      entry: ``IP:PORT`` of an entry host.
    """

    async def chunks() -> AsyncIterator[bytes]:
        with pathlib.Path(file).open("rb") as source:
            while data := source.read(READ_BYTES):
                yield data

    async def run() -> Any:
        return await ctl_client.fetch(
            entry,
            "POST",
            f"/v1/jobs?service={service}",
            chunks(),
            [("idempotency-key", key)],
        )

    return show(asyncio.run(run()))


def show(job: Any) -> int:
    """Print a job; return the exit code."""
    print(json.dumps(job, indent=2))
    return 0


def status(job: str, *, entry: str = ctl_client.ENTRY_ADDRESS) -> int:
    """Tell where a job stands.

    Args:
      job: Id of the job.
      entry: ``IP:PORT`` of an entry host.
    """
    return show(asyncio.run(ctl_client.fetch(entry, "GET", f"/v1/jobs/{job}")))


def cancel(job: str, *, entry: str = ctl_client.ENTRY_ADDRESS) -> int:
    """Stop a job; when this returns, no later result counts.

    Args:
      job: Id of the job.
      entry: ``IP:PORT`` of an entry host.
    """
    target = f"/v1/jobs/{job}/cancel"
    return show(asyncio.run(ctl_client.fetch(entry, "POST", target)))


def results(job: str, *, entry: str = ctl_client.ENTRY_ADDRESS) -> int:
    """Print the results of a job as JSON lines, in item order.

    Args:
      job: Id of the job.
      entry: ``IP:PORT`` of an entry host.
    """

    async def run() -> int:
        target = f"/v1/jobs/{job}/results"
        async with ctl_client.open_call(entry, "GET", target) as response:
            while data := await response.read():
                sys.stdout.buffer.write(data)
        sys.stdout.flush()
        return 0

    return asyncio.run(run())
