"""Configures structured logging to standard error, as JSON lines or as readable text."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import structlog


def set_up_logs(form: str, level: str, stream: TextIO | None = None) -> None:
    """Configures logging for the process; called once, by a program and never by a library.

    Args:
        form: `json` or `text`.
        level: The lowest level that is logged.
        stream: Where lines are written; standard error if it is None.
    """
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if form == "text":
        renderer = structlog.dev.ConsoleRenderer(colors=(stream or sys.stderr).isatty())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
