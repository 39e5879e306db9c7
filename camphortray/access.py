"""Decides on whose behalf a request runs, by the key that its caller shows."""

__all__ = ["AccessControl", "Caller", "NOBODY"]

from collections.abc import Iterable
import dataclasses

from camphortray import errors
from camphortray import keyring
from camphortray import routemap


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """On whose behalf a request runs.

    Attributes:
      workspace: Its name; empty where no key is needed.
      revision: Version of the configuration that says so.
      priority: Rank of its online requests; None for that of the route.
    """

    workspace: str = ""
    revision: int = 0
    priority: int | None = None

    def rank(self, route: routemap.Route) -> int:
        """Return the rank of its requests on a route, 0 first.

        >>> route = routemap.Route("r", "h", "/", routemap.Kind.STREAM, ())
        >>> Caller().rank(route), Caller("a", 1, 2).rank(route)
        (0, 2)
        """
        return route.priority if self.priority is None else self.priority


NOBODY = Caller()


class AccessControl:
    """Workspaces and their keys under one version of the configuration.

    Attributes:
      revision: The version.
      needs_key: Whether callers show keys at all.
      callers: By name of their workspace.
    """

    def __init__(self, view: routemap.Configuration) -> None:
        self.revision = view.revision
        self.needs_key = view.workspaces is not None
        self.nobody = Caller(revision=view.revision)
        self.callers: dict[str, Caller] = {}
        self.keys = keyring.Keyring()
        for held in view.workspaces or ():
            self.keys.add(held.name, held.key_hashes)
            self.callers[held.name] = Caller(
                held.name, view.revision, held.priority
            )

    def admit(self, route: routemap.Route, key_hash: str) -> Caller:
        """Return on whose behalf a request runs.

        Args:
          route: Where it goes.
          key_hash: Of the key that it shows; empty if it shows none.

        Raises:
          Refused: no workspace holds its key.
        """
        if not self.needs_key or route.anonymous:
            return self.nobody
        return self.holder(key_hash)

    def admit_job_call(
        self, routes: Iterable[routemap.Route], key_hash: str
    ) -> str | None:
        """Return the workspace whose jobs a call may see, None for all jobs.

        A call on a job that was accepted earlier names no route.

        Args:
          routes: Those of the host name that it was sent to.
          key_hash: As for ``admit``.

        Raises:
          Refused: no workspace holds its key.
        """
        if not self.needs_key:
            return None
        try:
            return self.holder(key_hash).workspace
        except errors.Refused:
            if any(
                route.anonymous and route.kind is routemap.Kind.BATCH
                for route in routes
            ):
                return ""
            raise

    def holder(self, key_hash: str) -> Caller:
        """Return who holds a key.

        Raises:
          Refused: nobody does.
        """
        name = self.keys.holder(key_hash)
        if name is None:
            why = "key of no workspace" if key_hash else "no key"
            raise errors.Refused(401, "bad_key", why, field="key")
        return self.callers[name]
