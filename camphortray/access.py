"""Finds the workspace that a request runs for, by its caller's key."""

__all__ = ["ANONYMOUS", "AccessControl", "Caller"]

from collections.abc import Iterable

import msgspec

from camphortray import errors
from camphortray import keyring
from camphortray import routemap


class Caller(msgspec.Struct, frozen=True):
    """The caller that a request runs for.

    Attributes:
      workspace: Name of its workspace; empty where no key is needed.
      revision: Version of the configuration that it was looked up in.
      priority: Rank of its online requests; None to use the route's.
      limit: Limit on the online requests of its workspace.
    """

    workspace: str = ""
    revision: int = 0
    priority: int | None = None
    limit: routemap.RateLimit = routemap.NO_LIMIT

    def rank(self, route: routemap.Route) -> int:
        """Return the rank of its requests on a route, 0 first.

        >>> route = routemap.Route("r", "h", "/", routemap.Kind.STREAM, ())
        >>> Caller().rank(route), Caller("a", 1, 2).rank(route)
        (0, 2)
        """
        return route.priority if self.priority is None else self.priority


ANONYMOUS = Caller()


class AccessControl:
    """Workspaces and their keys under one version of the configuration.

    Attributes:
      revision: Version of the configuration.
      needs_key: Whether callers need a key, except on anonymous routes.
      anonymous: The caller of a request that needs no key.
      callers: Callers by name of their workspace.
      keys: Workspace names by key.
      mean_limit_per_s: Mean rate of the limits, 1 without any.
    """

    def __init__(self, view: routemap.Configuration) -> None:
        self.revision = view.revision
        self.needs_key = view.workspaces is not None
        self.anonymous = Caller(revision=view.revision)
        self.callers: dict[str, Caller] = {}
        self.keys = keyring.Keyring()
        for workspace in view.workspaces or ():
            self.keys.add(workspace.name, workspace.key_hashes)
            self.callers[workspace.name] = Caller(
                workspace.name,
                view.revision,
                workspace.priority,
                workspace.limit,
            )
        limits = [c.limit.per_s for c in self.callers.values()]
        limited = [per_s for per_s in limits if per_s]
        self.mean_limit_per_s = sum(limited) / len(limited) if limited else 1.0

    def limit_of(self, workspace: str) -> routemap.RateLimit:
        """Return the limit on the online requests of a workspace."""
        return self.callers.get(workspace, self.anonymous).limit

    def weight_of(self, workspace: str) -> float:
        """Return the weight of a workspace where slots are short.

        It is the rate of its limit; without a limit, the mean of all.
        """
        return self.limit_of(workspace).per_s or self.mean_limit_per_s

    def admit(self, route: routemap.Route, key_hash: str) -> Caller:
        """Return the caller that a request runs for.

        Args:
          route: Route of the request.
          key_hash: Hash of the caller's key; empty if it sent none.

        Raises:
          Refused: the key belongs to no workspace.
        """
        if not self.needs_key or route.anonymous:
            return self.anonymous
        return self.holder(key_hash)

    def admit_job_call(
        self, routes: Iterable[routemap.Route], key_hash: str
    ) -> str | None:
        """Return the workspace whose jobs a call may see, None for all jobs.

        A call on a job that was accepted earlier names no route.

        Args:
          routes: Routes of the host name that it was sent to.
          key_hash: As for ``admit``.

        Raises:
          Refused: the key belongs to no workspace.
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
        """Return the caller to whose workspace a key belongs.

        Raises:
          Refused: the key belongs to no workspace.
        """
        name = self.keys.holder(key_hash)
        if name is None:
            why = "key of no workspace" if key_hash else "no key"
            raise errors.Refused(401, "bad_key", why, field="key")
        return self.callers[name]
