"""Earlier builds of the gateway, taken from the repository's history."""

import io
import os
import subprocess
import sys
import tarfile
import tomllib
import venv
from dataclasses import dataclass
from pathlib import Path

REPOSITORY = Path(__file__).parents[3]
PACKAGE = "src/acaciapier"
PROJECT_FILE, LOCK_FILE = "pyproject.toml", "requirements.lock"
CURRENT = "current"
"""Name of the build in the working tree."""


class BuildError(Exception):
    """A build cannot be made from the repository's history."""


@dataclass(frozen=True)
class Build:
    """A gateway that can be started: its name, interpreter and search path."""

    name: str
    python: str
    search_path: tuple[str, ...]

    def environment(self) -> dict[str, str]:
        """Return the variables with which its processes start."""
        return os.environ | {"PYTHONPATH": os.pathsep.join(self.search_path)}


def current_build() -> Build:
    """Return the build that this process itself runs."""
    return Build(CURRENT, sys.executable, tuple(sys.path))


def make_build(commit: str, folder: Path, repository: Path = REPOSITORY) -> Build:
    """Return the gateway of a commit.

    Its package is placed in `folder`. If the commit pins other dependencies than the
    working tree, they are installed there in an environment of its own.

    Parameters
    ----------
    commit : str
        Name of a commit of the repository.
    folder : Path
        Empty or missing folder.
    repository : Path, optional
        The repository.

    Raises
    ------
    BuildError
        If the commit is not in the history, or does not build.
    """
    revision = f"{commit}^{{commit}}"
    found = _git(repository, "rev-parse", "--verify", "--quiet", revision)
    if found.returncode:
        raise BuildError(f"{commit} is no commit of {repository}")
    name = found.stdout.decode().strip()[:7]
    archive = _git(repository, "archive", name, PACKAGE, PROJECT_FILE, LOCK_FILE)
    if archive.returncode:
        reason = archive.stderr.decode().strip()
        raise BuildError(f"{name} has no package to build: {reason}")
    folder.mkdir(parents=True, exist_ok=True)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
    name_file = folder / "target" / "build"
    name_file.parent.mkdir()
    name_file.write_text(name)
    python = sys.executable
    if _dependencies(folder) != _dependencies(repository):
        python = _install_dependencies(folder)
    package = str(folder / "src")
    build = Build(name, python, (package, *sys.path))
    _check(build)
    return build


def _git(repository: Path, *arguments: str) -> subprocess.CompletedProcess:
    command = ["git", "-C", str(repository), *arguments]
    try:
        return subprocess.run(command, capture_output=True, check=False)
    except OSError as error:
        raise BuildError(f"git does not run: {error}") from error


def _dependencies(folder: Path) -> tuple[list[str], str]:
    """Return the declared and the pinned dependencies of a source tree."""
    project = tomllib.loads((folder / PROJECT_FILE).read_text())
    return project["project"]["dependencies"], (folder / LOCK_FILE).read_text()


def _install_dependencies(folder: Path) -> str:
    """Install pinned dependencies and return the interpreter that finds them."""
    environment = folder / "environment"
    venv.create(environment, with_pip=True)
    python = str(environment / "bin" / "python")
    declared, _ = _dependencies(folder)
    lock = str(folder / LOCK_FILE)
    command = [python, "-m", "pip", "install", "--quiet", "-c", lock, *declared]
    done = subprocess.run(command, capture_output=True, check=False)
    if done.returncode:
        reason = done.stderr.decode().strip()
        raise BuildError(f"dependencies of {folder} cannot be installed: {reason}")
    return python


def _check(build: Build) -> None:
    """Check that the gateway's module loads, and from the build's own package."""
    program = "import acaciapier.gateway.main as main; print(main.__file__)"
    done = subprocess.run(
        [build.python, "-c", program],
        env=build.environment(),
        capture_output=True,
        check=False,
    )
    if done.returncode:
        reason = done.stderr.decode().strip().rpartition("\n")[2]
        raise BuildError(f"{build.name} does not start: {reason}")
    if not done.stdout.decode().startswith(build.search_path[0]):
        raise BuildError(f"{build.name} is hidden by another installed package")
