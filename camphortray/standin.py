"""``camphortray-standin``: the systems camphortray serves, made small."""

__all__ = ["main", "standin"]

import asyncio
import signal
import sys
from typing import Literal

import defopt

from camphortray import config as configs
from camphortray import httpserver
from camphortray import logs
from camphortray import standin_engine
from camphortray import standin_platform
from camphortray import standin_service

LOG = logs.logger("standin")

Kind = Literal["platform", "engine", "service"]


async def serve(
    kind: Kind, listen: str, name: str, models: list[str], fencing: bool
) -> None:
    """Run one stand-in until a signal."""
    address = configs.Address.from_text(listen)
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    server: httpserver.HttpServer
    if kind == "platform":
        platform = standin_platform.PlatformStandin()
        server = httpserver.HttpServer(platform)
        await server.start(address)
    elif kind == "engine":
        pairs = tuple(split_model(model) for model in models)
        engine = standin_engine.EngineStandin(
            name, pairs, checks_fencing=fencing
        )
        await engine.start(address)
        server = engine.server
    else:
        plain = standin_service.ServiceStandin(name)
        await plain.start(address)
        server = plain.server
    LOG.notice("{} {} serves on {}.", kind, name, server.address)
    await ended.wait()
    await server.stop()


def split_model(text: str) -> tuple[str, str]:
    """Split ``MODEL:VERSION``.

    >>> split_model("lm:3")
    ('lm', '3')
    """
    model, _, version = text.partition(":")
    return model, version or "1"


def standin(
    kind: Kind,
    listen: str,
    *,
    name: str = "standin",
    models: list[str] | None = None,
    fencing: bool = True,
) -> int:
    """Run a stand-in of the platform, of an engine or of a plain service.

    Faults are switched on over HTTP: ``GET /faults`` lists them, ``POST
    /faults`` with ``{"NAME": VALUE}`` sets them.

    Args:
      kind: What to stand in for.
      listen: ``IP:PORT`` to listen on.
      name: Name shown in logs and answers.
      models: ``MODEL:VERSION`` loaded at the start, for an engine.
      fencing: Whether an engine refuses orders with an old number.
    """
    logs.set_up()
    asyncio.run(serve(kind, listen, name, models or [], fencing))
    return 0


def main() -> None:
    """Run from the command line."""
    sys.exit(defopt.run(standin))


if __name__ == "__main__":
    main()
