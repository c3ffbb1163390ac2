"""Route handlers for status, drains, releases and costs."""

from dataclasses import dataclass

from ..configuration import ConfigurationLog
from ..core.ids import Fingerprint
from .bodies import CostsBody, DoneBody, DrainBody, ReleaseBody, StatusBody
from .errors import ApiError, ErrorKind
from .interfaces import Costs, Drains, FleetStatus, Releases
from .operators import Role
from .routes import Call, Router


@dataclass(frozen=True)
class FleetControls:
    """Controls of the fleet; calls to a control that is None get status 501."""

    status: FleetStatus | None = None
    drains: Drains | None = None
    releases: Releases | None = None
    costs: Costs | None = None


class OperationHandlers:
    """Handles calls that observe or control the running fleet.

    Parameters
    ----------
    configuration : ConfigurationLog
        Source of the newest configuration number.
    controls : FleetControls
        Implementations of the calls.
    """

    def __init__(self, configuration: ConfigurationLog, controls: FleetControls):
        self._log = configuration
        self._controls = controls

    def add_to(self, router: Router) -> None:
        """Register the routes with `router`."""
        router.add("GET", "/v1/status", Role.VIEWER, self.status)
        router.add("GET", "/v1/costs", Role.VIEWER, self.costs)
        router.add("POST", "/v1/drains", Role.OPERATOR, self.drain)
        router.add("POST", "/v1/releases", Role.OPERATOR, self.release)

    async def status(self, call: Call) -> StatusBody:
        """Return the newest known number and the status of each instance.

        Does not read the store, so that it also works during a store outage.
        """
        status = _require(self._controls.status, "status")
        instances = tuple(await status.instances())
        known = [instance.configuration_number for instance in instances]
        newest = max([self._log.state.number, *known])
        return StatusBody(newest, instances)

    async def costs(self, call: Call) -> CostsBody:
        """Return costs by workspace, pipeline and stage."""
        costs = _require(self._controls.costs, "costs")
        return CostsBody(tuple(await costs.costs(call.query.get("workspace"))))

    async def drain(self, call: Call) -> DoneBody:
        """Take an instance or a target out of service."""
        body = call.decode_body(DrainBody)
        drains = _require(self._controls.drains, "drains")
        if not await drains.drain(body.kind, body.id):
            raise ApiError(ErrorKind.NOT_FOUND, f"there is no {body.kind} {body.id}")
        return DoneBody(f"{body.kind} {body.id} is draining")

    async def release(self, call: Call) -> DoneBody:
        """Release a blocked fingerprint."""
        body = call.decode_body(ReleaseBody)
        releases = _require(self._controls.releases, "releases")
        if not await releases.release(Fingerprint(body.fingerprint)):
            message = f"fingerprint {body.fingerprint} is not blocked"
            raise ApiError(ErrorKind.NOT_FOUND, message)
        return DoneBody(f"fingerprint {body.fingerprint} is released")


def _require(control, name: str):
    if control is None:
        raise ApiError(ErrorKind.NOT_IMPLEMENTED, f"this instance has no {name}")
    return control
