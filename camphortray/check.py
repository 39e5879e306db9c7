"""Checks values against structs and lists every fault at once."""

__all__ = ["build", "describe"]

import typing
from typing import Any
from typing import TypeVar

import msgspec
import result

from camphortray import errors

T = TypeVar("T", bound=msgspec.Struct)


def describe(hint: Any) -> str:
    """Return words for what a type hint accepts, for error lines.

    >>> describe(int)
    'int'
    """
    if typing.get_origin(hint) is typing.Annotated:
        base, *notes = typing.get_args(hint)
        limits = [words(note) for note in notes]
        return " ".join([describe(base), *filter(None, limits)])
    if typing.get_origin(hint) is typing.Literal:
        return " or ".join(str(choice) for choice in typing.get_args(hint))
    if typing.get_origin(hint) is tuple:
        return f"a list of {describe(typing.get_args(hint)[0])}"
    return getattr(hint, "__name__", None) or str(hint)


def words(note: Any) -> str:
    """Return the limits of a ``msgspec.Meta`` in words."""
    if not isinstance(note, msgspec.Meta):
        return ""
    signs = (
        ("gt", ">"),
        ("ge", ">="),
        ("lt", "<"),
        ("le", "<="),
        ("pattern", "like"),
        ("min_length", "of length >="),
    )
    return " ".join(
        f"{sign} {getattr(note, name)}"
        for name, sign in signs
        if getattr(note, name) is not None
    )


def build(
    cls: type[T], data: Any, *, file: str = "", key: str = ""
) -> result.Result[T, tuple[errors.Fault, ...]]:
    """Build ``cls`` from plain data.

    Args:
      cls: A frozen ``msgspec.Struct``; nested ones are checked in turn.
      data: A mapping, as read from TOML.
      file: Name of the file, for the faults.
      key: Dotted key of ``data`` in the file.

    Returns:
      ``Ok`` of the instance or ``Err`` of all faults found.
    """
    if not isinstance(data, dict):
        fault = errors.Fault(file, key or "(top)", repr(data), "a table")
        return result.Err((fault,))
    fields = {f.name: f for f in msgspec.structs.fields(cls)}
    faults = unknown_keys(data, set(fields), file, key)
    values: dict[str, Any] = {}
    for name, field in fields.items():
        dotted = f"{key}.{name}" if key else name
        if name not in data and not field.required:
            continue
        outcome = one_field(field.type, name, data, file, dotted)
        if outcome.is_ok():
            values[name] = outcome.unwrap()
        else:
            faults.extend(outcome.unwrap_err())
    if faults:
        return result.Err(tuple(faults))
    return result.Ok(cls(**values))


def one_field(
    hint: Any, name: str, data: dict[str, Any], file: str, dotted: str
) -> result.Result[Any, tuple[errors.Fault, ...]]:
    """Check one field; nested structs give their own faults."""
    if isinstance(hint, msgspec.StructMeta):
        nested: Any = hint
        return build(nested, data.get(name, {}), file=file, key=dotted)
    if name not in data:
        return result.Err(
            (errors.Fault(file, dotted, "nothing", describe(hint)),)
        )
    try:
        return result.Ok(msgspec.convert(data[name], hint))
    except msgspec.ValidationError:
        fault = errors.Fault(file, dotted, repr(data[name]), describe(hint))
        return result.Err((fault,))


def unknown_keys(
    data: dict[str, Any], known: set[str], file: str, key: str
) -> list[errors.Fault]:
    """Return a fault for each key that no field has."""
    faults = []
    for name in data:
        if name in known:
            continue
        # Only faulty settings need it, and every start would import it.
        import difflib

        near = difflib.get_close_matches(name, known, n=1)
        expected = f"perhaps {near[0]}" if near else "no such key"
        dotted = f"{key}.{name}" if key else name
        faults.append(errors.Fault(file, dotted, "a key", expected))
    return faults
