"""Structured logs: each event is one line of key=value pairs."""

from __future__ import annotations

import logging
import sys
import typing

import structlog

_SHARED_PROCESSORS = (
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso", utc=True),
    structlog.processors.ExceptionRenderer(),
)
_RENDERER = structlog.processors.KeyValueRenderer(
    key_order=["timestamp", "level", "event"]
)


def configure(
    *,
    program: str,
    host: str = "",
    processor: typing.Any = None,
    stream: typing.Any = None,
) -> typing.Any:
    """Configures the logs of the process and returns its logger.

    Args:
        program: Name of the program, written to each line.
        host: Host of the process, written to each line.
        processor: structlog processor that runs before all others, None for
            none.
        stream: Stream that the lines are written to, None for standard
            error.
    """
    first = [] if processor is None else [processor]
    structlog.configure(
        processors=[*first, *_SHARED_PROCESSORS, _RENDERER],
        logger_factory=_factory(stream),
        cache_logger_on_first_use=True,
    )
    _configure_libraries()
    return structlog.get_logger(program=program, host=host)


def _factory(stream: typing.Any) -> typing.Any:
    if stream is None:
        return structlog.PrintLoggerFactory(file=sys.stderr)
    # WriteLogger writes a line and its newline in one call, so that the
    # stream can drop whole lines.
    return structlog.WriteLoggerFactory(file=stream)


def _configure_libraries() -> None:
    # Libraries log through the standard library. Their lines get the same
    # format; below the level warning they are of no use to an operator.
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=list(_SHARED_PROCESSORS),
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                _RENDERER,
            ],
        )
    )
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)


def event(log: typing.Any, name: str, **fields: typing.Any) -> None:
    """Logs an event at level info."""
    log.info(name, **fields)


def warning(log: typing.Any, name: str, **fields: typing.Any) -> None:
    """Logs an event that needs an operator's attention, at level warning."""
    log.warning(name, **fields)


def silent() -> typing.Any:
    """Returns a logger that drops every event."""
    return structlog.wrap_logger(
        None, processors=[_drop], wrapper_class=structlog.BoundLogger
    )


def _drop(
    logger: typing.Any, method: str, event_dict: dict[str, typing.Any]
) -> typing.NoReturn:
    raise structlog.DropEvent
