"""Which component answers each message of other instances but heartbeats."""

from ..wire.messages.explain import (
    ExplainAdmission,
    ExplainRequest,
    ExplainSlot,
    ExplainStage,
)
from ..wire.messages.gateway import (
    AcquireWorker,
    CancelWork,
    EnterStages,
    FetchUpdates,
    FreeResults,
    HeldPermits,
    HeldResults,
    PermitEnded,
    PermitStarted,
    RunPieces,
)
from ..wire.messages.operations import FetchCrashRecords
from ..wire.messages.quarantine import Strikes
from ..wire.messages.streams import FindStream, StreamsBegun, VersionSplits
from ..wire.messages.tunnels import OpenTunnel, WriteTunnel
from ..wire.network import PeerNetwork
from .dispatch.dispatch_client import DispatchClient
from .dispatch.dispatcher import Dispatcher
from .explaining import RequestExplainer
from .peer_sync import PeerSync
from .request_quarantine import RequestQuarantine
from .split_history import SplitHistory
from .stream_records import StreamRecords
from .tunnel_server import TunnelServer


def register_handlers(
    network: PeerNetwork,
    peer_sync: PeerSync,
    dispatcher: Dispatcher,
    quarantine: RequestQuarantine,
    streams: StreamRecords,
    splits: SplitHistory,
    tunnels: TunnelServer,
    dispatch_client: DispatchClient,
    explainer: RequestExplainer,
) -> None:
    """Register the handlers of all messages but heartbeats."""
    register = network.register
    register(Strikes, quarantine.handle_crash_records)
    register(FetchCrashRecords, quarantine.answer_fetch)
    register(FetchUpdates, peer_sync.answer_fetch)
    register(EnterStages, dispatcher.enter_stages)
    register(RunPieces, dispatcher.run_pieces)
    register(AcquireWorker, dispatcher.acquire)
    register(PermitStarted, dispatcher.permit_started)
    register(PermitEnded, dispatcher.permit_ended)
    register(FreeResults, dispatcher.free_results)
    register(CancelWork, dispatcher.cancel_work)
    register(HeldPermits, dispatcher.held_permits)
    register(HeldResults, dispatcher.held_results)
    register(StreamsBegun, streams.handle_begun)
    register(FindStream, streams.answer_find)
    register(VersionSplits, splits.handle_splits)
    register(WriteTunnel, tunnels.write)
    register(ExplainRequest, explainer.explain)
    register(ExplainSlot, dispatcher.explain)
    register(ExplainStage, dispatcher.explain)
    register(ExplainAdmission, dispatcher.explain)
    network.register_late(dispatch_client.handle_late, AcquireWorker, RunPieces)
    network.register_stream(OpenTunnel, tunnels.serve)
