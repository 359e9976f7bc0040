"""Port between a front and the platform that it runs on."""

from __future__ import annotations

import abc

from fuchsiacourse.front import directory
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import route_table
from fuchsiacourse.front import target_record
from fuchsiacourse.front import wire_protocol
from fuchsiacourse import store as stores


class FrontAdapter(abc.ABC):
    """Translates between a platform and the front's own types."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def protocol(self) -> wire_protocol.WireProtocol:
        """Headers between callers, fronts and targets."""

    @property
    @abc.abstractmethod
    def config_key(self) -> str:
        """Key of the configuration in the store."""

    @property
    @abc.abstractmethod
    def config_prefix(self) -> str:
        """Prefix of the configuration's key."""

    @property
    @abc.abstractmethod
    def target_prefix(self) -> str:
        """Prefix of the keys of targets' registrations."""

    @abc.abstractmethod
    def store(self, settings: front_settings.FrontSettings) -> stores.Store:
        """Returns a client of the platform's store."""

    @abc.abstractmethod
    def decode_config(self, value: bytes) -> route_table.RouteTable:
        """Returns the configuration in an object.

        Raises:
            ConfigRejected: The object is not a configuration.
        """

    @abc.abstractmethod
    def decode_target(
        self, key: str, value: bytes
    ) -> target_record.TargetRecord:
        """Returns the registration in an object.

        Raises:
            RecordRejected: The object names no target.
        """

    @abc.abstractmethod
    def answer_ready(
        self, request: http_request.HttpRequest, is_ready: bool
    ) -> http_answer.HttpAnswer:
        """Answers whether the front takes callers."""

    @abc.abstractmethod
    def answer_resolve(
        self,
        request: http_request.HttpRequest,
        addresses: directory.Directory,
    ) -> http_answer.HttpAnswer:
        """Answers which addresses a caller should use."""
