"""What a configuration's workspaces cost a host as it takes them.

``python -m bench.keys [--workspaces N,...]`` prints, for each number of
workspaces with two keys each, the bytes of the record, the milliseconds to
read it and to make the look-up, and the microseconds of one look-up.
"""

__all__ = ["main"]

import time

from camphortray_platform import config_decoder
import defopt
import msgspec

from camphortray import access
from camphortray import keyring
from camphortray import routemap

KEYS_EACH = 2
REPEATS = 5
LOOK_UPS = 10_000
ROUTE = routemap.Route("r", "h", "/", routemap.Kind.STREAM, ())


def record(workspaces: int) -> bytes:
    """Return the operator's record with so many workspaces."""
    tenants = tuple(
        config_decoder.TenantText(
            f"w{number}",
            tuple(f"{number:018d}-{key}" for key in range(KEYS_EACH)),
            1,
        )
        for number in range(workspaces)
    )
    text = config_decoder.ConfigurationText(1, tenants=tenants)
    return msgspec.json.encode(text)


def measure(workspaces: int) -> tuple[int, float, float, float]:
    """Return the bytes, and the least seconds of reading, making, look-up."""
    value = record(workspaces)
    dialect = config_decoder.PlatformDialect()
    least = [float("inf")] * 3
    for _ in range(REPEATS):
        begun = time.perf_counter()
        view = dialect.configuration("config", value)
        assert view is not None
        read = time.perf_counter()
        held = access.AccessControl(view)
        made = time.perf_counter()
        for number in range(LOOK_UPS):
            key = f"{number % workspaces:018d}-0"
            held.admit(ROUTE, keyring.hash_key(key))
        done = time.perf_counter()
        spans = read - begun, made - read, (done - made) / LOOK_UPS
        least = [min(pair) for pair in zip(least, spans, strict=True)]
    return len(value), least[0], least[1], least[2]


def show(*, workspaces: tuple[int, ...] = (87, 870, 6900)) -> int:
    """Print a line for each number of workspaces.

    Args:
      workspaces: How many there are.
    """
    for count in workspaces:
        size, read_s, make_s, look_s = measure(count)
        print(
            f"{count} workspaces: {size} bytes, read {read_s * 1e3:.1f} ms,"
            f" made {make_s * 1e3:.1f} ms, look-up {look_s * 1e6:.2f} us"
        )
    return 0


def main() -> None:
    """Run from the command line."""
    defopt.run(show)


if __name__ == "__main__":
    main()
