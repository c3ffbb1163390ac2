"""Reads the platform's settings file, which has lines of the form ``a.b=value``."""

import os
from collections.abc import Mapping
from pathlib import Path

from ..core.findings import Findings
from ..core.ids import DataCentreId, InstanceId, RegionId
from ..gateway.settings import (
    DEFAULT_MEMORY_MB,
    DEFAULT_WORKER_HEARTBEAT_MS,
    Address,
    GatewayBounds,
    GatewaySettings,
    StoreSettings,
)

PATH_VARIABLE = "ACACIAPIER_BOOT"
FLEET_KEY_VARIABLE = "ACACIAPIER_FLEET_KEY"
MS_PER_S = 1_000.0
MIN_FLEET_KEY_CHARS = 16
REGION_PREFIX = "zones."


def settings_path() -> Path:
    """Return the path of the settings file, from the environment or the default."""
    return Path(os.environ.get(PATH_VARIABLE, "/etc/acaciapier/node.conf"))


def read_settings(path: Path, environment: Mapping[str, str]) -> GatewaySettings:
    """Read and validate the settings file.

    Raises
    ------
    FindingsError
        If fields are missing or malformed; it lists all of them.
    """
    findings = Findings()
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        findings.add("(whole file)", str(error))
        findings.raise_if_any(str(path))
    settings = decode_settings(text, environment, findings)
    findings.raise_if_any(str(path))
    return settings


def decode_settings(
    text: str, environment: Mapping[str, str], findings: Findings
) -> GatewaySettings:
    """Decode the text of a settings file; problems are added to `findings`."""
    fields = _Fields(_split(text, findings), findings)
    defaults = GatewayBounds()
    fleet_key = environment.get(FLEET_KEY_VARIABLE, "")
    if len(fleet_key) < MIN_FLEET_KEY_CHARS:
        findings.add(FLEET_KEY_VARIABLE, f"needs {MIN_FLEET_KEY_CHARS} characters")
    return GatewaySettings(
        instance=InstanceId(fields.text("node")),
        data_centre=DataCentreId(fields.text("zone")),
        region=RegionId(fields.text("region")),
        front=fields.address("listen.front"),
        ready=fields.address("listen.ready"),
        control=fields.address("listen.control"),
        seeds=fields.addresses("seeds"),
        store=StoreSettings(
            fields.address("platform.addr"),
            fields.number("platform.reads_per_s", 1_000.0),
            fields.number("platform.writes_per_s", 200.0),
        ),
        bounds=GatewayBounds(
            drain_ms=fields.number("bounds.drain_ms", defaults.drain_ms),
            stop_grace_ms=fields.number(
                "bounds.grace_s", defaults.stop_grace_ms / MS_PER_S
            )
            * MS_PER_S,
            stable_ms=fields.number("bounds.stable_ms", defaults.stable_ms),
            retry_ratio=fields.number("bounds.retry_ratio", defaults.retry_ratio),
            retry_window_ms=fields.number(
                "bounds.retry_window_s", defaults.retry_window_ms / MS_PER_S
            )
            * MS_PER_S,
            retry_slack=fields.number("bounds.retry_slack", defaults.retry_slack),
            # Not a delay of retries: a part that is read again later costs nothing.
            prefix_reuse_ms=fields.number(
                "bounds.retry_after_s", defaults.prefix_reuse_ms / MS_PER_S
            )
            * MS_PER_S,
            evacuate_ms=fields.optional_number("bounds.evacuate_ms"),
            cold_burst=fields.optional_number("bounds.cold_burst"),
            cold_slack=fields.optional_number("bounds.cold_slack"),
        ),
        fleet_key=fleet_key.encode(),
        max_descriptors=int(fields.number("limits.max_fds", 1_024)),
        link_mbps=fields.number("limits.link_mbps", 1_000.0),
        # `cpu_share` is a share of one core, and `cores` the speed of that core as a
        # multiple of a standard core.
        cores=fields.number("limits.cpu_share", 1.0)
        * fields.number("limits.cores", 1.0),
        memory_mb=fields.number("limits.memory_mb", DEFAULT_MEMORY_MB),
        worker_heartbeat_ms=fields.number("heartbeat_ms", DEFAULT_WORKER_HEARTBEAT_MS),
        first_start=fields.is_true("bootstrap"),
        regions=fields.regions(),
    )


class _Fields:
    """Typed access to the fields; missing and malformed ones are added to findings."""

    def __init__(self, values: Mapping[str, str], findings: Findings):
        self._values = values
        self._findings = findings

    def text(self, name: str) -> str:
        value = self._values.get(name, "")
        if not value:
            self._findings.add(name, "is missing")
        return value

    def number(self, name: str, default: float) -> float:
        value = self._values.get(name)
        if value is None or value == "":
            return default
        try:
            return float(value)
        except ValueError:
            self._findings.add(name, f"{value!r} is not a number")
            return default

    def optional_number(self, name: str) -> float | None:
        return self.number(name, 0.0) if self._values.get(name) else None

    def regions(self) -> dict[DataCentreId, RegionId]:
        """Return the region of each data centre, the own one included."""
        regions = {
            DataCentreId(name.removeprefix(REGION_PREFIX)): RegionId(value)
            for name, value in self._values.items()
            if name.startswith(REGION_PREFIX) and value
        }
        own = DataCentreId(self._values.get("zone", ""))
        return {own: RegionId(self._values.get("region", ""))} | regions

    def is_true(self, name: str) -> bool:
        return self._values.get(name) == "true"

    def address(self, name: str) -> Address:
        value = self.text(name)
        return self._address(name, value) if value else Address("", 0)

    def addresses(self, name: str) -> tuple[Address, ...]:
        values = filter(None, self._values.get(name, "").split(","))
        return tuple(self._address(name, value) for value in values)

    def _address(self, name: str, value: str) -> Address:
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            self._findings.add(name, f"{value!r} is not an address")
            return Address("", 0)
        return Address(host, int(port))


def _split(text: str, findings: Findings) -> dict[str, str]:
    """Return the fields by name; blank lines are skipped and unknown names allowed."""
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        name, separator, value = line.partition("=")
        if not separator:
            findings.add(f"line {number}", "has no '='")
            continue
        values[name.strip()] = value.strip()
    return values
