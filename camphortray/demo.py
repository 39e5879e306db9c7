"""``make demo``: one question and one small job, all in one process."""

__all__ = ["main"]

import asyncio
import sys
from typing import Any

import msgspec

from camphortray import cluster as clusters
from camphortray import errors
from camphortray import httpclient
from camphortray import json_reader
from camphortray import logs

ITEMS = 50
BAR_WIDTH = 40
POLL_S = 0.05
QUESTION = "Why did the battery of house 12 stop charging this morning?"


def auth(*more: tuple[str, str]) -> list[tuple[str, str]]:
    """Return the headers of the demo's workspace."""
    key = f"Bearer {clusters.WORKSPACE_KEY}"
    return [("authorization", key), *more]


async def ask(client: httpclient.HttpClient, host: clusters.Host) -> int:
    """Stream one answer to the terminal; return its number of tokens."""
    print(f"Question: {QUESTION}")
    print("Answer:   ", end="")
    body = {
        "model": clusters.MODEL,
        "stream": True,
        "max_tokens": 24,
        "messages": [{"role": "user", "content": QUESTION}],
    }
    response = await client.request(
        host.address,
        "POST",
        "/v1/chat/completions",
        auth(),
        msgspec.json.encode(body),
    )
    tokens = 0
    while data := await response.read():
        for line in data.decode().splitlines():
            if line.startswith("data: {"):
                tokens += show_chunk(json_reader.read(line[6:]))
    response.close()
    print()
    return tokens


def show_chunk(chunk: dict[str, Any]) -> int:
    """Print the text of one chunk; return 1 if it held a token."""
    text = chunk["choices"][0]["delta"].get("content", "")
    print(text, end="", flush=True)
    return 1 if text else 0


async def run_job(
    client: httpclient.HttpClient, host: clusters.Host
) -> list[dict[str, Any]]:
    """Run a job to its end under a progress bar; return its results."""
    lines = [
        msgspec.json.encode(
            {
                "model": clusters.MODEL,
                "max_tokens": 8,
                "messages": [
                    {"role": "user", "content": f"Statement of home {item}"}
                ],
            }
        )
        for item in range(ITEMS)
    ]
    job = await call(
        client,
        host,
        "POST",
        f"/v1/jobs?service={clusters.SERVICE}",
        b"\n".join(lines),
    )
    path = f"/v1/jobs/{job['id']}"
    while job["status"] == "running":
        await asyncio.sleep(POLL_S)
        job = await call(client, host, "GET", path)
        show_bar(job["done"] + job["failed"], job["count"])
    print()
    _, _, body = await client.call(
        host.address, "GET", path + "/results", auth()
    )
    return [json_reader.read(line) for line in body.splitlines()]


def show_bar(done: int, count: int) -> None:
    """Draw the progress bar over itself."""
    filled = BAR_WIDTH * done // count
    bar = "#" * filled + "." * (BAR_WIDTH - filled)
    print(f"\rJob:      [{bar}] {done}/{count}", end="", flush=True)


async def call(
    client: httpclient.HttpClient,
    host: clusters.Host,
    method: str,
    target: str,
    body: bytes = b"",
) -> dict[str, Any]:
    """Make a call and return its JSON.

    Raises:
      Refused: the answer is a refusal.
    """
    headers = auth(("idempotency-key", "demo-statements"))
    status, _, answer = await client.call(
        host.address, method, target, headers, body
    )
    data: dict[str, Any] = json_reader.read(answer)
    if status >= 400:
        raise errors.Refused(status, "demo", data["error"]["message"])
    return data


async def demo() -> int:
    """Run the demo; return the exit code."""
    loop = asyncio.get_running_loop()
    async with clusters.Cluster(engines=2, hosts=1) as cluster:
        host = next(iter(cluster.hosts.values()))
        client = httpclient.HttpClient()
        began = loop.time()
        tokens = await ask(client, host)
        asked = loop.time() - began
        began = loop.time()
        results = await run_job(client, host)
        ran = loop.time() - began
        await client.close()
    done = sum(result["status"] == "done" for result in results)
    print(f"Results:  first {results[0]['body']['choices'][0]['message']}")
    print(
        f"Summary:  {tokens} tokens streamed in {asked:.2f} s;"
        f" {done} of {ITEMS} items done in {ran:.2f} s."
    )
    return 0 if tokens and done == ITEMS else 1


def main() -> None:
    """Run the demo with quiet logs."""
    logs.set_up(level="WARNING")
    sys.exit(asyncio.run(demo()))


if __name__ == "__main__":
    main()
