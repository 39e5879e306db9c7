"""Helpers for tests of hosts that request slots from a coordinator."""

from camphortray import slot_client
from tests import platformkit

SERVICE = platformkit.SERVICE
PATH = platformkit.STREAM_PREFIX + "q"


def coordinator(part):
    """Return the name of the service's coordinator as one host sees it."""
    now = part.clock.monotonic()
    return part.coordinators.coordinator(SERVICE, now)


def roles(platform):
    """Return the coordinating host of the service and another host."""
    first = platform.hosts[0].part(slot_client.SlotClient)
    name = coordinator(first)
    by_name = {
        h.part(slot_client.SlotClient).own_name: h for h in platform.hosts
    }
    coordinator_host = by_name.pop(name)
    return coordinator_host, next(iter(by_name.values()))


async def ask(host, name):
    """Send a streamed request and return its status."""
    status, _, _ = await host.call("POST", PATH, [("Attempt-Id", name)])
    return status
