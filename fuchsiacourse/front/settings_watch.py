"""Polls the settings file and applies its changes."""

from __future__ import annotations

import pathlib
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import front_settings
from fuchsiacourse import logs

# Interval at which the file's modification time is polled, in seconds; the
# file may change without a SIGHUP.
CHECK_INTERVAL_S = 2.0

Load = typing.Callable[[pathlib.Path], front_settings.FrontSettings]


class SettingsWatch:
    """Reloads the settings when their file has changed.

    Args:
        path: Settings file.
        load: Reads and validates the file.
        settings: Settings in force; changed in place.
        log: Logger.
    """

    __slots__ = ("_path", "_load", "_settings", "_log", "_mtime_ns")

    def __init__(
        self,
        *,
        path: pathlib.Path,
        load: Load,
        settings: front_settings.FrontSettings,
        log: typing.Any,
    ) -> None:
        self._path = path
        self._load = load
        self._settings = settings
        self._log = log
        self._mtime_ns = self._read_mtime_ns()

    def check(self) -> None:
        """Reloads the settings if the file has changed since the last call."""
        mtime_ns = self._read_mtime_ns()
        if mtime_ns != self._mtime_ns:
            self._mtime_ns = mtime_ns
            self.reload()

    def reload(self) -> None:
        """Reloads the settings; an invalid file is logged and not applied."""
        try:
            newer = self._load(self._path)
        except errors.SettingsError as error:
            logs.warning(self._log, "settings_refused", error=str(error))
            return
        needs_new_start = self._settings.update_from(newer)
        logs.event(
            self._log,
            "settings_reloaded",
            seeds=len(newer.seeds),
            needs_new_start=needs_new_start,
        )

    def _read_mtime_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            logs.warning(self._log, "settings_not_read", error=str(error))
            return 0
