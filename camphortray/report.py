"""``camphortray-report``: service-level burn of the whole fleet."""

__all__ = ["burn", "main"]

import asyncio
import pathlib
import sys
import time

import defopt
import msgspec

from camphortray import burn_aggregation
from camphortray import burn_page
from camphortray import burn_rate
from camphortray import ctl_client
from camphortray import errors
from camphortray import plugins

EXIT_FAILED = 1
# Exit code when an alert stands, so that a script can act on it.
EXIT_ALERT = 2
PLUGINS = (plugins,)


def burn(
    *,
    entry: str = ctl_client.ENTRY_ADDRESS,
    log: str = "",
    html: str = "",
    as_json: bool = False,
) -> int:
    """Report the burn of every service and class over several windows.

    Asks all hosts that an entry host knows. A host that does not answer
    is named and never counted as good. Exit code 2 if an alert stands.
    An operator's key is taken from CAMPHORTRAY_KEY.

    Args:
      entry: ``IP:PORT`` of an entry host.
      log: ``IP:PORT`` of the platform's log, to count hosts that are
        gone.
      html: File to write a page with plots to.
      as_json: Print JSON.
    """
    now = time.time()
    longest = max(window.long_s for window in burn_rate.WINDOWS)
    gathered = asyncio.run(burn_aggregation.gather(entry, log, now - longest))
    report = burn_page.Report.from_gathered(gathered, now)
    if html:
        pathlib.Path(html).write_text(burn_page.page(report), "utf-8")
    if as_json:
        shown = {
            "burns": report.burns,
            "harm": report.harms,
            "missing": gathered.missing,
        }
        print(msgspec.json.encode(shown).decode())
    else:
        print(burn_page.text(report))
    return EXIT_ALERT if any(row.alert for row in report.burns) else 0


def main() -> None:
    """Run from the command line."""
    try:
        code = defopt.run({"burn": burn})
    except errors.CamphortrayError as error:
        print(f"camphortray-report: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    sys.exit(code)


if __name__ == "__main__":
    main()
