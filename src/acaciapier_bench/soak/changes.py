"""Changes of the configuration that change what is served, and how."""

import copy
import random as random_module
from typing import Any

from acaciapier_standins.platform.example import KINDS, ROUTES
from acaciapier_standins.platform.platform import configuration, route

RESUMABLE = "mail"
"""Route whose streams callers resume."""

TIMEOUTS_MS = (1_000, 2_000, 4_000)
STREAM_TIMEOUTS_MS = (600, 2_000)
IDLE_TIMEOUTS_MS = (150, 400, 1_000, 5_000)
MOST_NEW_ROUTES = 300
CALLERS_KEY, OTHER_KEY = "soak-1", "soak-2"
KNOWN_LATE_S = 2.0
"""Time after which callers know a change, and all gateways have applied it."""

REUSED_SHARE = 0.8
"""Share of the idle timeout for which callers reuse a connection."""

TIMEOUT_SLACK_S = 0.05


class Changes:
    """Makes the configurations of a soak and knows which of them may be in force.

    Parameters
    ----------
    services : list of dict
        Services of the first configuration.
    """

    def __init__(self, services: list[dict[str, Any]]):
        self._services = services
        self._version = 1
        self._written: list[tuple[float, dict[str, Any]]] = []
        """Times and configurations."""

    def first(self, now_s: float) -> dict[str, Any]:
        """Return the first configuration."""
        return self._record(now_s, configuration(1, ROUTES, self._services))

    def renumbered(self, now_s: float, random: random_module.Random) -> dict[str, Any]:
        """Return the first configuration under a new version."""
        self._version += random.randint(1, 5)
        return self._record(now_s, configuration(self._version, ROUTES, self._services))

    def retimed(self, now_s: float, random: random_module.Random) -> dict[str, Any]:
        """Return the first configuration with another timeout of resumable streams."""
        self._version += random.randint(1, 5)
        timeout_ms = random.choice(STREAM_TIMEOUTS_MS)
        routes = [
            one | {"timeout_ms": timeout_ms} if one["name"] == RESUMABLE else one
            for one in ROUTES
        ]
        return self._record(now_s, configuration(self._version, routes, self._services))

    def restricted(
        self, now_s: float, random: random_module.Random, region: str
    ) -> dict[str, Any]:
        """Return the first configuration with all routes restricted to a region."""
        self._version += random.randint(1, 5)
        routes = [one | {"allowed_regions": [region]} for one in ROUTES]
        return self._record(now_s, configuration(self._version, routes, self._services))

    def changed(self, now_s: float, random: random_module.Random) -> dict[str, Any]:
        """Return a configuration in which several things differ."""
        self._version += random.randint(1, 5)
        routes = [one | {"timeout_ms": random.choice(TIMEOUTS_MS)} for one in ROUTES]
        for one in routes:
            one["max_attempts"] = random.randint(1, one["max_attempts"])
            if random.random() < 0.3:
                service = {"service": one["service"], "weight": random.random() + 0.1}
                one["backends"] = [service]
        if random.random() < 0.3:
            routes.pop(random.randrange(len(routes)))
        routes += [
            route(f"new-{number}", "idempotent", random.choice(sorted(KINDS)))
            for number in range(random.choice((0, 1, MOST_NEW_ROUTES)))
        ]
        random.shuffle(routes)
        services = copy.deepcopy(self._services)
        for service in services:
            service["max_conns"] = random.choice((20, 100))
            if "engine" in service:
                service["engine"]["slots"] = random.choice((8, 16))
        random.shuffle(services)
        made = configuration(self._version, routes, services)
        made["limits"]["idle_timeout_ms"] = random.choice(IDLE_TIMEOUTS_MS)
        if random.random() < 0.3:
            keys = random.choice(([CALLERS_KEY], [CALLERS_KEY, OTHER_KEY], [OTHER_KEY]))
            made["tenants"] = [{"name": "soak", "api_keys": keys}]
        return self._record(now_s, made)

    def reused_s(self, now_s: float) -> float:
        """Return for how long callers, who know changes late, reuse a connection."""
        known = [made for at_s, made in self._written if at_s <= now_s - KNOWN_LATE_S]
        limits = (known[-1] if known else self._written[0][1])["limits"]
        return REUSED_SHARE * limits["idle_timeout_ms"] / 1_000.0

    def reached_timeout(self, kind: str, sent_s: float, ended_s: float) -> bool:
        """Return whether a request took as long as a timeout that its route had."""
        shortest_s = min(
            (
                one["timeout_ms"] / 1_000.0
                for made in self._in_force(sent_s, ended_s)
                for one in made["routes"]
                if one["name"] == kind
            ),
            default=0.0,
        )
        return ended_s - sent_s >= shortest_s - TIMEOUT_SLACK_S

    def _in_force(self, from_s: float, to_s: float) -> list[dict[str, Any]]:
        before = [one for one in self._written if one[0] <= from_s - KNOWN_LATE_S]
        later = [one for one in self._written if from_s - KNOWN_LATE_S < one[0] <= to_s]
        return [made for _, made in before[-1:] + later]

    def _record(self, now_s: float, made: dict[str, Any]) -> dict[str, Any]:
        self._written.append((now_s, made))
        return made
