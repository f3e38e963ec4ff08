"""The front's side of its peers: what they see of it and do to it, and nothing else. A thin shell.

Implements `peers.port.Port` with `acting`. It is loaded only where the settings have a `[peers]` section.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from fernweir.front.boxes import BoxClient
from fernweir.front.boxlist import BoxLine, BoxList, ListError, read_document
from fernweir.front.commands import ReplyKind, SessionReply, SessionRequest
from fernweir.front.dispatcher import Dispatcher, InvalidServerReplyError
from fernweir.front.peer_view import Acting
from fernweir.front.session_manager import SessionPhase, SessionRecord
from fernweir.http.client import Outcome, Reply
from fernweir.interface import Result
from fernweir.peers.acts.versions import boxes_digest
from fernweir.peers.forward.messages import Carried, Carry
from fernweir.peers.port import ClaimResult, SessionStatus

_PAYLOADS_KEPT = 4_096


class Peering(Acting):
    """`wall_ms` gives wall time now. `fences` is asked under which channel and fence a session is steered."""

    def __init__(
        self, core: Dispatcher, boxes: BoxList, client: BoxClient, classes: Mapping[str, int],
        wall_ms: Callable[[], float],
    ) -> None:  # fmt: skip
        super().__init__(core, self, wall_ms)
        self._boxes, self._client, self._classes = boxes, client, classes
        self._names = {number: name for name, number in classes.items()}
        self._payloads: OrderedDict[bytes, bytes] = OrderedDict()
        self._letting_go = False

    # --- what peers ask of the front ---

    def session_statuses(self) -> list[SessionStatus]:
        return [self._standing(held) for held in self._core.sessions.records().values() if _plays(held)]

    def payload(self, digest: bytes) -> bytes | None:
        return self._payloads.get(digest)

    def server_numbers(self) -> list[int]:
        """All boxes that the list names now."""
        return [box for box, line in self._boxes.boxes.items() if line.state != "gone"]

    def racks(self) -> list[tuple[str, frozenset[int], float]]:
        settings = self._core.sessions.settings
        boxes: dict[int, set[int]] = {rack: set() for rack in range(settings.rack_count)}
        for box, line in self._boxes.boxes.items():
            boxes[line.cell % settings.rack_count].add(box)
        # Without a figure for uplinks they are no limit: as much as all links together.
        return [
            (
                str(rack),
                frozenset(those),
                settings.uplink_rate_kbyte_s or settings.link_rate_per_weight_kbyte_s * max(len(those), 1),
            )
            for rack, those in boxes.items()
        ]

    def endpoint_list_document(self) -> bytes:
        return self._boxes.to_cache()

    def adopt_endpoint_list(self, now: float, data: bytes, digest: bytes) -> bool:
        try:
            document = read_document(data)
            shown = _rows(document.boxes, [(one.title, one.cell, one.copies) for one in document.lessons])
            # Another life of the list server can't be set in order with this one: its own word is waited for.
            if boxes_digest(shown) != digest or document.epoch != self._boxes.epoch:
                return False
            update = self._boxes.take_whole(now, document)
        except (ListError, ValueError) as error:
            self._core.log.warning("a peer's list is no good", why=str(error))
            return False
        if update is not None:
            self._core.sessions.on_endpoint_list(now, update)
            self._core.schedule_step()
        return update is not None

    def adopt_session(self, now: float, standing: SessionStatus, payload: bytes | None) -> bool:
        core, lesson = self._core, self._boxes.lessons.get(standing.title)
        cls, carrier = self._classes.get(standing.cls), core.set_up_codecs.get(standing.via)
        if lesson is None or cls is None or carrier is None:
            return False
        unpacked = None
        if payload is not None:
            try:
                unpacked = carrier.unpack(cls, standing.top_rung, payload)
            except InvalidServerReplyError as error:
                core.log.warning("inherited payload is no good", session=standing.session, why=str(error))
            else:
                self._keep(standing.payload, payload)
        ask = SessionRequest(
            ticket=0,
            protocol=standing.via,
            session_id=standing.session,
            subject=standing.who,
            title_name=standing.title,
            title=lesson.number,
            first_zone=lesson.first_cell,
            replicas=lesson.copies,
            class_index=cls,
            top_rung=standing.top_rung,
            max_wait_ms=0.0,
            tenant=standing.tenant,
            viewer_key=standing.key,
        )
        taken = core.sessions.adopt_session(
            now, ask, standing.box, attempt=standing.attempt, rung=standing.rung, payload=unpacked,
            informed_viewers=max(standing.answers, 1), is_answerable=unpacked is not None,
        )  # fmt: skip
        if taken:
            self._client.listen(standing.box)
            core.schedule_step()
        return taken

    def on_session_missing(self, now: float, session: str, attempt: int) -> None:
        self._core.sessions.on_session_ended(now, session, attempt, Result.RESET)
        self._core.schedule_step()

    def relinquish_session(self, now: float, session: str) -> bool:
        self._letting_go = True  # another's now, not over: standbys must not be told of an end
        gone = self._core.sessions.hand_over_session(now, session)
        self._letting_go = False
        if gone:
            self._core.schedule_step()
        return gone

    def release_attempt(
        self, now: float, box: int, session: str, attempt: int, why: str, under: tuple[str, int]
    ) -> None:
        self._client.drop(box, session, attempt, why, under)

    def claim_channel(
        self, box: int, channel: str, fence: int, overlap_ms: float,
        then: Callable[[float, ClaimResult], None], adopt: Sequence[tuple[str, int]] = (),
    ) -> None:  # fmt: skip
        def done(reply: Reply) -> None:
            then(self._core.now(), _claimed(box, reply))

        self._client.claim(box, channel, fence, overlap_ms, done, adopt)

    def execute_forwarded(self, request: Carry, then: Callable[[float, Carried], None]) -> None:
        core, number = self._core, request.number
        held = core.sessions.session(request.session)
        if held is None:
            then(core.now(), Carried(number, "none"))
        elif request.what == "look":
            then(core.now(), Carried(number, "done" if held.informed_viewers else "none"))
        elif request.what == "end":
            ended = core.sessions.release_session(core.now(), request.session)
            core.schedule_step()
            then(core.now(), Carried(number, "done" if ended else "none"))
        else:
            self._ask(request, then)

    def answer(self, ask: SessionRequest, carried: Carried) -> SessionReply | None:
        """What another front said to a request of this one's viewer; None if it holds no such session."""
        if carried.kind in ("none", "done"):
            return None
        kind = ReplyKind(carried.kind)
        if kind is not ReplyKind.PLAYS:
            return SessionReply(
                ask.ticket, kind, carried.why, carried.retry_ms, is_timeout=carried.timed_out, request=ask
            )
        try:
            payload = self._core.set_up_codecs[ask.protocol].unpack(
                ask.class_index, ask.top_rung, carried.data
            )
        except InvalidServerReplyError as error:
            return SessionReply(ask.ticket, ReplyKind.FAILED, str(error), request=ask)
        return SessionReply(
            ask.ticket, kind, request=ask, server=carried.box, attempt=carried.attempt, rung=carried.rung,
            payload=payload,
        )  # fmt: skip

    # --- what happens at the front ---

    def on_session_updated(self, now: float, held: SessionRecord) -> None:
        if self._listener is not None and _plays(held):
            self._listener.on_session_status(now, self._standing(held))

    def on_session_closed(self, now: float, held: SessionRecord, why: str) -> None:
        if self._listener is None or self._letting_go:
            return
        if _plays(held):
            self._listener.on_session_ended(now, held.request.session_id)
        else:
            self._listener.on_session_failed(now, held.request.session_id)

    def named(self, box: int) -> tuple[int, str]:
        return box, ""

    def draining(self) -> set[int]:
        return {box for box, line in self._boxes.boxes.items() if line.state == "draining"}

    def list_rows(self) -> list[tuple[int, Any]]:
        lessons = [(title, one.first_cell, one.copies) for title, one in self._boxes.lessons.items()]
        return _rows(self._boxes.boxes.values(), lessons)

    # --- pieces ---

    def _ask(self, request: Carry, then: Callable[[float, Carried], None]) -> None:
        core, lesson = self._core, self._boxes.lessons.get(request.title)
        cls, carrier = self._classes.get(request.cls), core.set_up_codecs.get(request.via)
        if lesson is None or cls is None or carrier is None:
            why = "lesson or class is not known to the session's front"
            then(core.now(), Carried(request.number, "failed", why))
            return

        def answered(answer: SessionReply) -> None:
            digest, data = carrier.pack(answer.payload) if answer.kind is ReplyKind.PLAYS else (b"", b"")
            then(
                core.now(),
                Carried(
                    request.number,
                    answer.kind.value,
                    answer.reason[:1_000],
                    answer.retry_after_ms,
                    answer.is_timeout,
                    answer.server,
                    answer.attempt,
                    answer.rung,
                    digest,
                    data,
                ),
            )

        ask = SessionRequest(
            ticket=core.next_ticket(), protocol=request.via, session_id=request.session, subject=request.who,
            title_name=request.title, title=lesson.number, first_zone=lesson.first_cell,
            replicas=lesson.copies, class_index=cls, top_rung=request.top_rung, max_wait_ms=request.wait_ms,
            tenant=request.tenant,
        )  # fmt: skip
        core.submit(ask, answered)

    def _standing(self, held: SessionRecord) -> SessionStatus:
        ask = held.request
        carrier = self._core.set_up_codecs[ask.protocol]
        digest, data = carrier.pack(held.payload)
        if digest:
            self._keep(digest, data)
        return SessionStatus(
            session=ask.session_id,
            via=ask.protocol,
            who=ask.subject,
            title=ask.title_name,
            cls=self._names[ask.class_index],
            top_rung=ask.top_rung,
            tenant=ask.tenant,
            key=ask.viewer_key,
            box=held.server,
            attempt=held.attempt,
            rung=held.rung,
            payload=digest,
            answers=held.informed_viewers,
            spent=held.attempt,
        )

    def _keep(self, digest: bytes, data: bytes) -> None:
        self._payloads[digest] = data
        self._payloads.move_to_end(digest)
        if len(self._payloads) > _PAYLOADS_KEPT:
            self._payloads.popitem(last=False)


def _rows(boxes: Iterable[BoxLine], lessons: Iterable[tuple[str, int, int]]) -> list[tuple[int, Any]]:
    rows: list[tuple[int, Any]] = [
        (one.box, [one.state, one.boot, one.host, one.port, one.cell, one.kind, one.weight])
        for one in boxes
        if one.state != "gone"
    ]
    return [*rows, (-1, sorted(map(list, lessons)))]


def _plays(held: SessionRecord) -> bool:
    return held.phase is SessionPhase.PLAYING


def _claimed(box: int, reply: Reply) -> ClaimResult:
    """What a box's answer to a claim says; one that can't be read says that the box was not reached."""
    if reply.outcome is not Outcome.ANSWERED or reply.status not in (200, 409):
        return ClaimResult(box, reached=False)
    try:
        body = json.loads(reply.body)
        sessions = tuple((str(jti), int(attempt), int(rung)) for jti, attempt, rung in body["sessions"])
        return ClaimResult(box, True, reply.status == 200, int(body["fence"]), sessions)
    except (ValueError, KeyError, TypeError, RecursionError):
        return ClaimResult(box, reached=False)
