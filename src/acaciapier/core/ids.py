"""Identifier types shared by all packages."""

from typing import NewType

WorkspaceId = NewType("WorkspaceId", str)
RequestId = NewType("RequestId", str)
RunId = NewType("RunId", str)
PipelineName = NewType("PipelineName", str)
StageName = NewType("StageName", str)
PoolName = NewType("PoolName", str)
TargetId = NewType("TargetId", str)
InstanceId = NewType("InstanceId", str)
DataCentreId = NewType("DataCentreId", str)
RegionId = NewType("RegionId", str)
StreamId = NewType("StreamId", str)
PatchId = NewType("PatchId", str)
AttemptNumber = NewType("AttemptNumber", int)
Incarnation = NewType("Incarnation", int)
"""Number that increases each time an instance or a target is started."""

Fingerprint = NewType("Fingerprint", str)
"""Hash of a workspace and the content of a request, without its id."""
