"""Stand-in of a plain service, e.g. one that dispatches fitters."""

__all__ = ["ServiceStandin"]

import collections

from camphortray import config as configs
from camphortray import errors
from camphortray import faults as faults_module
from camphortray import httpserver


class ServiceStandin(faults_module.FaultHandler):
    """Echoes calls and counts each.

    Attributes:
      runs: How often each request id ran; a body's ``"call"`` field, if
        it has one, is counted too, to find calls that ran twice.
    """

    def __init__(self, name: str) -> None:
        super().__init__(
            faults_module.Faults(
                {
                    "delay_s": 0.0,
                    "lose_answers": 0,
                    "lose_before": 0,
                    "drain": False,
                }
            )
        )
        self.name = name
        self.runs: collections.Counter[str] = collections.Counter()
        self.server = httpserver.HttpServer(self)

    async def start(self, address: configs.Address) -> configs.Address:
        """Listen; return the address taken."""
        await self.server.start(address)
        return self.server.address

    async def stop(self) -> None:
        """Stop serving."""
        await self.server.stop()

    async def serve(
        self, request: httpserver.Request, response: httpserver.Response
    ) -> None:
        body = await request.body()
        if request.path == "/runs":
            response.send_json(200, dict(self.runs))
            return
        if self.faults["drain"]:
            refusal = errors.Refused(503, "draining", "draining")
            headers = [("x-not-run", "1"), ("x-leaving", "1")]
            data = httpserver.refusal_body(refusal)
            response.send_json(503, data, headers)
            return
        if self.count_down("lose_before"):
            response.abort()
            return
        key = request.headers.get("idempotency-key", request.id)
        self.runs[key] += 1
        await faults_module.slow(self.faults["delay_s"])
        if self.count_down("lose_answers"):
            response.abort()
            return
        answer = {
            "service": self.name,
            "method": request.method,
            "path": request.path,
            "key": key,
            "run": self.runs[key],
            "body": body.decode("utf-8", "replace"),
        }
        response.send_json(200, answer)

    def count_down(self, fault: str) -> bool:
        """Return whether a counted fault strikes now."""
        left = self.faults[fault]
        if left > 0:
            self.faults.values[fault] = left - 1
        return left > 0
