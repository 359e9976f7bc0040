"""Entry point of a front on the users' platform."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

# Ignores SIGHUP until its handler is installed: the default action would end
# the process, and the imports below take most of the start. The settings are
# read after them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from fuchsiacourse import errors  # noqa: E402
from fuchsiacourse.front import front_program  # noqa: E402
from fuchsiacourse.front import log_sink  # noqa: E402
from fuchsiacourse.front import settings_watch  # noqa: E402
from fuchsiacourse import logs  # noqa: E402
from fuchsiacourse.platform import platform_adapter  # noqa: E402
from fuchsiacourse.platform import settings_file  # noqa: E402

EXIT_BAD_INPUT = 2


async def _run(path: pathlib.Path) -> None:
    settings = settings_file.load(path)
    loop = asyncio.get_running_loop()
    sink = log_sink.LogSink(descriptor=sys.stdout.fileno(), now_s=loop.time)
    log = logs.configure(program="front", host=settings.name, stream=sink)
    program = front_program.FrontProgram(
        settings=settings,
        adapter=platform_adapter.PlatformAdapter(),
        watch=settings_watch.SettingsWatch(
            path=path, load=settings_file.load, settings=settings, log=log
        ),
        sink=sink,
        log=log,
    )
    await program.run()


def main() -> int:
    """Runs a front until it is signalled to stop.

    Returns:
        Exit code: 0 after a shutdown, ``EXIT_BAD_INPUT`` if the settings are
        missing or invalid.
    """
    path = os.environ.get(settings_file.PATH_VARIABLE)
    if not path:
        print(
            f"{settings_file.PATH_VARIABLE} is not set; it must name the"
            " settings file",
            file=sys.stderr,
        )
        return EXIT_BAD_INPUT
    try:
        asyncio.run(_run(pathlib.Path(path)))
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
