"""A client that behaves: keeps deadlines, marks retries, honours advice, spreads its returns."""

from hazelhold.client.blocking import BlockingClient
from hazelhold.client.client import Client, Standing, open_client
from hazelhold.client.core import (
    CancelledError,
    Manners,
    MayHaveRunError,
    NotPlacedError,
    Outcome,
    RejectedError,
    TurnedBackError,
    Want,
)

__all__ = [
    "BlockingClient",
    "CancelledError",
    "Client",
    "Manners",
    "MayHaveRunError",
    "NotPlacedError",
    "Outcome",
    "RejectedError",
    "Standing",
    "TurnedBackError",
    "Want",
    "open_client",
]
