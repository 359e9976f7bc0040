"""Implements the front's adapter interface for the users' platform."""

from __future__ import annotations

from fuchsiacourse.front import answer_limits
from fuchsiacourse.front import directory
from fuchsiacourse.front import front_adapter
from fuchsiacourse.front import front_settings
from fuchsiacourse.front import http_answer
from fuchsiacourse.front import http_request
from fuchsiacourse.front import route_table
from fuchsiacourse.front import target_registration
from fuchsiacourse.front import wire_protocol
from fuchsiacourse.platform import config_codec
from fuchsiacourse.platform import directory_endpoints
from fuchsiacourse.platform import object_store
from fuchsiacourse.platform import target_codec
from fuchsiacourse.platform import wire_headers
from fuchsiacourse import store as stores


class PlatformAdapter(front_adapter.FrontAdapter):
    """Delegates to the codecs, headers and store client of the platform."""

    __slots__ = ("_protocol",)

    def __init__(self) -> None:
        self._protocol = wire_headers.WireHeaders()

    @property
    def protocol(self) -> wire_protocol.WireProtocol:
        """Reader and writer of the platform's request headers."""
        return self._protocol

    @property
    def config_key(self) -> str:
        """Store key of the configuration."""
        return config_codec.KEY

    @property
    def config_prefix(self) -> str:
        """Prefix of the configuration's store key."""
        return config_codec.PREFIX

    @property
    def target_prefix(self) -> str:
        """Prefix of the store keys of targets' registrations."""
        return target_codec.PREFIX

    def store(
        self,
        settings: front_settings.FrontSettings,
        limits: answer_limits.AnswerLimits,
    ) -> stores.Store:
        """Returns a client of the platform's store."""
        return object_store.ObjectStore(
            address=settings.store_address,
            limits=limits,
            is_first_start=settings.is_first_start,
        )

    def decode_config(self, value: bytes) -> route_table.RouteTable:
        """Returns the configuration that a stored object holds."""
        return config_codec.decode(value)

    def decode_target(
        self, key: str, value: bytes
    ) -> target_registration.TargetRegistration:
        """Returns the registration that a stored object holds."""
        return target_codec.decode(key, value)

    def answer_ready(
        self, request: http_request.HttpRequest, is_ready: bool
    ) -> http_answer.HttpAnswer:
        """Returns the answer to a readiness probe."""
        return directory_endpoints.ready(request, is_ready)

    def answer_resolve(
        self,
        request: http_request.HttpRequest,
        addresses: directory.Directory,
    ) -> http_answer.HttpAnswer:
        """Returns the answer to a caller that asks for front addresses."""
        return directory_endpoints.resolve(request, addresses)
