"""``camphortray-batch``: takes, owns and runs batch jobs."""

__all__ = ["batch", "main"]

import sys

import defopt

from camphortray import burn_recorder
from camphortray import config_gossip
from camphortray import hostsapi
from camphortray import jobapi
from camphortray import openai_batch
from camphortray import openai_files
from camphortray import orderdriver
from camphortray import program
from camphortray import settingsapi

# Importing a part registers it with the kernel.
PARTS = (
    burn_recorder,
    hostsapi,
    jobapi,
    openai_batch,
    openai_files,
    orderdriver,
    settingsapi,
    config_gossip,
)


def batch(settings: str, *, check: bool = False) -> int:
    """Take, own and run batch jobs.

    A process of its own, so that a large job never holds up online
    requests. SIGTERM drains: shards are given up and results kept.

    Args:
      settings: TOML file with the settings of this host.
      check: Check the settings, list every fault, and end.
    """
    return program.run_program("batch", settings, check)


def main() -> None:
    """Run from the command line."""
    sys.exit(defopt.run(batch))


if __name__ == "__main__":
    main()
