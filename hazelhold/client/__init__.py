"""A client that behaves: keeps deadlines, marks retries, honours advice, spreads its returns."""

from hazelhold.client.blocking import BlockingClient
from hazelhold.client.client import Client, open_client
from hazelhold.client.core import Manners, Outcome, Want

__all__ = ["BlockingClient", "Client", "Manners", "Outcome", "Want", "open_client"]
