"""Client of the platform's object store, and the adapter that runs store requests."""

import traceback
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from urllib.parse import quote, urlencode

import msgspec

from ..errors import ConfigurationError, StoreConflict, StoreError, StoreUnavailable
from ..events import Event, EventName
from ..fleet.records import Directory, FleetRecord
from ..fleet.store_messages import (
    ConfigurationRead,
    DirectoryRead,
    ReadDirectory,
    ReadRecord,
    RecordRead,
    RecordWritten,
    StoreFault,
    StoreOutcome,
    StoreRequest,
    StoreRequestFailed,
    WriteRecord,
)
from ..groups import Address
from ..interfaces import Clock, Outlet
from ..sessions.routes import Configuration, UnusableEntry, find_unusable_entries
from .background_tasks import BackgroundTasks
from .http import HttpClient, HttpError
from .json_documents import decode_document, decode_page
from .store_documents import (
    SkippedEntry,
    decode_configuration,
    decode_database_entries,
    decode_evacuations,
)
from .store_era import AnswerEras

# A slow store answers in about 0.25 s.
CALL_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 0.7

BASE_PATH = "/sardinemill/objects/"
RECORD_KIND = "sardinemill-fleet"
RECORD_NAME = "main"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
DATABASE_KIND = "servers"
# Objects by which operators ask to evacuate the data centre of that name.
EVACUATION_KIND = "evacuations"

# Bounds of the log line about skipped entries; other writers choose the names.
MAX_LOGGED_ENTRIES = 20
MAX_LOGGED_NAME_CHARACTERS = 100


@dataclass(frozen=True, slots=True)
class PlatformObject:
    """Object of the store.

    :param revision: of its last change, 0 if it does not exist.
    :param content: decoded ``spec``, ``UNREADABLE`` if it cannot be decoded.
    """

    name: str
    revision: int
    content: object


class PlatformStore:
    """Client of the object store; owns the HTTP client."""

    def __init__(self, address: Address) -> None:
        self._peer = str(address)
        self._client = HttpClient(address, CONNECT_TIMEOUT_SECONDS)

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def drain(self) -> None:
        """Do nothing: callers finish their calls."""

    async def stop(self) -> None:
        """Close the connections."""
        self._client.close()

    async def get(
        self,
        kind: str,
        name: str,
        *,
        may_be_stale: bool = False,
        eras: AnswerEras | None = None,
    ) -> PlatformObject:
        """Read one object.

        :param may_be_stale: accept an answer that is seconds old, at a lower price.
        :param eras: records the eras that the answers name.
        :returns: an object of revision 0 if it does not exist.
        :raises StoreUnavailable: when the store gives no valid answer in time.
        :raises StoreRejected: when the store answers with an error status.
        """
        query = {"stale_ok": "1"} if may_be_stale else {}
        data = await self._call("GET", f"{kind}/{_quote(name)}", query=query, eras=eras)
        answer = self._decode(data, "GET")
        return _decode_object(answer) if answer else PlatformObject(name, 0, None)

    async def put(
        self,
        kind: str,
        name: str,
        content: object,
        revision: int,
        *,
        eras: AnswerEras | None = None,
    ) -> int:
        """Create an object or replace a revision of it (compare-and-set).

        :param revision: that the object has now, 0 to create it.
        :param eras: records the eras that the answers name.
        :returns: the new revision.
        :raises StoreConflict: when the object has another revision or does not exist.
        :raises StoreUnavailable: when the store gives no valid answer in time.
        :raises StoreRejected: when the store answers with an error status.
        """
        meta: dict[str, object] = {"name": name, "finalizers": []}
        if revision:
            body = {"meta": {**meta, "revision": revision}, "spec": content}
            data = await self._call("PUT", f"{kind}/{_quote(name)}", body, eras=eras)
        else:
            body = {"meta": meta, "spec": content}
            data = await self._call("POST", kind, body, eras=eras)
        answer = self._decode(data, "put")
        if revision and not answer:
            raise StoreConflict("object does not exist", step="put", peer=self._peer)
        return _decode_object(answer).revision

    async def list(
        self, kind: str, *, eras: AnswerEras | None = None
    ) -> list[PlatformObject]:
        """Read all objects of a kind, page by page; skip items that are no objects.

        The content of an object that cannot be decoded is ``UNREADABLE``, and a name
        that is no text is empty.

        :param eras: records the eras that the answers name.
        :raises StoreUnavailable: when the store gives no valid answer in time.
        :raises StoreRejected: when the store answers with an error status.
        """
        found: list[PlatformObject] = []
        used: set[str] = {""}
        after = ""
        while True:
            query = {"after": after} if after else {}
            data = await self._call("GET", kind, query=query, eras=eras)
            try:
                page = decode_page(data)
            except ValueError as error:
                raise self._make_malformed("GET") from error
            objects = [_decode_object(item) for item in page.items]
            found.extend(objects)
            if not page.has_more:
                return found
            # The last names may be unusable; their objects are then listed once more.
            names = [item.name for item in objects if _is_encodable(item.name)]
            after = names[-1] if names else ""
            if after in used:
                raise self._make_malformed("GET")
            used.add(after)

    async def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        query: Mapping[str, str] | None = None,
        eras: AnswerEras | None = None,
    ) -> bytes:
        """Make one call.

        :param eras: records the era that the answer names, whatever its status.
        :returns: body of the answer, empty if the object does not exist.
        """
        target = BASE_PATH + path
        if query:
            # Not every server reads the form's ``+`` as a blank.
            target += "?" + urlencode(query, quote_via=quote, safe="")
        try:
            answer = await self._client.request(
                method, target, body=body, timeout_seconds=CALL_TIMEOUT_SECONDS
            )
        except HttpError as error:
            raise StoreUnavailable(
                error.message, step=method, peer=self._peer
            ) from error
        if eras is not None:
            eras.record(answer.headers)
        status = answer.status
        if status == 404:
            return b""
        if status == 409:
            raise StoreConflict("revision mismatch", step=method, peer=self._peer)
        if status not in (200, 201):
            raise StoreRejected(f"status {status}", step=method, peer=self._peer)
        return answer.body

    def _decode(self, data: bytes, step: str) -> Mapping[str, object]:
        try:
            return decode_document(data)
        except ValueError as error:
            raise self._make_malformed(step) from error

    def _make_malformed(self, step: str) -> StoreUnavailable:
        return StoreUnavailable("malformed answer", step=step, peer=self._peer)


