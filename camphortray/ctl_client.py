"""Calls from the command line to an entry host."""

__all__ = ["ENTRY_ADDRESS", "KEY_VARIABLE", "fetch", "open_call"]

from collections.abc import AsyncIterator
import contextlib
import os
from typing import Any

import msgspec

from camphortray import config as configs
from camphortray import errors
from camphortray import httpclient
from camphortray import json_reader

ENTRY_ADDRESS = "127.0.0.1:8000"
# Keys come from the environment, so that no process list shows them.
KEY_VARIABLE = "CAMPHORTRAY_KEY"
BAD_STATUS = 400


def headers(more: httpclient.Headers = ()) -> list[tuple[str, str]]:
    """Return the headers of a call, with the key of the environment."""
    key = os.environ.get(KEY_VARIABLE, "")
    return [("authorization", f"Bearer {key}"), *more]


@contextlib.asynccontextmanager
async def open_call(
    address: str,
    method: str,
    target: str,
    body: httpclient.Body = b"",
    more: httpclient.Headers = (),
) -> AsyncIterator[httpclient.ClientResponse]:
    """Make a call whose answer is read as it comes.

    Raises:
      CamphortrayError: with the message of a refusal.
    """
    client = httpclient.HttpClient()
    try:
        response = await client.request(
            configs.Address.from_text(address),
            method,
            target,
            headers(more),
            body,
        )
        if response.status >= BAD_STATUS:
            raise refusal(response.status, await response.body(), address)
        yield response
    finally:
        await client.close()


async def fetch(
    address: str,
    method: str,
    target: str,
    body: httpclient.Body = b"",
    more: httpclient.Headers = (),
) -> Any:
    """Make a call and return its JSON; see ``open_call``."""
    async with open_call(address, method, target, body, more) as response:
        return json_reader.read(await response.body())


def refusal(status: int, body: bytes, address: str) -> Exception:
    """Return the error that a refusal stands for."""
    try:
        error = json_reader.read(body)["error"]
        text = f"{error['message']} ({error['code']}, ran: {error['ran']})"
    except (msgspec.DecodeError, LookupError, TypeError):
        text = body[:200].decode("latin1")
    return errors.CamphortrayError(
        f"status {status}: {text}", step="call", peer=address
    )
