"""Families of plug-ins that register themselves."""

__all__ = ["Registry", "load_modules"]

from collections.abc import Callable
import importlib
from typing import Generic
from typing import TypeVar

from camphortray import errors

T = TypeVar("T")


class Registry(Generic[T]):
    """Named classes of one family, e.g. all log services.

    >>> colours: Registry[object] = Registry("colour")
    >>> @colours.register("red")
    ... class Red: pass
    >>> colours.get("red") is Red
    True
    """

    def __init__(self, family: str) -> None:
        self.family = family
        self.classes: dict[str, type[T]] = {}

    def register(self, name: str) -> Callable[[type], type]:
        """Return a class decorator that registers under ``name``."""

        def decorate(cls: type) -> type:
            self.classes[name] = cls
            return cls

        return decorate

    def get(self, name: str) -> type[T]:
        """Return the class registered as ``name``.

        Raises:
          PluginError: nothing is registered under that name.
        """
        try:
            return self.classes[name]
        except KeyError:
            known = ", ".join(sorted(self.classes)) or "none"
            raise errors.PluginError(
                f"no {self.family} plug-in {name!r}; known: {known}",
                step="load",
            ) from None


def load_modules(names: tuple[str, ...]) -> None:
    """Import modules whose plug-ins register on import.

    Raises:
      PluginError: a module cannot be imported.
    """
    for name in names:
        try:
            importlib.import_module(name)
        except ImportError as error:
            raise errors.PluginError(
                f"cannot import: {error}", step="load", peer=name
            ) from error
