"""Operators' commands on hosts."""

__all__ = ["drain", "list_hosts", "orders_status", "settings_status"]

import asyncio
from typing import Any

from camphortray import ctl_client

EXIT_BEHIND = 2


def fetch_members(entry: str) -> list[dict[str, Any]]:
    """Return the members that an entry host knows, sorted by name."""
    answer = asyncio.run(ctl_client.fetch(entry, "GET", "/v1/admin/hosts"))
    return sorted(answer["members"], key=lambda member: member["name"])


def list_hosts(*, entry: str = ctl_client.ENTRY_ADDRESS) -> int:
    """List the programs of all hosts, as one entry host sees them.

    An operator's key is taken from CAMPHORTRAY_KEY.

    Args:
      entry: ``IP:PORT`` of an entry host.
    """
    for member in fetch_members(entry):
        print(
            f"{member['name']:<28} {member['status']:<8}"
            f" {member['availability_zone']:<20} {member['http_address']:<21}"
            f" {member.get('capacity') or ''}"
        )
    return 0


def drain(*, entry: str = ctl_client.ENTRY_ADDRESS) -> int:
    """Drain one host: it takes no new callers and ends once it is idle.

    Args:
      entry: ``IP:PORT`` of the host itself.
    """
    asyncio.run(ctl_client.fetch(entry, "POST", "/v1/admin/drain"))
    print(f"{entry} drains")
    return 0


def settings_status(*, entry: str = ctl_client.ENTRY_ADDRESS) -> int:
    """List the revision in force on each host; exit code 2 if they differ.

    Args:
      entry: ``IP:PORT`` of an entry host.
    """
    members = fetch_members(entry)
    newest = max((m["revision"] for m in members), default=0)
    behind = [m for m in members if m["revision"] < newest]
    for member in members:
        lag = " (behind)" if member in behind else ""
        print(f"{member['name']:<28} {member['revision']}{lag}")
    return EXIT_BEHIND if behind else 0


def orders_status(*, entry: str = ctl_client.ENTRY_ADDRESS) -> int:
    """List the last order to each upstream and what became of it.

    An operator's key is taken from CAMPHORTRAY_KEY.

    Args:
      entry: ``IP:PORT`` of an entry host.
    """
    answer = asyncio.run(ctl_client.fetch(entry, "GET", "/v1/admin/orders"))
    for row in answer["orders"]:
        what = row["role"] or f"{row['model']} {row['version']}"
        became = "accepted" if row["accepted"] else row["reason"]
        print(
            f"{row['service']:<28} {row['upstream']:<20} {row['action']}"
            f" {what} {row['adapter']} (epoch {row['epoch']},"
            f" {row['owner'] or 'no owner'}): {became}"
        )
    return 0
