"""Faults of a stand-in, switched on and off by name over HTTP."""

__all__ = ["FaultHandler", "Faults"]

import asyncio
from typing import Any

from camphortray import errors
from camphortray import httpserver


class Faults:
    """Values of named faults.

    >>> faults = Faults({"down": False})
    >>> faults.set("down", True)
    >>> faults["down"]
    True
    """

    def __init__(self, values: dict[str, Any]) -> None:
        self.values = values
        self.actions: dict[str, Any] = {}

    def __getitem__(self, name: str) -> Any:
        return self.values[name]

    def on(self, name: str, action: Any) -> None:
        """Call ``action`` with the value whenever a fault is set."""
        self.values.setdefault(name, False)
        self.actions[name] = action

    def set(self, name: str, value: Any) -> None:
        """Set a fault.

        Raises:
          Refused: there is no such fault.
        """
        if name not in self.values:
            known = ", ".join(sorted(self.values))
            raise errors.Refused(
                404, "no_such_fault", f"no fault {name!r}; known: {known}"
            )
        self.values[name] = value
        action = self.actions.get(name)
        if action is not None:
            action(value)


class FaultHandler(httpserver.Handler):
    """Serves ``/faults`` beside what a stand-in serves itself.

    ``GET /faults`` lists them; ``POST /faults`` with ``{"name": value}``
    sets some.
    """

    def __init__(self, faults: Faults) -> None:
        self.faults = faults

    async def handle(
        self, request: httpserver.Request, response: httpserver.Response
    ) -> None:
        if request.path != "/faults":
            await self.serve(request, response)
            return
        if request.method == "POST":
            for name, value in (await request.json()).items():
                self.faults.set(name, value)
        response.send_json(200, self.faults.values)

    async def serve(
        self, request: httpserver.Request, response: httpserver.Response
    ) -> None:
        """Answer everything but ``/faults``."""
        raise errors.Refused(404, "not_found", f"no {request.path}")


async def slow(seconds: float) -> None:
    """Wait if a delay is set."""
    if seconds:
        await asyncio.sleep(seconds)
