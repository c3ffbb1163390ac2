"""Checks across declared objects: references, kinds, cycles and shared tokens."""

import re
from collections import Counter
from collections.abc import Iterable
from functools import singledispatchmethod

from ..core.findings import Findings
from .models import (
    DeclaredObject,
    Pipeline,
    RouteRule,
    Stage,
    StageKind,
    TargetPool,
    Workspace,
)

SHA256_HEX = re.compile(r"[0-9a-f]{64}")


def qualified_name(kind: str, name: str) -> str:
    """Return the kind and name of a declared object, such as ``pipeline/quote``."""
    return f"{kind}/{name}"


def check_objects(objects: Iterable[DeclaredObject]) -> Findings:
    """Check that a set of declared objects is consistent.

    Parameters
    ----------
    objects : iterable of DeclaredObject
        All declared objects of one configuration.

    Returns
    -------
    Findings
        Every problem with its place; empty if the set is consistent.
    """
    return _ObjectSetChecker(list(objects)).run()


class _ObjectSetChecker:
    """Checks one set of declared objects and collects the findings."""

    def __init__(self, objects: list[DeclaredObject]):
        self.objects = objects
        self.findings = Findings()
        self.names = {
            kind: {declared.name for declared in objects if declared.kind == kind}
            for kind in ("pipeline", "pool", "workspace")
        }
        self.pools = {
            pool.name: pool for pool in objects if isinstance(pool, TargetPool)
        }
        self.token_owner: dict[str, str] = {}

    def run(self) -> Findings:
        counts = Counter(
            qualified_name(declared.kind, declared.name) for declared in self.objects
        )
        for place, count in counts.items():
            if count > 1:
                self.findings.add(place, f"is declared {count} times")
        for declared in self.objects:
            self.check(declared, qualified_name(declared.kind, declared.name))
        return self.findings

    @singledispatchmethod
    def check(self, declared: object, place: str) -> None:
        """Check one object by the rules of its type."""
        raise TypeError(f"{place} has a type without registered checks")

    @check.register
    def _(self, pipeline: Pipeline, place: str) -> None:
        self._check_stage_names(pipeline, place)
        for index, stage in enumerate(pipeline.stages):
            self._check_stage(stage, f"{place}.stages[{index}]")
        if self._check_needs(pipeline, place):
            self._check_reachability(pipeline, place)
            self._check_deadline(pipeline, place)

    @check.register
    def _(self, rule: RouteRule, place: str) -> None:
        for field in ("pipeline", "to_pipeline"):
            name = getattr(rule, field)
            self._check_name("pipeline", name, f"{place}.{field}")
        for index, name in enumerate(rule.workspaces):
            self._check_name("workspace", name, f"{place}.workspaces[{index}]")
        if rule.pipeline == rule.to_pipeline:
            self.findings.add(f"{place}.to_pipeline", "is the rule's own pipeline")

    @check.register
    def _(self, pool: TargetPool, place: str) -> None:
        if pool.serves is StageKind.GENERATE:
            return
        for field in ("model", "model_version", "adapters"):
            if getattr(pool, field):
                message = f"only pools that serve {StageKind.GENERATE.value} have one"
                self.findings.add(f"{place}.{field}", message)

    @check.register
    def _(self, workspace: Workspace, place: str) -> None:
        for index, token in enumerate(workspace.token_sha256):
            at = f"{place}.token_sha256[{index}]"
            if not SHA256_HEX.fullmatch(token):
                self.findings.add(at, "is no SHA-256 in 64 lower-case hex digits")
            owner = self.token_owner.setdefault(token, workspace.name)
            if owner != workspace.name:
                self.findings.add(at, f"is also a token of workspace/{owner}")
        if len(set(workspace.token_sha256)) < len(workspace.token_sha256):
            self.findings.add(f"{place}.token_sha256", "names a token twice")

    def _check_name(self, kind: str, name: str, place: str) -> None:
        if name not in self.names[kind]:
            self.findings.add(place, f"{qualified_name(kind, name)} does not exist")

    def _check_stage_names(self, pipeline: Pipeline, place: str) -> None:
        seen: set[str] = set()
        for index, stage in enumerate(pipeline.stages):
            if stage.name in seen:
                at = f"{place}.stages[{index}].name"
                self.findings.add(at, f"stage {stage.name} is declared before")
            seen.add(stage.name)

    def _check_stage(self, stage: Stage, place: str) -> None:
        pool = self.pools.get(stage.pool)
        if pool is None:
            self.findings.add(f"{place}.pool", f"pool/{stage.pool} does not exist")
        elif pool.serves is not stage.kind:
            self.findings.add(
                f"{place}.pool",
                f"pool/{stage.pool} serves {pool.serves.value}, "
                f"but the stage is of kind {stage.kind.value}",
            )

    def _check_needs(self, pipeline: Pipeline, place: str) -> bool:
        """Check that the needs form a graph without cycles; return whether so."""
        before = len(self.findings)
        names = {stage.name for stage in pipeline.stages}
        for index, stage in enumerate(pipeline.stages):
            for position, need in enumerate(stage.needs):
                at = f"{place}.stages[{index}].needs[{position}]"
                if need not in names:
                    self.findings.add(at, f"stage {need} does not exist")
        if len(self.findings) == before:
            cycle = _stages_in_cycles(pipeline)
            if cycle:
                message = f"stages need each other: {', '.join(cycle)}"
                self.findings.add(f"{place}.stages", message)
        return len(self.findings) == before

    def _check_reachability(self, pipeline: Pipeline, place: str) -> None:
        """Check that the last stage, which gives the answer, depends on all others."""
        stages = {stage.name: stage for stage in pipeline.stages}
        reached: set[str] = set()
        unvisited = [pipeline.stages[-1].name]
        while unvisited:
            name = unvisited.pop()
            if name not in reached:
                reached.add(name)
                unvisited.extend(stages[name].needs)
        for index, stage in enumerate(pipeline.stages):
            if stage.name not in reached:
                message = "no path of needs leads from the last stage to this one"
                self.findings.add(f"{place}.stages[{index}]", message)

    def _check_deadline(self, pipeline: Pipeline, place: str) -> None:
        typical_ms = critical_path_ms(pipeline)
        if typical_ms > pipeline.deadline_ms:
            message = f"is below the stages' typical time of {typical_ms:g} ms"
            self.findings.add(f"{place}.deadline_ms", message)


def critical_path_ms(pipeline: Pipeline) -> float:
    """Return the typical time of the longest path of an acyclic pipeline."""
    stages = {stage.name: stage for stage in pipeline.stages}
    finish_times_ms: dict[str, float] = {}

    def finish_ms(name: str) -> float:
        if name not in finish_times_ms:
            stage = stages[name]
            start_ms = max((finish_ms(need) for need in stage.needs), default=0.0)
            finish_times_ms[name] = start_ms + stage.typical_ms
        return finish_times_ms[name]

    return max(finish_ms(name) for name in stages)


def _stages_in_cycles(pipeline: Pipeline) -> list[str]:
    """Return the stages that remain after a topological sort.

    These are the stages in cycles and those that depend on them.
    """
    unmet_needs = {stage.name: set(stage.needs) for stage in pipeline.stages}
    while ready := [name for name, needs in unmet_needs.items() if not needs]:
        for name in ready:
            del unmet_needs[name]
        for needs in unmet_needs.values():
            needs.difference_update(ready)
    return list(unmet_needs)
