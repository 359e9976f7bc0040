"""Takes over changes of the settings file."""

from __future__ import annotations

import pathlib
import typing

from fuchsiacourse import errors
from fuchsiacourse.front import front_settings
from fuchsiacourse import logs

# Interval at which the file is looked at, in seconds; it may change without
# a signal.
CHECK_INTERVAL_S = 2.0

Load = typing.Callable[[pathlib.Path], front_settings.FrontSettings]


class SettingsWatch:
    """Reads the settings again when their file has changed.

    Args:
        path: The file.
        load: Reads it.
        settings: Settings in force; changed in place.
        log: Logger.
    """

    __slots__ = ("_path", "_load", "_settings", "_log", "_changed_ns")

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
        self._changed_ns = self._modified_ns()

    def check(self) -> None:
        """Reads the settings if the file has changed since."""
        changed_ns = self._modified_ns()
        if changed_ns != self._changed_ns:
            self._changed_ns = changed_ns
            self.reload()

    def reload(self) -> None:
        """Reads the settings; a file with errors changes nothing."""
        try:
            newer = self._load(self._path)
        except errors.SettingsError as error:
            logs.warning(self._log, "settings_refused", error=str(error))
            return
        needs_start = self._settings.update_from(newer)
        logs.event(
            self._log,
            "settings_reloaded",
            seeds=len(newer.seeds),
            needs_new_start=needs_start,
        )

    def _modified_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            logs.warning(self._log, "settings_not_read", error=str(error))
            return 0
