"""Exceptions of the package, with the step, the peer and the outcome of a request."""

from enum import StrEnum


class Outcome(StrEnum):
    """What is known about the effect of a request."""

    NOT_RUN = "not run"
    DONE = "done"
    UNKNOWN = "unknown"


class SardinemillError(Exception):
    """Base of all errors of the package.

    :cvar code: kind of the error, as written in error frames of a database.
    :param message: description of the error, without caller data.
    :param step: filter or operation in which the error arose.
    :param peer: instance, upstream or platform address involved, or ``""``.
    :param outcome: effect of the request as far as it is known.
    """

    code = "internal"

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = "",
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.outcome = outcome


class SettingsError(SardinemillError):
    """One or more settings are missing or malformed."""

    code = "settings"


class ConfigurationError(SardinemillError):
    """A configuration document is invalid."""

    code = "configuration"


class TokenError(SardinemillError):
    """A session token or transaction id is forged, truncated or of another fleet."""

    code = "bad token"


class CodecError(SardinemillError):
    """A message could not be encoded or decoded."""

    code = "bad message"


class StoreError(SardinemillError):
    """The platform's store failed; the effect of an update may be unknown."""

    code = "store"


class StoreConflict(StoreError):
    """The object of a conditional update is not at the expected version.

    :param current_version: version in the store, 0 if the object does not exist.
    """

    code = "store conflict"

    def __init__(
        self, message: str, *, step: str, peer: str = "", current_version: int = 0
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.current_version = current_version


class StoreUnavailable(StoreError):
    """The store did not answer in time, refused the call or is rate limited."""

    code = "store unavailable"


class StoreAnswerLost(StoreUnavailable):
    """Injected fault: a stand-in applied the update and drops its answer."""


class UpstreamError(SardinemillError):
    """An upstream rejected a call, or the call failed."""

    code = "upstream"


class UpstreamUnavailable(UpstreamError):
    """No connection to the upstream, or the connection broke or timed out."""

    code = "upstream unavailable"


class UpstreamFenced(UpstreamError):
    """The upstream is fenced at a higher term or is not the primary."""

    code = "upstream fenced"


class UpstreamBusy(UpstreamError):
    """The upstream has no free connection."""

    code = "upstream busy"


class StatementError(UpstreamError):
    """The database rejected the SQL of a statement."""

    code = "statement"


class IdempotencyKeyReused(UpstreamError):
    """The idempotency key was used before with another request body."""

    code = "idempotency key reused"


class TransactionClosed(UpstreamError):
    """The connection has no open transaction, or it was rolled back."""

    code = "transaction closed"
