"""A client that behaves: keeps deadlines, marks retries, honours advice, spreads its returns."""

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