class StoreRejected(StoreError):
    """The store rejected a request without effect."""

    code = "store rejected"


def _decode_object(item: Mapping[str, object]) -> PlatformObject:
    meta = item.get("meta")
    meta = meta if isinstance(meta, Mapping) else {}
    name = meta.get("name")
    return PlatformObject(
        name if isinstance(name, str) else "",
        _decode_revision(meta.get("revision")),
        item.get("spec"),
    )


def _quote(name: str) -> str:
    """Return a name as one segment of a path."""
    return quote(name, safe="")


def _is_encodable(name: str) -> bool:
    """Return whether a name can be part of a URL, so that a list continues from it."""
    try:
        return bool(name.encode())
    except UnicodeEncodeError:
        return False


def _decode_revision(value: object) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else 0


class PlatformStoreTask:
    """Runs the filters' store requests concurrently; emits one outcome for each.

    :param sink: receives the outcomes.
    :param events: receives log events.
    :param has_evacuations: operators may evacuate data centres.
    """

    def __init__(
        self,
        store: PlatformStore,
        sink: Outlet,
        clock: Clock,
        events: Outlet,
        *,
        has_evacuations: bool = False,
    ) -> None:
        self._has_evacuations = has_evacuations
        self._store = store
        self._sink = sink
        self._clock = clock
        self._events = events
        self._calls = BackgroundTasks()
        self._skipped: tuple[SkippedEntry, ...] = ()
        self._unusable: tuple[UnusableEntry, ...] = ()
        self._malformed_era = ""

    async def start(self) -> None:
        """Do nothing: each call starts its own asyncio task."""

    async def drain(self) -> None:
        """Do nothing: coordinators use the store until the stop."""

    async def stop(self) -> None:
        """Cancel the calls in progress."""
        await self._calls.stop()

    def offer(self, message: object) -> bool:
        """Start the call for a store request; ignore other messages."""
        if isinstance(message, StoreRequest):
            self._calls.start(self._serve(message))
        return True

    async def _serve(self, request: StoreRequest) -> None:
        asked_at = self._clock.now()
        eras = AnswerEras()
        outcome: StoreOutcome
        try:
            outcome = await self._run_request(request, asked_at, eras)
        except StoreError as error:
            fault = StoreFault.NO_ANSWER
            if isinstance(error, StoreConflict):
                fault = StoreFault.CONFLICT
            elif isinstance(error, StoreRejected):
                fault = StoreFault.REJECTED
            outcome = StoreRequestFailed(request, fault, error.message, asked_at)
        except Exception as error:
            # Without an outcome the request would count as in progress forever. A write
            # may have taken effect.
            self._log_aborted(request, error)
            message = f"unexpected {type(error).__name__}"
            fault = StoreFault.NO_ANSWER
            outcome = StoreRequestFailed(request, fault, message, asked_at)
        self._log_malformed_era(eras.malformed)
        self._sink.offer(replace(outcome, era=eras.era))

    def _log_malformed_era(self, value: str) -> None:
        """Log an era that is not a whole number, unless the last answer had the same.

        :param value: start of the header, ``""`` if it is well-formed.
        """
        if value and value != self._malformed_era:
            fields = {"value": value, "reason": "not a whole number"}
            self._events.offer(Event(EventName.STORE_ERA_IGNORED, fields))
        self._malformed_era = value

    def _log_aborted(self, request: StoreRequest, error: Exception) -> None:
        # The error's text may hold contents of the store.
        frame = traceback.extract_tb(error.__traceback__)[-1]
        fields = {
            "call": type(request).__name__,
            "error": type(error).__name__,
            "location": f"{Path(frame.filename).name}:{frame.lineno}",
        }
        self._events.offer(Event(EventName.STORE_CALL_ABORTED, fields))

    async def _run_request(
        self, request: StoreRequest, asked_at: float, eras: AnswerEras
    ) -> StoreOutcome:
        if isinstance(request, ReadRecord):
            found = await self._store.get(
                RECORD_KIND, RECORD_NAME, may_be_stale=request.may_be_stale, eras=eras
            )
            return RecordRead(
                decode_record(found), found.revision, asked_at, request.may_be_stale
            )
        if isinstance(request, ReadDirectory):
            return DirectoryRead(await self._read_directory(eras), asked_at)
        if isinstance(request, WriteRecord):
            content = msgspec.to_builtins(request.record)
            revision = await self._store.put(
                RECORD_KIND, RECORD_NAME, content, request.revision, eras=eras
            )
            return RecordWritten(request.record, revision, asked_at)
        found = await self._store.get(CONFIGURATION_KIND, CONFIGURATION_NAME, eras=eras)
        return ConfigurationRead(self._decode_configuration(found), asked_at)

    async def _read_directory(self, eras: AnswerEras) -> Directory:
        objects = await self._store.list(DATABASE_KIND, eras=eras)
        pairs = [(item.name, item.content) for item in objects]
        directory, skipped = decode_database_entries(pairs)
        self._log_skipped(skipped)
        if not self._has_evacuations:
            return directory
        evacuations = await self._store.list(EVACUATION_KIND, eras=eras)
        names = decode_evacuations(item.name for item in evacuations)
        return replace(directory, evacuated_data_centres=names)

    def _log_skipped(self, skipped: tuple[SkippedEntry, ...]) -> None:
        """Log the skipped entries of databases if they have changed."""
        if skipped == self._skipped:
            return
        self._skipped = skipped
        texts = [f"{_shorten(item.name)}: {item.reason}" for item in skipped]
        fields = {"n_entries": len(texts), "entries": texts[:MAX_LOGGED_ENTRIES]}
        self._events.offer(Event(EventName.DATABASE_ENTRIES_SKIPPED, fields))

    def _log_unusable(self, configuration: Configuration) -> None:
        """Log the entries of the configuration that are not used if they have changed.

        Names are quoted, since blanks at their ends may be the reason.
        """
        unusable = tuple(find_unusable_entries(configuration))
        if unusable == self._unusable:
            return
        self._unusable = unusable
        texts = [
            f"{item.kind} {_shorten(item.name)!r}: {item.reason}" for item in unusable
        ]
        fields = {"n_entries": len(texts), "entries": texts[:MAX_LOGGED_ENTRIES]}
        self._events.offer(Event(EventName.CONFIGURATION_ENTRIES_UNUSABLE, fields))

    def _decode_configuration(self, found: PlatformObject) -> Configuration | None:
        if not found.revision:
            return None
        try:
            configuration = decode_configuration(found.content)
        except ConfigurationError as error:
            fields = {"reason": error.message, "revision": found.revision}
            self._events.offer(Event(EventName.CONFIGURATION_REJECTED, fields))
            return None
        self._log_unusable(configuration)
        return configuration


def _shorten(name: str) -> str:
    return name[:MAX_LOGGED_NAME_CHARACTERS]


def decode_record(found: PlatformObject) -> FleetRecord:
    """Decode the fleet record.

    :returns: an empty record if the object does not exist.
    :raises StoreError: when the content is not a fleet record.
    """
    if not found.revision:
        return FleetRecord()
    try:
        record = msgspec.convert(found.content, FleetRecord)
        # Otherwise the record could not be passed on to the other instances.
        msgspec.msgpack.encode(record)
    except (msgspec.ValidationError, OverflowError, UnicodeEncodeError) as error:
        raise StoreError(
            f"the fleet record is malformed: {error}", step="decode record"
        ) from error
    return record
