"""``camphortray-load``: open-loop load and experiments on running hosts."""

__all__ = ["compare", "main", "run"]

import asyncio
import json
import pathlib
import random
import sys
from typing import Any

import defopt
import msgspec

from camphortray import config as configs
from camphortray import errors
from camphortray import experiment as experiments
from camphortray import httpclient
from camphortray import json_reader
from camphortray import loadplot
from camphortray import loadresult
from camphortray import logs
from camphortray import trace

LOG = logs.logger("load")
CHAT = "/v1/chat/completions"
EVENT = b"data: {"
# Seconds until the addresses are asked for again after a failure.
ADDRESSES_S = 2.0
EXIT_FAULTY = 2


class Load:
    """Sends one trace.

    Requests leave at their times whether or not earlier ones have been
    answered, and latency counts from the time a request was meant to
    leave, so that a stall shows in every request that it delays.
    """

    def __init__(self, plan: experiments.Experiment, label: str = "") -> None:
        self.plan = plan
        self.label = label
        self.client = httpclient.HttpClient()
        self.rng = random.Random(plan.seed)
        self.addresses = [
            configs.Address.from_text(text) for text in plan.addresses
        ]
        self.measured = loadresult.Measured()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> loadresult.Result:
        """Send everything and wait for the answers."""
        plan = self.plan
        arrivals = trace.arrivals(
            trace.SHAPES[plan.trace], plan.seconds, self.rng, plan.scale
        )
        await self.ask_addresses()
        loop = asyncio.get_running_loop()
        began = loop.time()
        background = [loop.create_task(self.keep_addresses())]
        background += [
            loop.create_task(self.switch(fault, began))
            for fault in plan.faults
        ]
        for number, arrival in enumerate(arrivals):
            await asyncio.sleep(began + arrival.at_s - loop.time())
            self.send(number, arrival, began)
        if self.tasks:
            # Each ends by its own time limit and is counted.
            await asyncio.wait(self.tasks)
        for task in [*background, *self.tasks]:
            task.cancel()
        await asyncio.gather(*background, *self.tasks, return_exceptions=True)
        await self.client.close()
        name = f"{plan.name}, {self.label}" if self.label else plan.name
        sent = loadresult.Sent(plan.trace, plan.seed, plan.seconds, plan.scale)
        return self.measured.result(name, sent)

    def send(self, number: int, arrival: trace.Arrival, began: float) -> None:
        """Begin a request, unless too many are open."""
        if len(self.tasks) >= self.plan.max_in_flight:
            self.measured.outcomes["not sent"] += 1
            return
        task = asyncio.get_running_loop().create_task(
            self.ask(number, arrival, began)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ask_addresses(self) -> float:
        """Take the addresses in use; return how long to keep them."""
        for address in self.rng.sample(self.addresses, len(self.addresses)):
            try:
                status, _, body = await self.client.call(
                    address, "GET", "/v1/hosts"
                )
                if status == 200:
                    return self.take_addresses(json_reader.read(body))
            except errors.CamphortrayError as error:
                LOG.warning("No addresses from {}: {}", address, error)
        return ADDRESSES_S

    def take_addresses(self, answer: dict[str, Any]) -> float:
        """Use the addresses of an answer of ``/v1/hosts``."""
        found = [
            configs.Address.from_text(host["address"])
            for host in answer["hosts"]
            if host.get("address")
        ]
        self.addresses = found or self.addresses
        return float(answer.get("keep_s", ADDRESSES_S))

    async def keep_addresses(self) -> None:
        """Ask for addresses anew whenever the answer has run out."""
        keep_s = ADDRESSES_S
        while True:
            await asyncio.sleep(keep_s)
            keep_s = await self.ask_addresses()

    async def switch(self, fault: experiments.FaultPlan, began: float) -> None:
        """Switch a fault of a stand-in at its time."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(began + fault.at_s - loop.time())
        address = configs.Address.from_text(fault.address)
        body = msgspec.json.encode({fault.name: fault.value})
        try:
            status, _, _ = await self.client.call(
                address, "POST", "/faults", body=body
            )
        except errors.CamphortrayError as error:
            LOG.error("Fault {} not set: {}", fault.name, error)
            status = 0
        known = "switched" if status == 200 else "not switched"
        self.measured.outcomes[f"fault {fault.name} {known}"] += 1

    async def ask(
        self, number: int, arrival: trace.Arrival, began: float
    ) -> None:
        """Send one request and measure its answer."""
        meant_at = began + arrival.at_s
        try:
            async with asyncio.timeout(2 * self.plan.deadline_s):
                outcome = await self.exchange(number, arrival, meant_at)
        except errors.UpstreamBroken:
            outcome = "cut"
        except (errors.CamphortrayError, TimeoutError):
            outcome = "failed"
        self.measured.outcomes[outcome] += 1
        if outcome == "ok":
            now = asyncio.get_running_loop().time()
            self.measured.record("whole", now - meant_at)

    async def exchange(
        self, number: int, arrival: trace.Arrival, meant_at: float
    ) -> str:
        """Send a request and read its answer; return the outcome."""
        plan = self.plan
        key = plan.keys[arrival.workspace % len(plan.keys)]
        response = await self.client.request(
            self.rng.choice(self.addresses),
            "POST",
            CHAT,
            [
                ("authorization", f"Bearer {key}"),
                ("camphortray-deadline", f"{plan.deadline_s:g}"),
            ],
            request_body(plan, number, arrival, self.label),
        )
        try:
            if response.status != 200:
                return refusal(response.status, await response.body())
            return await self.read(response, arrival.at_s, meant_at)
        finally:
            response.close()

    async def read(
        self,
        response: httpclient.ClientResponse,
        at_s: float,
        meant_at: float,
    ) -> str:
        """Measure the tokens of an answer as they come."""
        loop = asyncio.get_running_loop()
        last, ending = 0.0, b""
        while data := await response.read():
            now = loop.time()
            ending = (ending + data)[-64:]
            if EVENT not in data and self.plan.stream:
                continue
            if last:
                self.measured.record("itl", now - last)
            else:
                self.measured.first_token(at_s, now - meant_at)
            last = now
        if self.plan.stream and b"[DONE]" not in ending:
            return "cut"
        return "ok"


def request_body(
    plan: experiments.Experiment,
    number: int,
    arrival: trace.Arrival,
    label: str = "",
) -> bytes:
    """Return a request of the trace's size.

    The label goes into its words: a second run that sent the words of the
    first would find them in the engines' prefix caches and look faster.
    """
    rng = random.Random(f"{plan.seed}/{number}/{label}")
    words = (f"w{rng.randrange(10_000)}" for _ in range(arrival.prompt_words))
    return msgspec.json.encode(
        {
            "model": plan.model,
            "stream": plan.stream,
            "max_tokens": arrival.tokens,
            "messages": [{"role": "user", "content": " ".join(words)}],
        }
    )


def refusal(status: int, body: bytes) -> str:
    """Return the code of a refusal."""
    try:
        return str(json_reader.read(body)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return f"status {status}"


def run(
    file: str,
    *,
    out: str = "load.json",
    label: str = "",
    remote: bool = False,
) -> int:
    """Run an experiment and write what it measured.

    Args:
      file: TOML file of the experiment.
      out: JSON file to write.
      label: Name of this run. Two runs that are compared need two: it goes
        into the words of prompts, so that neither finds the other's in the
        engines' caches; times and lengths stay the same.
      remote: Allow addresses that are not of this machine.
    """
    logs.set_up()
    try:
        plan = experiments.from_file(file)
    except errors.ConfigError as error:
        print(error, file=sys.stderr)
        return EXIT_FAULTY
    if plan.remote() and not remote:
        named = ", ".join(plan.remote())
        print(f"Not of this machine: {named}; see --remote", file=sys.stderr)
        return EXIT_FAULTY
    result = asyncio.run(Load(plan, label).run())
    result.to_file(out)
    print(json.dumps({"outcomes": result.outcomes, **result.quantiles}))
    return 0


def compare(first: str, second: str, *, page: str = "") -> int:
    """Compare two results.

    Args:
      first: JSON file of the run to compare with.
      second: JSON file of the other run.
      page: HTML file to write with plots of both.
    """
    old = loadresult.Result.from_file(first)
    new = loadresult.Result.from_file(second)
    found = loadresult.compare(old, new)
    if page:
        text = loadplot.page(old, new, found)
        pathlib.Path(page).write_text(text, encoding="utf-8")
    print(json.dumps(msgspec.to_builtins(found)))
    return 0


def main() -> None:
    """Run from the command line."""
    sys.exit(defopt.run([run, compare]))


if __name__ == "__main__":
    main()
