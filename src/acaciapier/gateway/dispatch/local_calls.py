"""Handlers of the messages that an instance sends to its own dispatcher."""

from ...wire.messages.gateway import (
    AcquireWorker,
    CancelWork,
    EnterStages,
    FreeResults,
    HeldPermits,
    HeldResults,
    PermitEnded,
    PermitStarted,
    RunPieces,
)
from .dispatcher import Dispatcher

LOCAL_CALLS = {
    AcquireWorker: Dispatcher.acquire,
    EnterStages: Dispatcher.enter_stages,
    RunPieces: Dispatcher.run_pieces,
}

LOCAL_NOTIFICATIONS = {
    PermitStarted: Dispatcher.permit_started,
    PermitEnded: Dispatcher.permit_ended,
    FreeResults: Dispatcher.free_results,
    CancelWork: Dispatcher.cancel_work,
    HeldPermits: Dispatcher.held_permits,
    HeldResults: Dispatcher.held_results,
}
