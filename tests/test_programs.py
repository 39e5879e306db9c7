"""The programs as separate processes: settings, question, job, drain."""

import asyncio
import json
import pathlib
import signal
import sys

import pytest

from bench import processes
from camphortray import cluster

MODEL = "assist-lm"
SETTINGS = f"""
[model.{MODEL}]
version = "1"
[upstream.engine-1]
address = "%s"
"""
REGION = """
[workspace.home-1]
keys = ["%s"]
"""
BODY = {"model": MODEL, "max_tokens": 4, "prompt": "why"}


async def run(module, *arguments):
    """Run a program to its end; return its exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"camphortray.{module}",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    out, _ = await process.communicate()
    return process.returncode, out.decode()


@pytest.mark.parametrize(
    "module", ["entry", "batch", "ctl", "report", "standin"]
)
async def test_help_tells_enough(module):
    code, out = await run(module, "--help")
    assert code == 0
    assert "usage" in out and "options:" in out


async def test_bad_settings_are_told_whole_with_exit_code_2(tmp_path):
    file = tmp_path / "host.toml"
    file.write_text('[host]\nname = "a b"\n[log]\naddress = "x"\n')
    code, out = await run("entry", str(file), "--check")
    assert code == 2
    assert "host.name: found 'a b'" in out
    assert "log.address: found 'x'" in out
    assert "hostlist.address: found nothing" in out


async def test_a_part_that_cannot_start_ends_the_program(tmp_path):
    async with processes.ProcessFleet() as fleet:
        file = fleet.write_settings("host-1", "zone-1")
        text = pathlib.Path(file).read_text()
        file = tmp_path / "taken.toml"
        taken = fleet.settings["host-1"]["entry"]["listen"]
        file.write_text(text.replace(taken, fleet.platform))
        code, out = await run("entry", str(file))
        assert code == 1
        assert "kernel: start callers" in out
        assert "address already in use" in out


async def test_question_and_job_through_processes_and_a_drain(tmp_path):
    # An operator applies settings, a caller asks and runs a job, and the
    # hosts are told to end: both end by themselves with exit code 0.
    settings = tmp_path / "settings" / cluster.REGION
    settings.mkdir(parents=True)
    async with processes.ProcessFleet() as fleet:
        at = cluster.free_address()
        await fleet.run_standin(
            "engine", "engine-1", at, "--models", f"{MODEL}:1"
        )
        (settings / "lessor-assist.toml").write_text(SETTINGS % at)
        key = cluster.settings.hash_key("k")
        settings.with_suffix(".toml").write_text(REGION % key)
        code, out = await run(
            "ctl", "apply", str(settings.parent), "--log", fleet.platform
        )
        assert (code, out.count("accepted")) == (0, 2)
        await fleet.run_host("host-1", "zone-1", ("entry", "batch"))
        entry = fleet.programs["host-1/entry"]
        await until_ready(fleet, entry)
        answer = await call(fleet, entry, "POST", "/v1/completions", BODY)
        assert len(answer["choices"][0]["text"].split()) == 4
        await run_job(fleet, entry)
        for name in ("host-1/entry", "host-1/batch"):
            fleet.programs[name].signal(signal.SIGTERM)
        async with asyncio.timeout(20):
            for name in ("host-1/entry", "host-1/batch"):
                assert await fleet.programs[name].process.wait() == 0


async def run_job(fleet, entry):
    """Run a job of two items to its end and read its results."""
    target = "/v1/jobs?service=lessor-assist&path=/v1/completions"
    job = await call(fleet, entry, "POST", target, BODY, BODY)
    target = f"/v1/jobs/{job['id']}"
    async with asyncio.timeout(20):
        while job["status"] == "running":
            await asyncio.sleep(0.05)
            job = await call(fleet, entry, "GET", target)
    assert (job["status"], job["done"]) == ("finished", 2)


async def until_ready(fleet, program):
    """Wait until settings have come into force."""
    async with asyncio.timeout(20):
        while True:
            status, _, _ = await fleet.client.call(
                program.address, "GET", "/readyz"
            )
            if status == 200:
                return
            await asyncio.sleep(0.05)


async def call(fleet, program, method, target, *lines):
    """Make a call and return its JSON."""
    body = "\n".join(json.dumps(line) for line in lines).encode()
    headers = [("authorization", "Bearer k"), ("idempotency-key", "j1")]
    status, _, answer = await fleet.client.call(
        program.address, method, target, headers, body
    )
    assert status < 300, answer
    return json.loads(answer)
