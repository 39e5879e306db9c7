"""Load experiments: a trace, callers and faults, declared in TOML."""

__all__ = ["Experiment", "FaultPlan", "from_file", "from_text"]

import ipaddress
import pathlib
import tomllib
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from camphortray import check
from camphortray import config as configs
from camphortray import errors

# Longest experiment, in seconds, and most requests in flight at once.
MAX_SECONDS = 7200
MAX_IN_FLIGHT = 5000

TraceName = Literal["winter-morning", "open-day-weekend", "night"]


class FaultPlan(msgspec.Struct, frozen=True):
    """One fault of a stand-in, switched at a time.

    Attributes:
      at_s: Seconds from the start of the trace.
      address: ``IP:PORT`` of the stand-in.
      name: Name of the fault; see docs/STANDINS.md.
      value: New value; one fault is on with true and off with false.
    """

    at_s: Annotated[float, msgspec.Meta(ge=0)]
    address: configs.AddressText
    name: str
    value: bool | int | float | str = True


class Experiment(msgspec.Struct, frozen=True):
    """What to send, for how long, and what to break.

    Attributes:
      name: Shown in reports.
      addresses: Entry addresses to begin with; ``/v1/hosts`` of one of
        them gives those in use.
      model: Model asked for.
      keys: Keys of the workspaces that ask; they take turns as the trace
        draws them.
      trace: Name of the trace.
      seed: The same seed sends the same requests at the same times.
      seconds: Length of the trace.
      scale: Factor on the rates of the trace.
      stream: Whether answers are streamed.
      deadline_s: Told with each request, and the longest wait for it.
      max_in_flight: Requests open at once; one that comes beyond is
        counted as not sent.
      faults: In any order.
    """

    name: str
    addresses: Annotated[
        tuple[configs.AddressText, ...], msgspec.Meta(min_length=1)
    ]
    model: str
    keys: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    trace: TraceName = "winter-morning"
    seed: int = 1
    seconds: Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)] = 60.0
    scale: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    stream: bool = True
    deadline_s: Annotated[float, msgspec.Meta(gt=0)] = 30.0
    max_in_flight: Annotated[int, msgspec.Meta(ge=1, le=MAX_IN_FLIGHT)] = 1000
    faults: tuple[FaultPlan, ...] = ()

    def remote(self) -> list[str]:
        """Return the addresses that are not of this machine."""
        named = [*self.addresses, *(plan.address for plan in self.faults)]
        return [text for text in named if not is_loopback(text)]


def is_loopback(text: str) -> bool:
    """Return whether an address is of this machine.

    >>> is_loopback("127.0.0.1:80"), is_loopback("192.0.2.1:80")
    (True, False)
    """
    address = configs.Address.from_text(text)
    return ipaddress.ip_address(address.ip).is_loopback


def from_text(text: str, file: str = "") -> Experiment:
    """Read an experiment from TOML.

    Raises:
      ConfigError: it does not pass its check; every fault is named.
    """
    try:
        data: dict[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = errors.Fault(file, "(file)", str(error), "TOML")
        raise errors.ConfigError((fault,)) from error
    planned = data.pop("fault", [])
    faults: list[errors.Fault] = []
    plans = []
    for number, entry in enumerate(planned):
        outcome = check.build(
            FaultPlan, entry, file=file, key=f"fault[{number}]"
        )
        if outcome.is_ok():
            plans.append(outcome.unwrap())
        else:
            faults.extend(outcome.unwrap_err())
    built = check.build(Experiment, data, file=file)
    if built.is_err():
        faults = [*built.unwrap_err(), *faults]
    if faults:
        raise errors.ConfigError(tuple(faults))
    return msgspec.structs.replace(built.unwrap(), faults=tuple(plans))


def from_file(path: str) -> Experiment:
    """Read an experiment from a file; see ``from_text``."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        fault = errors.Fault(path, "(file)", error.strerror or "", "a file")
        raise errors.ConfigError((fault,)) from error
    return from_text(text, path)
