"""Simulated weight store of the platform, with a rate limit in bytes."""

from typing import Any

import trio

from .budget import TokenBucket
from .http import Request, Response, retry_after
from .records import CallCounter
from .settings import WeightStoreSettings
from .standin import Standin, build_standin


class WeightStore(Standin):
    """A store whose loads share one allowance of bytes per second."""

    def __init__(self, settings: WeightStoreSettings):
        super().__init__(settings)
        self.call_counter = CallCounter()
        self.loading = 0
        self.most_loading = 0
        self._allowance = TokenBucket(
            settings.allowance_bytes_per_s, settings.allowance_burst_bytes
        )
        self.app.add("GET", "/v1/weights/*/*", self._load)

    def report(self) -> dict[str, Any]:
        """Return loads by model and version, and the most concurrent loads."""
        return {**self.call_counter.report(), "most_loading": self.most_loading}

    async def _load(self, request: Request) -> Response:
        model, version = request.segments[2:]
        self.call_counter.count(model, version)
        refusal = await self.faults.apply_outage_or_delay(request)
        if refusal is not None:
            return refusal
        size = self.settings.size_bytes.get(model, self.settings.default_size_bytes)
        charge = min(size, self.settings.allowance_burst_bytes)
        wait_s = self._allowance.take(charge, trio.current_time())
        if wait_s > 0:
            self.call_counter.count_refused(model, version)
            return retry_after(429, "over_allowance", wait_s)
        await self._transfer(size)
        self.faults.drop_answer_if_drawn()
        return Response({"model": model, "version": version, "size_bytes": size})

    async def _transfer(self, size_bytes: float) -> None:
        self.loading += 1
        self.most_loading = max(self.most_loading, self.loading)
        seconds = size_bytes / self.settings.transfer_bytes_per_s
        try:
            await trio.sleep(seconds * self.faults.current.slow_factor)
        finally:
            self.loading -= 1


@build_standin.register
def _(settings: WeightStoreSettings) -> Standin:
    return WeightStore(settings)
