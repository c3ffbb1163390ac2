"""Reads the settings of a running process again."""

import signal
from collections.abc import Callable
from dataclasses import fields

import trio

from ..core.tasks import Report
from ..exceptions import FindingsError
from .settings import GatewaySettings

SETTINGS_RELOAD_PERIOD_S = 2.0
"""Period of reading the settings file again; equals the time within which operators
require a new configuration version to be in force."""


class SettingsReloader:
    """Reads the settings again at a signal, and periodically.

    Parameters
    ----------
    settings : GatewaySettings
        Settings at the start of the process.
    reread : callable
        Reads the settings again; raises `FindingsError`.
    apply : callable
        Called with the settings that were read.
    log : callable
        Writes a log event, given as a kind and fields.
    report : callable
        Called with an unexpected error of a reload at a signal.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        reread: Callable[[], GatewaySettings],
        apply: Callable[[GatewaySettings], None],
        log: Callable[..., None],
        report: Report,
    ):
        self._settings = settings
        self._reread = reread
        self._apply = apply
        self._log = log
        self._report = report

    async def watch_signal(self) -> None:
        """Reload the settings at each SIGHUP, until cancelled."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                try:
                    self.reload("signal")
                except Exception as error:
                    self._report(error)

    async def reload_periodically(self) -> None:
        """Reload the settings for changes that no signal announces, until cancelled."""
        while True:
            await trio.sleep(SETTINGS_RELOAD_PERIOD_S)
            self.reload("period")

    def reload(self, reason: str) -> None:
        """Read and apply the settings; malformed ones change nothing."""
        try:
            settings = self._reread()
        except FindingsError as error:
            self._log("settings_rejected", reason=reason, error=str(error))
            return
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        if reason == "signal" or changed:
            self._log("settings_reloaded", reason=reason, changed=changed)
        self._settings = settings
        self._apply(settings)
