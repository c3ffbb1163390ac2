"""Evacuations of data centres, as operators write them to the platform's store."""

from ..core.ids import DataCentreId

EVACUATION_KIND = "evacuations"
"""Kind of the objects; each is named like its data centre, and its value is empty."""

MAX_NAME_LENGTH = 255


def decode_evacuation(name: str) -> DataCentreId:
    """Return the data centre that an object evacuates, or raise `ValueError`."""
    if not name or len(name) > MAX_NAME_LENGTH:
        raise ValueError(f"{name[:MAX_NAME_LENGTH]!r} is no data centre")
    return DataCentreId(name)
