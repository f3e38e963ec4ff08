"""Judges the six rules from a trace of what passed on the sockets. Imports nothing of front or module."""

from fernweir.audit.auditor import Auditor, Finding, audit_lines, render_table
from fernweir.audit.records import TraceError, read_trace

__all__ = ["Auditor", "Finding", "TraceError", "audit_lines", "read_trace", "render_table"]
