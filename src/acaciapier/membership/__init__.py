"""Which instances and targets are live, leaving or gone."""

from .instance_list import (
    InstanceList,
    InstanceListClient,
    InstanceListUnavailable,
    ListedInstance,
)
from .member_table import Member, MemberTable
from .membership import Membership
from .rumours import Rumours
from .target_table import TargetTable
from .views import MembershipChange, Seed

__all__ = [
    "InstanceList",
    "InstanceListClient",
    "InstanceListUnavailable",
    "ListedInstance",
    "Member",
    "MemberTable",
    "Membership",
    "MembershipChange",
    "Rumours",
    "Seed",
    "TargetTable",
]
