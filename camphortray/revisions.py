"""Whatever has numbered settings in force on a host."""

__all__ = ["Revisions"]

import abc
from collections.abc import Callable
from typing import Any
from typing import ClassVar

from camphortray import kernel


class Revisions(kernel.Part):
    """Whatever has numbered settings in force on this host.

    Attributes:
      view: What is in force; its ``revision`` never goes back.
    """

    name: ClassVar[str] = "settings"
    view: Any

    @abc.abstractmethod
    def listen(self, listener: Callable[[Any], None]) -> None:
        """Call ``listener`` with each new view, and with the present one."""
