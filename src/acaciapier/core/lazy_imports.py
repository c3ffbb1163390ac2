"""Names of a package that are imported when they are first used."""

import sys
from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any


def lazy_names(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a ``__getattr__`` for a package that imports its names on first use.

    Binaries that use only parts of the package start faster without the rest.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : mapping of str to str
        Relative module of each name.
    """

    def load(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(import_module(modules[name], package), name)
        setattr(sys.modules[package], name, value)
        return value

    return load
