"""Texts as the clients sent them, and the comparison with what the databases ran."""

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from sardinemill.emulator.line_protocol_database import ExecutedStatement

from .history import Violation

# A read is tried at up to three databases, and once more when a gateway stops.
MAX_READ_ATTEMPTS = 4
# Answers that the instance gives to a legal text without a database.
LEGAL_MALFORMED_REASONS = ("the transaction failed",)
_MINIMUM_POSITION = re.compile(r"\AAFTER \d+\.\d+ ")


@dataclass(frozen=True, slots=True, kw_only=True)
class SentStatement:
    """One statement of a client, and what its session had set up before it.

    :param prepared: mode and shape of the prepared statement that it executes, ``None``
        if it executes none.
    :param transaction: identifier of the ``BEGIN`` of the open transaction, empty
        outside one.
    :param answer: lines of the complete answer, empty without one.
    """

    client: str
    workspace: str
    statement_id: str
    text: str
    session_variables: tuple[tuple[str, str], ...] = ()
    prepared: tuple[str, str] | None = None
    transaction: str = ""
    is_read_only: bool = False
    answer: tuple[str, ...] = ()

    @property
    def verb(self) -> str:
        """First word of the text."""
        return self.text.partition(" ")[0]

    @property
    def is_read(self) -> bool:
        """Whether it may be tried again at another database."""
        mode = "" if self.prepared is None else self.prepared[0]
        return (self.verb == "READ" or mode == "READ") and not self.transaction


@dataclass(frozen=True, slots=True)
class Execution:
    """Statement that a database has executed."""

    database: str
    statement: ExecutedStatement


class TextLog:
    """Statements of all clients, by identifier."""

    def __init__(self) -> None:
        self.sent: dict[str, SentStatement] = {}

    def record_sent(self, statement: SentStatement) -> None:
        """Add a statement before it is sent."""
        self.sent[statement.statement_id] = statement

    def record_answer(self, statement_id: str, lines: tuple[str, ...]) -> None:
        """Add the complete answer to a statement."""
        self.sent[statement_id] = replace(self.sent[statement_id], answer=lines)


class SessionTexts:
    """Texts of one session; follows what they set up.

    :param log: receives the statements.
    """

    def __init__(self, log: TextLog, client: str, workspace: str) -> None:
        self._log = log
        self._client = client
        self._workspace = workspace
        self._variables: dict[str, str] = {}
        self._transaction = ""
        self._is_read_only = False
        self.prepared: dict[str, tuple[str, str]] = {}

    def record_sent(self, statement_id: str, text: str) -> None:
        """Record a statement before it is sent."""
        prepared = None
        if text.startswith("EXECUTE "):
            prepared = self.prepared.get(text.split(" ")[1])
        self._log.record_sent(
            SentStatement(
                client=self._client,
                workspace=self._workspace,
                statement_id=statement_id,
                text=text,
                session_variables=tuple(sorted(self._variables.items())),
                prepared=prepared,
                transaction=self._transaction,
                is_read_only=self._is_read_only and bool(self._transaction),
            )
        )

    def record_answer(
        self, statement_id: str, text: str, lines: tuple[str, ...]
    ) -> None:
        """Record a complete answer and follow a change of the session."""
        self._log.record_answer(statement_id, lines)
        if any(line.startswith("DONE") for line in lines):
            self._follow(statement_id, text)
        if lines and lines[-1].startswith("READY I"):
            self._transaction = ""

    def _follow(self, statement_id: str, text: str) -> None:
        verb, _, fields = text.partition(" ")
        name, _, rest = fields.partition(" ")
        if verb == "SET":
            self._variables[name] = rest
        elif verb == "PREPARE":
            mode, _, shape = rest.partition(" ")
            self.prepared[name] = (mode, shape)
        elif verb == "DEALLOCATE":
            self.prepared.pop(name, None)
        elif verb == "BEGIN":
            self._transaction = statement_id
            self._is_read_only = fields == "READ"


def check_texts(
    sent: Mapping[str, SentStatement], executions: Sequence[Execution]
) -> list[Violation]:
    """Compare what databases executed and answered with what clients sent.

    Rules: ``UNASKED`` (a text that its client did not send, or too often), ``PINNED``
    (definition, session values or transaction differ from what the client set up),
    ``MIXED`` (workspace or rows of somebody else), ``MALFORMED`` (a legal text was
    refused).
    """
    violations: list[Violation] = []
    by_id: defaultdict[str, list[ExecutedStatement]] = defaultdict(list)
    for execution in executions:
        statement = execution.statement
        by_id[statement.statement_id].append(statement)
        origin = sent.get(statement.statement_id)
        if origin is None:
            detail = f"{execution.database} ran {statement.text!r}, which nobody sent"
            violations.append(Violation("UNASKED", detail))
        else:
            violations += _check_execution(origin, execution)
    violations += _check_attempts(sent, by_id)
    violations += _check_transactions(sent, executions)
    for origin in sent.values():
        violations += _check_answer(origin, by_id.get(origin.statement_id, ()))
    return violations


