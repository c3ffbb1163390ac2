"""Selects the route, workspace and service of a request from the configuration."""

import random as random_module
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec
import xxhash

from ..core.clock import Clock, to_s
from .models import (
    GatewayConfiguration,
    RequestKind,
    RouteRule,
    ServiceName,
    WorkspaceRule,
)
from .software_versions import FORGET_AFTER_MS, MAX_RETENTION_MS

MIN_ABANDON_AFTER_MS = 2_000.0
"""Minimum time for which callers wait for a stream's first event, by the users'
protocol."""

ABANDON_AFTER_OBJECTIVES, ABANDON_AFTER_EVENT_GAPS = 4.0, 8.0
"""The same as multiples of the route's objective and of its longest event gap. The
longest of the three times applies."""


@dataclass(frozen=True)
class Match:
    """Route, workspace and priority of a request."""

    route: RouteRule
    workspace: WorkspaceRule | None
    priority: int


class RouteTable:
    """Index of the routes and access keys of one version of the configuration.

    Parameters
    ----------
    configuration : GatewayConfiguration
        The version to index.
    """

    def __init__(self, configuration: GatewayConfiguration):
        self.configuration = configuration
        self._digest = ""
        self._by_prefix = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }
        self._by_key = {
            key: workspace
            for workspace in configuration.workspaces or ()
            for key in workspace.keys
        }

    def find_route(self, host: str, target: str) -> RouteRule | None:
        """Return the route with the longest matching prefix that ends with a slash."""
        for prefix in _prefixes(host, target):
            route = self._by_prefix.get(prefix)
            if route is not None:
                return route
        return None

    def digest(self) -> str:
        """Return a digest of the services to which all routes lead, and of their kinds.

        It does not depend on the order of routes and services, and is the same in all
        processes.
        """
        if not self._digest:
            routes = sorted(
                [*prefix, route.resumable, sorted({name for name, _ in route.services})]
                for prefix, route in self._by_prefix.items()
            )
            self._digest = xxhash.xxh3_128_hexdigest(msgspec.json.encode(routes))
        return self._digest

    def find_workspace(self, key: str | None) -> WorkspaceRule | None:
        """Return the workspace that an access key belongs to."""
        return None if key is None else self._by_key.get(key)

    def named_workspace(self, name: str) -> WorkspaceRule | None:
        """Return the workspace of a name."""
        workspaces = self.configuration.workspaces or ()
        return next((one for one in workspaces if one.name == name), None)

    def needs_key(self, route: RouteRule) -> bool:
        """Return whether requests of a route need a valid access key."""
        return self.configuration.workspaces is not None and not route.public


