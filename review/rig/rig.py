"""Hosts as processes, with a store and engines, on loopback."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from typing import Any

from rig import engine as engines
from rig import store as stores
from rig import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "nony24.example"
LIMIT_S = 115.0
READY_S = 30.0
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SETTINGS = """\
nodeName = "front-hall-a-{number}"
role = "host"
machineClass = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "hall-a"
region = "north"
portRange = [{inner},{inner_end}]
seeds = {seeds}
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
activeContracts = ["base","drain","config","cost","recover","batch","stream",\
"engine","platform"]
[zones]
hall-a = "north"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.717
cores = 3
memoryMb = 340
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 5
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
recoverS = 12
passMs = 120
againS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaExcess = 0.1
quotaWindowS = 5
quotaSlack = 20
ttl_max_s = 5
[platform]
address = "{store_address}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
retentionS = 300
partMb = 200
ttlMinMs = 1000
"""


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = open(path, "w", encoding="utf-8")
        self.begun_at = time.monotonic()

    def __call__(self, line: str) -> None:
        now = time.monotonic() - self.begun_at
        self.file.write(f"{now:8.3f} {line}\n")
        self.file.flush()

    def say(self, line: str) -> None:
        """Write a line, and print it too."""
        self(line)
        print(line, flush=True)


class Host:
    """One host process."""

    def __init__(self, rig: "Rig", number: int) -> None:
        self.rig = rig
        self.number = number
        self.ip = f"{rig.net}.{10 + number}"
        self.front = f"{self.ip}:{rig.ports['front']}"
        self.ready = f"{self.ip}:{rig.ports['ready']}"
        self.control = f"{self.ip}:{rig.ports['control']}"
        self.file = rig.folder / f"host-{number}.toml"
        self.process: asyncio.subprocess.Process | None = None
        # Where it reaches the store, if not at the store's own address.
        self.store = ""

    async def start(self) -> None:
        """Start it as the deploy file says."""
        seeds = [host.control for host in self.rig.hosts[:3]]
        text = SETTINGS.format(
            number=self.number,
            ip=self.ip,
            seeds="[" + ",".join(f'"{seed}"' for seed in seeds) + "]",
            store_address=self.store or self.rig.store.address,
            **self.rig.ports,
        )
        self.file.write_text(text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["host"]["run"].split()
        kept = {"PATH", "HOME", "LANG"}
        environment = {k: v for k, v in os.environ.items() if k in kept}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CAMPHORTRAY_NODE_FILE"] = str(self.file)
        log = open(self.rig.folder / f"host-{self.number}.log", "ab")
        with log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.rig.note(f"host {self.number} starts as {self.front}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to it."""
        assert self.process is not None
        self.rig.note(f"host {self.number} is sent {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready."""
        end_at = time.monotonic() + READY_S
        while time.monotonic() < end_at:
            found = await wire.call(
                self.ready, "GET", "/readiness", {}, b"", 1
            )
            if found.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"host {self.number} is not ready")

    async def end(self) -> None:
        """End it by force."""
        if self.process is None or self.process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()


class Rig:
    """A small deployment.

    Attributes:
      note: The record.
    """

    def __init__(self, folder: pathlib.Path, note: Record, count: int) -> None:
        self.folder = folder
        self.note = note
        self.net, self.ports = free_ports()
        self.store = stores.Store()
        self.hosts: list[Host] = []
        self.engines: list[engines.Engine] = []
        self.hosts = [Host(self, number) for number in range(1, count + 1)]

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start(f"{self.net}.1", self.ports["store"])

    async def add(self, engine: engines.Engine) -> None:
        """Start an engine."""
        self.engines.append(engine)
        ip = f"{self.net}.{100 + len(self.engines)}"
        await engine.start(ip, self.ports["engine"])
        self.note(
            f"engine {engine.id} of {engine.service} is {engine.address}"
        )

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        **more: Any,
    ) -> None:
        """Write a configuration."""
        self.version = getattr(self, "version", 0) + 3
        told = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            **more,
        }
        self.store.write("keyed.op", "config", told)
        self.note(f"configuration {self.version} is acknowledged")

    async def start_hosts(self) -> None:
        """Start all hosts, and wait until they are ready."""
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_ready()
        # Past the start all hosts know each other, and are in touch.
        await asyncio.sleep(4.0)

    async def stop(self) -> None:
        """End all that was started."""
        await asyncio.gather(*(host.end() for host in self.hosts))
        for each in self.engines:
            each.stop()
        self.store.server.stop()


def route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "goalMs": 300,
        "priority": 0,
        "maxAttempts": 2,
        **more,
    }


def service(name: str, slots: int = 8) -> dict[str, Any]:
    """Return a service as the operator writes it."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 290,
        "protocol": "h1",
        "tls": False,
        "engine": {"slots": slots, "kvCapacity": 106377},
    }


def new_id() -> str:
    """Return an id for an attempt."""
    return secrets.token_hex(8)


def free_ports() -> tuple[str, dict[str, int]]:
    """Return the start of loopback addresses, and ports free there."""
    names = ("front", "ready", "control", "directory", "store", "engine")
    for _ in range(50):
        net = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        base = random.randint(20_000, 28_000)
        ports = {name: base + place for place, name in enumerate(names)}
        ports["inner"], ports["inner_end"] = base + 10, base + 25
        if all(is_free(f"{net}.1", port) for port in ports.values()):
            return net, ports
    raise CannotRunError("no free ports")


def is_free(ip: str, port: int) -> bool:
    """Return whether a port is free."""
    with socket.socket() as held:
        try:
            held.bind((ip, port))
        except OSError:
            return False
    return True


async def play(
    case: Callable[[Rig], Awaitable[bool]], note: Record, hosts: int
) -> int:
    """Run a case in a rig; return the exit code."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    rig = Rig(folder, note, hosts)
    try:
        async with asyncio.timeout(LIMIT_S):
            await rig.start_store()
            kept = await case(rig)
        return HELD if kept else BROKEN
    finally:
        await rig.stop()
        if kept_logs := os.environ.get("REVIEW_LOGS"):
            shutil.copytree(folder, kept_logs, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)


def main(
    path: str, case: Callable[[Rig], Awaitable[bool]], hosts: int = 1
) -> None:
    """Run a case, write its record and exit; ``case`` says if it held."""
    note = Record(pathlib.Path(path).resolve().parent / "record.txt")
    note(f"trouble: {TROUBLE}")
    try:
        code = asyncio.run(play(case, note, hosts))
    except (CannotRunError, OSError, TimeoutError) as error:
        note.say(f"could not run: {error!r}")
        code = CANNOT_RUN
    except Exception as error:
        note.say(f"could not run: {error!r}")
        raise SystemExit(CANNOT_RUN) from error
    words = {BROKEN: "the rule is broken", HELD: "the rule is kept"}
    note.say(words.get(code, "could not run"))
    sys.exit(code)