def count_rules(violations: Iterable[Violation]) -> dict[str, int]:
    """Return the number of violations of each rule."""
    return dict(sorted(Counter(item.rule for item in violations).items()))


def _check_execution(origin: SentStatement, execution: Execution) -> list[Violation]:
    ran = execution.statement
    found: list[Violation] = []

    def report(rule: str, detail: str) -> None:
        place = f"{execution.database}, for {origin.client}: "
        found.append(Violation(rule, place + detail))

    if not _is_same_text(origin, ran.text):
        report("UNASKED", f"sent {origin.text!r}, ran {ran.text!r}")
    if ran.workspace != origin.workspace:
        detail = f"{origin.workspace} sent {origin.text!r}, ran as {ran.workspace}"
        report("MIXED", detail)
    if ran.prepared != origin.prepared:
        report("PINNED", f"prepared {origin.prepared}, ran {ran.prepared}")
    if ran.session_variables != origin.session_variables:
        detail = f"set {origin.session_variables}, ran with {ran.session_variables}"
        report("PINNED", detail)
    if bool(ran.transaction) != bool(origin.transaction):
        place = "inside" if ran.transaction else "outside"
        report("PINNED", f"{origin.text!r} ran {place} a transaction")
    elif origin.transaction and ran.is_read_only != origin.is_read_only:
        report("PINNED", f"{origin.text!r} ran in a transaction of another kind")
    return found


def _is_same_text(origin: SentStatement, ran: str) -> bool:
    """Return whether a text is the client's, besides what an instance may change.

    It may require a log position outside transactions, and name a prepared statement
    otherwise.
    """
    if origin.is_read:
        ran = _MINIMUM_POSITION.sub("", ran, count=1)
    if origin.verb != "EXECUTE":
        return ran == origin.text
    verb, _, fields = ran.partition(" ")
    expected = origin.text.partition(" ")[2].partition(" ")[1:]
    return verb == "EXECUTE" and fields.partition(" ")[1:] == expected


def _check_attempts(
    sent: Mapping[str, SentStatement],
    by_id: Mapping[str, Sequence[ExecutedStatement]],
) -> list[Violation]:
    return [
        Violation("UNASKED", f"{sent[name].text!r} ran {len(statements)} times")
        for name, statements in by_id.items()
        if name in sent
        and len(statements) > (MAX_READ_ATTEMPTS if sent[name].is_read else 1)
    ]


def _check_transactions(
    sent: Mapping[str, SentStatement], executions: Iterable[Execution]
) -> list[Violation]:
    """Check that each transaction of a client is one transaction at one connection."""
    places: defaultdict[str, set[tuple[str, int, int]]] = defaultdict(set)
    owners: defaultdict[tuple[str, int, int], set[str]] = defaultdict(set)
    for execution in executions:
        ran = execution.statement
        origin = sent.get(ran.statement_id)
        if origin is not None and origin.transaction and ran.transaction:
            place = (execution.database, ran.connection, ran.transaction)
            places[origin.transaction].add(place)
            owners[place].add(origin.transaction)
    return [
        Violation("PINNED", f"transaction {name} ran at {sorted(found)}")
        for name, found in places.items()
        if len(found) > 1
    ] + [
        Violation("PINNED", f"transactions {sorted(names)} ran as one at {place}")
        for place, names in owners.items()
        if len(names) > 1
    ]


def _check_answer(
    origin: SentStatement, executions: Iterable[ExecutedStatement]
) -> list[Violation]:
    """Compare the answer with what databases answered to the same statement."""
    last = origin.answer[-2] if len(origin.answer) > 1 else "".join(origin.answer)
    if last.startswith("ERROR MALFORMED ") and not last.endswith(
        LEGAL_MALFORMED_REASONS
    ):
        return [Violation("MALFORMED", f"{origin.text!r} got {last}")]
    if last.startswith("ERROR UNKNOWN") and origin.prepared is not None:
        return [Violation("PINNED", f"{origin.text!r} got {last}")]
    if origin.verb not in ("READ", "WRITE", "EXECUTE", "COMMIT"):
        return []
    if not last.startswith("DONE"):
        return []
    if any(item.answer == origin.answer[:-1] for item in executions):
        return []
    detail = f"{origin.client} got {origin.answer[:-1]} for {origin.text!r}"
    return [Violation("MIXED", detail)]
