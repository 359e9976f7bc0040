"""Interface between a front and the platform that it runs on."""

from __future__ import annotations

import abc

from fuchsiacourse.front import answer_limits
from fuchsiacourse.front import directory
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import route_table
from fuchsiacourse.front import target_registration
from fuchsiacourse.front import wire_protocol
from fuchsiacourse import store as stores


class FrontAdapter(abc.ABC):
    """Translates between a platform's formats and the front's own types."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def protocol(self) -> wire_protocol.WireProtocol:
        """Reader and writer of the platform's request headers."""

    @property
    @abc.abstractmethod
    def config_key(self) -> str:
        """Store key of the configuration."""

    @property
    @abc.abstractmethod
    def config_prefix(self) -> str:
        """Prefix of the configuration's store key."""

    @property
    @abc.abstractmethod
    def target_prefix(self) -> str:
        """Prefix of the store keys of targets' registrations."""

    @abc.abstractmethod
    def store(
        self,
        settings: front_settings.FrontSettings,
        limits: answer_limits.AnswerLimits,
    ) -> stores.Store:
        """Returns a client of the platform's store."""

    @abc.abstractmethod
    def decode_config(self, value: bytes) -> route_table.RouteTable:
        """Returns the configuration that a stored object holds.

        Raises:
            ConfigRejected: The object is not a configuration.
        """

    @abc.abstractmethod
    def decode_target(
        self, key: str, value: bytes
    ) -> target_registration.TargetRegistration:
        """Returns the registration that a stored object holds.

        Raises:
            TargetRegistrationRejected: The object is not a registration of a
                target.
        """

    @abc.abstractmethod
    def answer_ready(
        self, request: http_request.HttpRequest, is_ready: bool
    ) -> http_answer.HttpAnswer:
        """Returns the answer to a readiness probe."""

    @abc.abstractmethod
    def answer_resolve(
        self,
        request: http_request.HttpRequest,
        addresses: directory.Directory,
    ) -> http_answer.HttpAnswer:
        """Returns the answer to a caller that asks for front addresses."""
