"""Client that loads model weights from the weight store."""

import random
from urllib.parse import quote

import httpcore
import trio

RETRY_S = 0.2
LOAD_TIMEOUT_S = 600.0
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


async def load_weights(
    store_url: str, model: str, version: str, rng: random.Random
) -> None:
    """Load weights, retrying until it succeeds.

    Parameters
    ----------
    store_url : str
        Base URL of the weight store.
    model, version : str
        Model and version to load.
    rng : random.Random
        Random source for the jitter of retry delays.
    """
    url = f"{store_url}/v1/weights/{quote(model, safe='')}/{quote(version, safe='')}"
    extensions = {"timeout": {"read": LOAD_TIMEOUT_S}}
    async with httpcore.AsyncConnectionPool() as pool:
        while True:
            pause_s = RETRY_S
            try:
                answer = await pool.request("GET", url, extensions=extensions)
                if answer.status == 200:
                    return
                pause_s = _retry_after_s(answer) or RETRY_S
            except CONNECTION_ERRORS:
                pass
            await trio.sleep(pause_s * (0.5 + rng.random()))


def _retry_after_s(answer: httpcore.Response) -> float:
    headers = {name.lower(): value for name, value in answer.headers}
    return float(headers.get(b"retry-after", b"0"))
