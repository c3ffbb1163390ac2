"""Choice of a request's route, workspace and service by the configuration."""

import random as random_module
from dataclasses import dataclass

from .models import GatewayConfiguration, RouteRule, ServiceName, TenantRule


@dataclass(frozen=True)
class Match:
    """Route and workspace of a request."""

    route: RouteRule
    tenant: TenantRule | None
    priority: int


class RouteTable:
    """Routes and keys of one version of the configuration, for quick look-ups.

    Parameters
    ----------
    configuration : GatewayConfiguration
        The version.
    """

    def __init__(self, configuration: GatewayConfiguration):
        self.configuration = configuration
        self._by_prefix = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }
        self._by_key = {
            key: tenant for tenant in configuration.tenants or () for key in tenant.keys
        }

    def find_route(self, host: str, target: str) -> RouteRule | None:
        """Return the route with the longest prefix, which ends with a slash."""
        host = host.lower()
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_tenant(self, key: str | None) -> TenantRule | None:
        """Return the workspace that holds a key."""
        return None if key is None else self._by_key.get(key)

    def needs_key(self, route: RouteRule) -> bool:
        """Return whether requests of a route need a known key."""
        return self.configuration.tenants is not None and not route.public


def choose_service(route: RouteRule, random: random_module.Random) -> ServiceName:
    """Choose one of a route's services by weight."""
    if len(route.services) == 1:
        return route.services[0][0]
    names = [name for name, _ in route.services]
    weights = [weight for _, weight in route.services]
    return random.choices(names, weights)[0]


def request_priority(route: RouteRule, tenant: TenantRule | None) -> int:
    """Return the rank of a request, 0 first; a workspace's own goes before."""
    if tenant is not None and tenant.priority is not None:
        return tenant.priority
    return route.priority
