"""Hosts as processes of the system, and the operator of a test."""

import asyncio
import contextlib
import os
import pathlib
import shlex
import signal
import socket
import tempfile
import time
import tomllib

from httpio import call

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_S = 30.0
HOST_NAME = "nony24.example"
SERVICE = "lessor-assist"
# Bounds as in the users' sheets.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 5,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerBoundMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "againS": 0,
    "finishS": 18,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "quotaWindowS": 5,
    "quotaExcess": 0.1,
    "quotaSlack": 20,
    "ttl_max_s": 5,
}


def free_ports(count, ip="127.0.0.1"):
    """Return free ports of an address."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            held = stack.enter_context(socket.socket())
            held.bind((ip, 0))
            found.append(held.getsockname()[1])
        return found


def toml(table, name=""):
    """Return a table as TOML."""
    lines = [f"[{name}]"] if name else []
    inner = []
    for key, value in table.items():
        if isinstance(value, dict):
            inner.append(toml(value, f"{name}.{key}" if name else key))
        elif isinstance(value, bool):
            lines.append(f"{key} = {str(value).lower()}")
        elif isinstance(value, list):
            text = ", ".join(f'"{each}"' for each in value)
            lines.append(f"{key} = [{text}]")
        elif isinstance(value, str):
            lines.append(f'{key} = "{value}"')
        else:
            lines.append(f"{key} = {value}")
    return "\n".join([*lines, *inner])


class Host:
    """One host; it runs with the command of the deploy file."""

    def __init__(self, folder, name, zone, store, bounds=None):
        self.folder = pathlib.Path(folder)
        self.name = name
        self.zone = zone
        self.process = None
        ports = free_ports(4)
        names = ("front", "ready", "control", "directory")
        self.listen = {
            key: f"127.0.0.1:{port}"
            for key, port in zip(names, ports, strict=True)
        }
        self.store = store
        self.seeds = []
        self.bounds = BOUNDS | (bounds or {})
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = shlex.split(deploy["roles"]["host"]["run"])

    @property
    def front(self):
        """Address for callers."""
        return self.listen["front"]

    def write(self):
        """Write the settings file."""
        data = {
            "nodeName": self.name,
            "role": "host",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "cantabria",
            "seeds": self.seeds,
            "bootstrap": True,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "zones": {"z1": "cantabria", "z2": "cantabria"},
            "listen": self.listen,
            "limits": {
                "cpuShare": 0.717,
                "cores": 3,
                "memoryMb": 340,
                "maxFds": 8200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "bounds": self.bounds,
            "platform": {
                "address": self.store,
                "form": "log",
                "writesPerS": 800,
                "readsPerS": 2000,
                "parts": 8,
                "appendMs": 4.0,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "retentionS": 300,
                "ttlMinMs": 1000,
            },
        }
        path = self.folder / f"{self.name}.toml"
        path.write_text(toml(data))
        return path

    async def start(self):
        """Start the process."""
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CAMPHORTRAY_NODE_FILE"] = str(self.write())
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process that this test started."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def ready(self):
        """Return whether it says that it is ready."""
        told = await call(
            self.listen["ready"], "GET", "/readiness", timeout_s=1.0
        )
        return told.status == 200


class Fleet:
    """Some hosts before one store."""

    def __init__(self, folder, store, count=3, bounds=None):
        self.hosts = [
            Host(
                folder,
                f"front-{n}",
                f"z{1 + n % 2}",
                store.address,
                bounds,
            )
            for n in range(count)
        ]
        seeds = [host.listen["control"] for host in self.hosts[:3]]
        for host in self.hosts:
            host.seeds = seeds

    async def start(self):
        """Start all hosts and wait until they are ready."""
        for host in self.hosts:
            await host.start()
        await self.wait_ready()

    async def wait_ready(self, hosts=None):
        """Wait until hosts are ready; raises TimeoutError."""
        async with asyncio.timeout(READY_S):
            for host in hosts or self.hosts:
                while not await host.ready():
                    await asyncio.sleep(0.02)

    async def stop(self):
        """End all hosts."""
        for host in self.hosts:
            await host.kill()


def route(name, prefix, kind, **fields):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": prefix,
        "kind": kind,
        "service": SERVICE,
        "timeoutMs": 5000,
        "goalMs": 300,
        "gapAimMs": 300,
        "maxAttempts": 2,
        "priority": 0,
        "sticky": True,
        **fields,
    }


def configuration(version, routes, tenants=None, slots=8):
    """Return a configuration as the operator writes it."""
    told = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": SERVICE,
                "maxConns": 290,
                "healthPath": "/health",
                "engine": {"slots": slots, "kvCapacity": 106377},
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
    }
    return told | ({} if tenants is None else {"tenants": tenants})


class Record:
    """What was sent, answered and run, line by line."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun_at = time.monotonic()

    def __call__(self, text):
        """Write a line with its time."""
        now = time.monotonic() - self.begun_at
        self.file.write(f"{now:8.3f} {text}\n")
        self.file.flush()

    def at(self, moment):
        """Return a monotonic time as one of the record."""
        return moment - self.begun_at


def main(play, folder):
    """Play a case; return its exit code.

    Args:
      play: Called with a temporary folder and the record; returns the code.
      folder: Folder of the case.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    with tempfile.TemporaryDirectory() as files:
        try:
            code = asyncio.run(play(files, record))
        except Exception as error:
            # Whatever it is, it shows nothing about the rule.
            record(f"the case could not run: {error!r}")
            code = 2
        if keep := os.environ.get("KEEP"):
            pathlib.Path(keep).mkdir(exist_ok=True)
            for path in pathlib.Path(files).iterdir():
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
    record(f"exit code {code}")
    print(f"{pathlib.Path(folder).name}: exit code {code}")
    return code