class FormerRoutes:
    """Services to which earlier configurations sent requests of resumable streams.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._first_s: float | None = None
        self._table: RouteTable | None = None
        """Routes of the configuration in force."""
        self._until_s: dict[tuple[str, str], dict[ServiceName, float]] = {}
        """Times until which routes, by host and prefix, led to services."""
        self._digest_until_s: dict[str, float] = {}
        """Times until which all routes led where these digests tell."""
        self._first_digest = ""
        self._digests_known_before_ms = self._known_before_ms = 0.0

    @property
    def known_ms(self) -> float:
        """For how long it has been known where routes lead; 0 if it is not."""
        return self._elapsed_ms and self._known_before_ms + self._elapsed_ms

    @property
    def digests_known_ms(self) -> float:
        """For how long the digests of all routes have been known; 0 if none is."""
        return self._elapsed_ms and self._digests_known_before_ms + self._elapsed_ms

    @property
    def _elapsed_ms(self) -> float:
        if self._first_s is None:
            return 0.0
        return (self._clock.monotonic_s() - self._first_s) * 1_000.0

    def begin(self, configuration: GatewayConfiguration) -> None:
        """Record the first known configuration."""
        self._first_s = self._clock.monotonic_s()
        self._table = RouteTable(configuration)
        self._first_digest = self._table.digest()

    def add_former(self, digests: Iterable[str]) -> None:
        """Record digests of the routes that were in force until now."""
        now_s = self._clock.monotonic_s()
        for digest in digests:
            self._digest_until_s.setdefault(digest, now_s)

    def add_known(self, before_ms: float) -> None:
        """Record that all digests are known of a time before the start.

        Where the routes led then is known only if that was always where the first known
        configuration leads them.
        """
        self._digests_known_before_ms = before_ms
        if self._digest_until_s.keys() <= {self._first_digest}:
            self._known_before_ms = before_ms

    def digests(self, within_ms: float) -> frozenset[str]:
        """Return digests of the routes that are in force, or were within a time."""
        oldest_s = self._clock.monotonic_s() - to_s(within_ms)
        lately = {
            digest
            for digest, until_s in self._digest_until_s.items()
            if until_s >= oldest_s
        }
        return frozenset(lately | {self._table.digest()})

    def replace(
        self, configuration: GatewayConfiguration, later: GatewayConfiguration
    ) -> None:
        """Record what a later configuration changes."""
        now_s = self._clock.monotonic_s()
        former, table = RouteTable(configuration), RouteTable(later)
        self._table = table
        self._digest_until_s[former.digest()] = now_s
        for prefix in former._by_prefix.keys() | table._by_prefix.keys():
            before, after = former.find_route(*prefix), table._by_prefix.get(prefix)
            if before is None or not before.resumable:
                continue
            services = {service for service, _ in before.services}
            if after is None or services != {service for service, _ in after.services}:
                self._until_s.setdefault(prefix, {}).update(
                    dict.fromkeys(services, now_s)
                )
        oldest_s = now_s - to_s(MAX_RETENTION_MS)
        for prefix, until_s in list(self._until_s.items()):
            if max(until_s.values()) < oldest_s:
                del self._until_s[prefix]
        oldest_s = now_s - to_s(FORGET_AFTER_MS)
        for digest, digest_until_s in list(self._digest_until_s.items()):
            if digest_until_s < oldest_s:
                del self._digest_until_s[digest]

    def services(self, host: str, target: str, within_ms: float) -> set[ServiceName]:
        """Return the services to which a request could lead within a time."""
        oldest_s = self._clock.monotonic_s() - to_s(within_ms)
        return {
            service
            for prefix in _prefixes(host, target)
            for service, until_s in self._until_s.get(prefix, {}).items()
            if until_s >= oldest_s
        }

    def services_with_current(
        self, host: str, target: str, within_ms: float
    ) -> set[ServiceName]:
        """Return the same services and those to which it leads now."""
        services = self.services(host, target, within_ms)
        route = self._table.find_route(host, target) if self._table else None
        if route is not None:
            services.update(service for service, _ in route.services)
        return services


def _prefixes(host: str, target: str) -> Iterator[tuple[str, str]]:
    """Yield the keys under which a table may have a request's route, best first."""
    host = host.lower()
    path = target.partition("?")[0]
    end = path.rfind("/")
    while end >= 0:
        yield host, path[: end + 1]
        end = path.rfind("/", 0, end)


def choose_service(route: RouteRule, random: random_module.Random) -> ServiceName:
    """Choose one of a route's services at random, by weight."""
    if len(route.services) == 1:
        return route.services[0][0]
    names = [name for name, _ in route.services]
    weights = [weight for _, weight in route.services]
    return random.choices(names, weights)[0]


def request_priority(route: RouteRule, workspace: WorkspaceRule | None) -> int:
    """Return the priority of a request, 0 being the highest.

    The workspace's priority overrides that of the route.
    """
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def allowed_regions(
    route: RouteRule, workspace: WorkspaceRule | None
) -> frozenset[str] | None:
    """Return the regions that both route and workspace allow.

    Empty for any, None if there is none that both allow.
    """
    rules = (route, workspace)
    named = [rule.allowed_regions for rule in rules if rule and rule.allowed_regions]
    return frozenset.intersection(*named) or None if named else frozenset()


def abandon_after_ms(route: RouteRule, deadline_ms: float) -> float:
    """Return the time after which a caller abandons a request without a response."""
    if route.kind is not RequestKind.STREAMING:
        return deadline_ms
    timeout_ms = max(
        MIN_ABANDON_AFTER_MS,
        ABANDON_AFTER_OBJECTIVES * route.objective_ms,
        ABANDON_AFTER_EVENT_GAPS * route.max_event_gap_ms,
    )
    return min(deadline_ms, timeout_ms)
