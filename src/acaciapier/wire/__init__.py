"""Internal protocol between the system's own processes."""

from .codec import MessageRegistry, encode_message
from .connector import PeerAddress, TlsContexts
from .counters import TrafficCounters
from .dispatch import CallFailed, Handler, StreamHandler
from .handshake import PeerIdentity
from .keys import FleetKeys
from .limits import NetworkLimits
from .messages import Acknowledgement, Message
from .network import PeerNetwork

__all__ = [
    "Acknowledgement",
    "CallFailed",
    "FleetKeys",
    "Handler",
    "Message",
    "MessageRegistry",
    "NetworkLimits",
    "PeerAddress",
    "PeerIdentity",
    "PeerNetwork",
    "StreamHandler",
    "TlsContexts",
    "TrafficCounters",
    "encode_message",
]
