"""Request ids that contain a timestamp."""

import random
import uuid

from .core.clock import Clock, epoch_ms


def make_request_id(clock: Clock, rng: random.Random) -> str:
    """Return a UUID version 7 with the current time.

    Notes
    -----
    RFC 9562, section 5.7: 48 bits of Unix time in milliseconds, the version, 12
    random bits, the variant and 62 random bits.
    """
    value = epoch_ms(clock.now()) << 80
    value |= 0x7 << 76 | rng.getrandbits(12) << 64
    value |= 0b10 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=value))
