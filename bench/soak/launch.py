"""Runs ``platform/host.py`` with its connections led over proxies.

A process of its own. Hosts tell each other the addresses they listen on, so
that a proxy between two of them can only stand where one is dialled: a
connection to ``IP:PORT`` goes to the loopback port that the table names.
Nothing else of the program is touched.
"""

import asyncio
import json
import os
import pathlib
import runpy
import sys
from typing import Any

# A file with JSON: the proxy's port by the address dialled.
TABLE_VARIABLE = "CAMPHORTRAY_SOAK_TABLE"


def lead(table: dict[str, int]) -> None:
    """Lead connections of this process as the table says."""
    dial = asyncio.BaseEventLoop.create_connection

    async def over(
        self: asyncio.BaseEventLoop,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **more: Any,
    ) -> Any:
        port = table.get(f"{host}:{port}", port)
        return await dial(self, factory, host, port, **more)

    asyncio.BaseEventLoop.create_connection = over  # type: ignore


def main() -> None:
    """Run the host program."""
    path = pathlib.Path(__file__).resolve()
    program = path.parents[2] / "platform" / "host.py"
    # As when it is started itself; this folder's names must hide nothing.
    sys.path[0] = str(program.parent)
    lead(json.loads(pathlib.Path(os.environ[TABLE_VARIABLE]).read_text()))
    runpy.run_path(str(program), run_name="__main__")


if __name__ == "__main__":
    main()
