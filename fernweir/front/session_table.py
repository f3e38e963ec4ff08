"""The records of a session manager by session id, number, ticket and server; viewers of ended sessions."""

from __future__ import annotations

from collections import OrderedDict

from fernweir.front.commands import SessionRequest
from fernweir.front.session_record import SessionPhase, SessionRecord

_MAX_SESSION_NUMBER = 0xFFFFFFFF


class SessionTable:
    """Owns the records of sessions and their indexes.

    Attributes:
        by_id: All records by their session ids.
        by_number: All records by their numbers.
        by_ticket: The records that open requests wait for.
        by_server: By server and session id, the records with an attempt in flight or playing there.
        known_viewers: By viewer key or session id, the controller's key of a viewer whose session ended, and
            whether the session was moved. The oldest comes first.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, SessionRecord] = {}
        self.by_number: dict[int, SessionRecord] = {}
        self.by_ticket: dict[int, SessionRecord] = {}
        self.by_server: dict[int, dict[str, SessionRecord]] = {}
        self.known_viewers: OrderedDict[str | int, tuple[int, bool]] = OrderedDict()
        self._next_number = 1

    def create(self, now: float, request: SessionRequest) -> SessionRecord:
        """Stores a new record for the session of a request."""
        key, was_moved = self.known_viewers.pop(request.viewer_key or request.session_id, (0, False))
        number = self._next_number
        self._next_number = number % _MAX_SESSION_NUMBER + 1
        record = SessionRecord(request, number, request.viewer_key or key or number)
        self.by_id[request.session_id] = self.by_number[number] = record
        record.reply_deadline = now + request.max_wait_ms
        record.was_moved = was_moved
        return record

    def remove(self, record: SessionRecord) -> None:
        """Removes a record from the indexes by id and number; it is not in those by ticket and server."""
        self.by_id.pop(record.request.session_id, None)
        self.by_number.pop(record.number, None)

    def find_playing(self, session_id: str) -> SessionRecord | None:
        """Returns the record of a session if it plays."""
        record = self.by_id.get(session_id)
        return record if record is not None and record.phase is SessionPhase.PLAYING else None

    def find_attempt(self, session_id: str, attempt: int, phase: SessionPhase) -> SessionRecord | None:
        """Returns the record of a session if it is in that phase by that attempt."""
        record = self.by_id.get(session_id)
        if record is None or record.phase is not phase or record.attempt != attempt:
            return None
        return record

    def add_ticket(self, record: SessionRecord, ticket: int) -> None:
        """Records that an open request waits for a session."""
        record.tickets.append(ticket)
        self.by_ticket[ticket] = record

    def take_tickets(self, record: SessionRecord) -> list[int]:
        """Removes and returns all requests that wait for a session, in order."""
        tickets, record.tickets = record.tickets, []
        for ticket in tickets:
            del self.by_ticket[ticket]
        return tickets

    def attach_to_server(self, record: SessionRecord) -> None:
        """Records that a session has an attempt in flight or plays at its server."""
        self.by_server.setdefault(record.server, {})[record.request.session_id] = record

    def detach_from_server(self, record: SessionRecord) -> None:
        """Records that a session is no longer at its server."""
        at_server = self.by_server.get(record.server)
        if at_server is not None:
            at_server.pop(record.request.session_id, None)
            if not at_server:
                del self.by_server[record.server]

    def playing_at(self, server: int) -> list[SessionRecord]:
        """Returns the sessions that play at a server."""
        at_server = self.by_server.get(server, {}).values()
        return [record for record in at_server if record.phase is SessionPhase.PLAYING]

    def remember_viewer(self, record: SessionRecord, *, is_moved: bool, max_viewers: int) -> None:
        """Stores the viewer of a session that ended, so that the viewer has the same key when it returns.

        The viewer of a request with its own key is stored only after a migration.
        """
        request = record.request
        if request.viewer_key and not is_moved:
            return
        self.known_viewers[request.viewer_key or request.session_id] = (record.key, is_moved)
        if len(self.known_viewers) > max_viewers:
            self.known_viewers.popitem(last=False)
