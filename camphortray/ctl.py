"""``camphortray-ctl``: what operators do, from the command line."""

__all__ = ["main"]

import sys

import defopt

from camphortray import ctl_hosts
from camphortray import ctl_jobs
from camphortray import ctl_logs
from camphortray import ctl_settings
from camphortray import errors

COMMANDS = {
    "plan": ctl_settings.plan,
    "apply": ctl_settings.apply,
    "settings": {
        "get": ctl_settings.get,
        "set": ctl_settings.set_values,
        "unset": ctl_settings.unset,
        "explain": ctl_settings.explain,
        "history": ctl_settings.history,
        "revert": ctl_settings.revert,
        "keys": ctl_settings.keys,
        "hash": ctl_settings.hash_secret,
        "status": ctl_hosts.settings_status,
    },
    "job": {
        "submit": ctl_jobs.submit,
        "status": ctl_jobs.status,
        "cancel": ctl_jobs.cancel,
        "results": ctl_jobs.results,
    },
    "host": {
        "list": ctl_hosts.list_hosts,
        "drain": ctl_hosts.drain,
    },
    "explain": ctl_logs.explain,
    "orders": {"status": ctl_hosts.orders_status},
}
EXIT_FAILED = 1


def main() -> None:
    """Run from the command line."""
    try:
        code = defopt.run(COMMANDS)
    except errors.CamphortrayError as error:
        print(f"camphortray-ctl: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    sys.exit(code)


if __name__ == "__main__":
    main()
