"""Name of the build that a process runs."""

from importlib import metadata
from pathlib import Path

BUILD_FILE = Path(__file__).parents[3] / "target" / "build"
"""Written when a checkout is built; holds the abbreviated commit."""

MAX_NAME_CHARS = 64


def build_name(path: Path = BUILD_FILE) -> str:
    """Return the commit of the build, or the version of the installed package.

    An empty name tells that neither is known.
    """
    try:
        name = path.read_text().strip()
    except (OSError, UnicodeDecodeError):
        name = ""
    if name and name.isprintable():
        return name[:MAX_NAME_CHARS]
    try:
        return metadata.version("acaciapier")
    except metadata.PackageNotFoundError:
        return ""
