"""Port to the other processes of the fleet."""

from __future__ import annotations

import abc

from fuchsiacourse import fleet_pb2


class Peers(abc.ABC):
    """Calls other processes by their RPC address (``ip:port``).

    Every method raises PeerUnreachable if nothing was sent and
    PeerOutcomeUnknown if the call was sent and no complete reply came within
    the timeout. Cancelling a call does not tell whether the peer has seen it.
    """

    __slots__ = ()

    @abc.abstractmethod
    async def execute(
        self,
        address: str,
        request: fleet_pb2.ExecuteRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.ExecuteReply:
        """Asks a dispatch process to run a request."""

    @abc.abstractmethod
    async def withdraw(
        self,
        address: str,
        request: fleet_pb2.WithdrawRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.WithdrawReply:
        """Asks a dispatch process to withdraw a queued request."""

    @abc.abstractmethod
    async def relay(
        self,
        address: str,
        request: fleet_pb2.RelayRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.RelayReply:
        """Sends a keyed request to the entry that issued its key."""

    @abc.abstractmethod
    async def hand_over(
        self,
        address: str,
        request: fleet_pb2.HandOverRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.HandOverReply:
        """Hands a part of a ledger to a successor."""

    @abc.abstractmethod
    async def fetch_config(
        self,
        address: str,
        request: fleet_pb2.FetchRequest,
        *,
        timeout_s: float,
    ) -> fleet_pb2.FetchReply:
        """Fetches a manifest or service bodies from a peer."""
