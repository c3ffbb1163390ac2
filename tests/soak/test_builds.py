"""Earlier builds come from the history, and a rollout replaces all gateways."""

import random
import subprocess

import pytest

from acaciapier_bench.soak.builds import Build, BuildError, make_build
from acaciapier_bench.soak.plan import SoakPlan
from acaciapier_bench.soak.rollout import Course, Replacement, Rollout
from acaciapier_bench.soak.run import run_soak

EARLIER, LATER = Build("earlier", "python", ()), Build("later", "python", ())
NAMES = ["edge-1", "edge-2", "edge-3"]


def git(folder, *arguments):
    command = ["git", "-c", "user.name=a", "-c", "user.email=a@example.com"]
    subprocess.run([*command, "-C", folder, *arguments], check=True)


def committed(folder, source="", dependencies="[]"):
    """Make a repository that holds a gateway with this source."""
    package = folder / "src" / "acaciapier" / "gateway"
    package.mkdir(parents=True)
    for parent in (package.parent, package):
        (parent / "__init__.py").touch()
    (package / "main.py").write_text(source)
    project = f"[project]\nname = 'a'\nversion = '1'\ndependencies = {dependencies}\n"
    (folder / "pyproject.toml").write_text(project)
    (folder / "requirements.lock").touch()
    git(folder, "init", "-q")
    git(folder, "add", ".")
    git(folder, "commit", "-q", "-m", "one")
    return folder


def test_a_build_is_taken_from_the_history_and_not_from_the_work_tree(tmp_path):
    repository = committed(tmp_path / "repository", "where = 'committed'")
    main = repository / "src" / "acaciapier" / "gateway" / "main.py"
    main.write_text("where = 'edited'")
    build = make_build("HEAD", tmp_path / "build", repository)
    program = "from acaciapier.gateway.main import where; print(where)"
    done = subprocess.run(
        [build.python, "-c", program],
        env=build.environment(),
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout == "committed\n"


@pytest.mark.parametrize("commit", ["missing", "", "HEAD:src", "--help"])
def test_a_commit_that_is_not_in_the_history_is_a_clear_error(tmp_path, commit):
    repository = committed(tmp_path / "repository")
    with pytest.raises(BuildError, match="is no commit of"):
        make_build(commit, tmp_path / "build", repository)


def test_a_commit_that_does_not_start_is_a_clear_error(tmp_path):
    repository = committed(tmp_path / "repository", "import missing_module")
    with pytest.raises(BuildError, match="missing_module"):
        make_build("HEAD", tmp_path / "build", repository)


def test_a_commit_without_the_package_is_a_clear_error(tmp_path):
    (tmp_path / "repository").mkdir()
    git(tmp_path / "repository", "init", "-q")
    git(tmp_path / "repository", "commit", "-q", "--allow-empty", "-m", "one")
    with pytest.raises(BuildError, match="no package to build"):
        make_build("HEAD", tmp_path / "build", tmp_path / "repository")


async def rolled_out(seed, autojump_clock):
    calls = []

    async def replace(name, build, way):
        calls.append((name, build.name, way))
        return f"{name}x" if way is Replacement.JOIN else name

    ways = list(Replacement)
    rollout = Rollout(EARLIER, LATER, NAMES, random.Random(seed), replace, ways)
    await rollout.run(10.0)
    return rollout.course, calls


async def test_a_rollout_replaces_all_gateways_or_stops_or_returns(autojump_clock):
    seen = set()
    for seed in range(20):
        course, calls = await rolled_out(seed, autojump_clock)
        seen.add(course)
        later = [name for name, build, _ in calls if build == "later"]
        earlier = [name for name, build, _ in calls if build == "earlier"]
        if course is Course.HALFWAY:
            assert (len(later), earlier) == (1, [])
        else:
            assert sorted(later) == NAMES
            assert len(earlier) == (3 if course is Course.BACK else 0)
    assert seen == set(Course)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_rollout_under_faults_breaks_no_promise(tmp_path, seed):
    faults = ("kill", "term", "break", "upgrade", "release")
    plan = SoakPlan(seed, seconds=6.0, gateways=3, callers=6, faults=faults)
    report = run_soak(
        plan, tmp_path / "soak", make_build("97d8d6d", tmp_path / "build")
    )
    assert report.broken == []
    assert "current" in report.served_by_build
