"""The queue of messages that wait for a connection to their media server. Pure: no I/O and no clock."""

from __future__ import annotations

from collections.abc import Container, Iterable

from fernweir.node.frames import Frame, FrameType, ParameterCode

_CAUSE_CANCELLED = 16


def release_frame(session_id: str) -> Frame:
    """Returns the message that releases a session at its server."""
    return Frame(FrameType.RELEASE, session_id, {ParameterCode.CAUSE: bytes((_CAUSE_CANCELLED,))})


class ReleaseQueue:
    """Releases and rung changes that have not been sent to one server yet, oldest first.

    Attributes:
        pending_releases: Messages to send on the next connection, which is opened for them.
        deferred_releases: Messages for a server that was lost. They wait for it to return; no connection is
            opened for them.
    """

    def __init__(self) -> None:
        self.pending_releases: list[Frame] = []
        self.deferred_releases: list[Frame] = []

    def add(self, frames: Iterable[Frame]) -> None:
        """Appends frames to the pending messages."""
        self.pending_releases += frames

    def pop_for_session(self, session_id: str) -> list[Frame]:
        """Removes and returns the pending messages of one session."""
        popped = [frame for frame in self.pending_releases if frame.session == session_id]
        self.pending_releases = [frame for frame in self.pending_releases if frame.session != session_id]
        return popped

    def pop_except(self, session_ids: Container[str]) -> list[Frame]:
        """Removes and returns the pending messages of all sessions except the given ones."""
        popped = [frame for frame in self.pending_releases if frame.session not in session_ids]
        self.pending_releases = [frame for frame in self.pending_releases if frame.session in session_ids]
        return popped

    def defer(self, session_ids: Iterable[str]) -> None:
        """Defers all pending messages and releases of the given sessions, since their server was lost."""
        self.deferred_releases += self.pending_releases
        self.deferred_releases += [release_frame(session_id) for session_id in session_ids]
        self.clear_pending()

    def resume_deferred(self) -> None:
        """Moves the deferred messages before the pending ones, since their server has returned."""
        self.pending_releases = self.deferred_releases + self.pending_releases
        self.deferred_releases = []

    def clear_pending(self) -> None:
        """Drops the pending messages."""
        self.pending_releases.clear()

    def clear(self) -> None:
        """Drops all messages, since the server process that they were for has ended."""
        self.clear_pending()
        self.deferred_releases.clear()
