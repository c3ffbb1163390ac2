"""Cluster membership: tracks which instances and targets are live, leaving or gone."""

from .gossip import Gossip
from .instance_list import (
    InstanceList,
    InstanceListClient,
    InstanceListUnavailable,
    ListedInstance,
)
from .member_table import Member, MemberTable
from .membership import Membership
from .target_table import TargetTable
from .views import MembershipChange, Seed

__all__ = [
    "Gossip",
    "InstanceList",
    "InstanceListClient",
    "InstanceListUnavailable",
    "ListedInstance",
    "Member",
    "MemberTable",
    "Membership",
    "MembershipChange",
    "Seed",
    "TargetTable",
]
