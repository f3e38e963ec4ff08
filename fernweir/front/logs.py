"""Structured logs on standard error: JSON lines, or text for people."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import structlog


def set_up_logs(form: str, level: str, stream: TextIO | None = None) -> None:
    """`form` is json or text. Called once, by a program, never by a library."""
    render: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if form == "text":
        render = structlog.dev.ConsoleRenderer(colors=(stream or sys.stderr).isatty())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=True,
    )
