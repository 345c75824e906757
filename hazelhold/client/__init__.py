"""The client library for senders of guests. It keeps deadlines, marks retries, follows the planners' retry
advice and spreads its reconnects."""

from hazelhold.client.blocking import BlockingClient
from hazelhold.client.client import Client, Standing, open_client
from hazelhold.client.types import (
    CancelledError,
    ClientPolicy,
    MayHaveRunError,
    NotPlacedError,
    Outcome,
    RefusedError,
    RejectedError,
    TaskRequest,
)

__all__ = [
    "BlockingClient",
    "CancelledError",
    "Client",
    "ClientPolicy",
    "MayHaveRunError",
    "NotPlacedError",
    "Outcome",
    "RejectedError",
    "Standing",
    "RefusedError",
    "TaskRequest",
    "open_client",
]
