"""``camphortray-entry``: where callers' requests come in."""

__all__ = ["entry", "main"]

import sys

import defopt

from camphortray import addresses
from camphortray import burn_recorder
from camphortray import config_gossip
from camphortray import hostsapi
from camphortray import jobproxy
from camphortray import ordersapi
from camphortray import program
from camphortray import relay
from camphortray import services
from camphortray import settingsapi
from camphortray import settingskeeper
from camphortray import slot_granter

# Importing a part registers it with the kernel.
PARTS = (
    addresses,
    burn_recorder,
    slot_granter,
    hostsapi,
    jobproxy,
    ordersapi,
    relay,
    services,
    settingsapi,
    settingskeeper,
    config_gossip,
)


def entry(settings: str, *, check: bool = False) -> int:
    """Take callers' requests and answer them.

    Serves the OpenAI-compatible interface, plain services, addresses and
    jobs. SIGTERM drains: the host leaves the list of addresses at once
    and ends when nothing is in flight; a second SIGTERM ends at once.

    Args:
      settings: TOML file with the settings of this host.
      check: Check the settings, list every fault, and end.
    """
    return program.run_program("entry", settings, check)


def main() -> None:
    """Run from the command line."""
    sys.exit(defopt.run(entry))


if __name__ == "__main__":
    main()
