"""Evacuations of data centres, as instances hand them on."""

import msgspec


class Evacuated(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated data centres at one position of the store.

    `kept` are those that the store lacks since it was restored, and that its writers
    may write again.
    """

    term: int
    revision: int
    data_centres: tuple[str, ...]
    kept: tuple[str, ...] = ()
