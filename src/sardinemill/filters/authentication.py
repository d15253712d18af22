"""Authentication of requests by API key, and authorization before execution."""

from collections.abc import Sequence
from typing import Protocol

from ..configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    ConfigurationChanged,
    ConfigurationConfirmed,
    hash_key,
)
from ..errors import Outcome
from ..interfaces import Emission
from ..messages import (
    AuthenticatedRequest,
    CallerRequest,
    Refusal,
    RefusalCode,
    Request,
)

# Target: a change of the configuration is in force at every instance within 4 s.
MAX_CONFIRMATION_AGE_SECONDS = 4.0


class KeyPolicy(Protocol):
    """Decides whether keys are trusted at a given age of the confirmation."""

    def allows(self, confirmation: ConfigurationConfirmed, now: float) -> bool:
        """Return whether requests with keys may run."""
        ...


class StrictKeyPolicy:
    """Refuses requests with keys once the withdrawal of a key could have been missed.

    While the store is unreachable from every data centre no edit can be accepted, so
    the configuration in force is still the latest; ``confirmed_at`` is then the time
    of that evidence. After a pause of the instance, evidence from before it is too old.

    :param limit_seconds: greatest age of a confirmation.
    """

    def __init__(self, limit_seconds: float = MAX_CONFIRMATION_AGE_SECONDS) -> None:
        self._limit_seconds = limit_seconds

    def allows(self, confirmation: ConfigurationConfirmed, now: float) -> bool:
        return now - confirmation.confirmed_at <= self._limit_seconds


class AvailableKeyPolicy:
    """Serves at any age; a withdrawn key may work until a partition ends."""

    def allows(self, confirmation: ConfigurationConfirmed, now: float) -> bool:
        return True


_NEVER_CONFIRMED = ConfigurationConfirmed(version=0, confirmed_at=float("-inf"))


class KeyRegistry:
    """Keys of the configuration in force, and the age of its confirmation.

    :param policy: decides whether a configuration is too old to be trusted.
    """

    def __init__(self, policy: KeyPolicy) -> None:
        self._policy = policy
        self._confirmation = _NEVER_CONFIRMED
        self._key_ids_by_digest: dict[str, str] = {}
        self.configuration: Configuration = EMPTY_CONFIGURATION

    def update(self, message: ConfigurationChanged | ConfigurationConfirmed) -> None:
        """Apply a higher version or a newer confirmation."""
        if isinstance(message, ConfigurationConfirmed):
            self._confirmation = message
            return
        if message.configuration.version > self.configuration.version:
            self.configuration = message.configuration
            self._key_ids_by_digest = {
                key.digest: key.key_id for key in self.configuration.keys.values()
            }

    def find_key(self, key: str) -> str | None:
        """Return the id of a key in clear text, or ``None`` when it is unknown."""
        return self._key_ids_by_digest.get(hash_key(key))

    def is_current(self, now: float) -> bool:
        """Return whether the policy trusts the configuration in force."""
        return self._policy.allows(self._confirmation, now)


def make_stale_configuration_refusal(request_id: str, step: str) -> Refusal:
    """Return the refusal of an instance that may have missed a key's withdrawal."""
    return Refusal(
        request_id=request_id,
        code=RefusalCode.CONFIGURATION_TOO_OLD,
        outcome=Outcome.NOT_RUN,
        step=step,
        message="this instance cannot confirm its configuration",
        retry_after_seconds=1.0,
    )


class Authentication:
    """Filter at the entry instance that maps a request's key to its workspace.

    The key is removed from the request, so that it reaches no peer, upstream or log.

    Outlets: ``next`` for :class:`AuthenticatedRequest` and cancellations, ``reply``.
    """

    next_tick: float | None = None

    def __init__(self, policy: KeyPolicy) -> None:
        self._registry = KeyRegistry(policy)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, ConfigurationChanged | ConfigurationConfirmed):
            self._registry.update(message)
            return ()
        if not isinstance(message, CallerRequest):
            return (Emission("next", message),)
        return (self._authenticate(message, now),)

    def tick(self, now: float) -> Sequence[Emission]:
        return ()

    def _authenticate(self, caller: CallerRequest, now: float) -> Emission:
        key_id = None if caller.key is None else self._registry.find_key(caller.key)
        if key_id is None:
            return self._make_refusal(
                caller, RefusalCode.UNAUTHORIZED, "the key is missing or unknown"
            )
        if not self._registry.is_current(now):
            return Emission(
                "reply",
                make_stale_configuration_refusal(caller.request_id, "authentication"),
            )
        configuration = self._registry.configuration
        workspace = configuration.workspaces[configuration.keys[key_id].workspace]
        if caller.session is not None and caller.session.workspace != workspace.name:
            return self._make_refusal(
                caller,
                RefusalCode.FORBIDDEN,
                "the session token belongs to another workspace",
            )
        return Emission(
            "next",
            AuthenticatedRequest(
                caller=_remove_key(caller),
                workspace=workspace.name,
                key_id=key_id,
                group=workspace.group,
            ),
        )

    def _make_refusal(
        self, caller: CallerRequest, code: RefusalCode, message_text: str
    ) -> Emission:
        return Emission(
            "reply",
            Refusal(
                request_id=caller.request_id,
                code=code,
                outcome=Outcome.NOT_RUN,
                step="authentication",
                message=message_text,
            ),
        )


class Authorization:
    """Filter before execution that refuses requests whose key is no longer in force.

    It catches requests that were queued or forwarded before their key was withdrawn.

    Outlets: ``next``, ``reply``.
    """

    next_tick: float | None = None

    def __init__(self, policy: KeyPolicy) -> None:
        self._registry = KeyRegistry(policy)

    def handle(self, message: object, now: float) -> Sequence[Emission]:
        if isinstance(message, ConfigurationChanged | ConfigurationConfirmed):
            self._registry.update(message)
            return ()
        if isinstance(message, Request):
            refusal = self.check(message, now)
            if refusal is not None:
                return (Emission("reply", refusal),)
        return (Emission("next", message),)

    def tick(self, now: float) -> Sequence[Emission]:
        return ()

    def check(self, request: Request, now: float) -> Refusal | None:
        """Return the refusal of a request whose key is not in force, or ``None``."""
        if not self._registry.is_current(now):
            return make_stale_configuration_refusal(request.request_id, "authorization")
        key = self._registry.configuration.keys.get(request.key_id)
        if key is not None and key.workspace == request.workspace:
            return None
        return Refusal(
            request_id=request.request_id,
            code=RefusalCode.UNAUTHORIZED,
            outcome=Outcome.NOT_RUN,
            step="authorization",
            message="the key was withdrawn",
        )


def _remove_key(caller: CallerRequest) -> CallerRequest:
    return CallerRequest(
        request_id=caller.request_id,
        action=caller.action,
        key=None,
        sql=caller.sql,
        parameters=caller.parameters,
        declared_kind=caller.declared_kind,
        declared_idempotent=caller.declared_idempotent,
        idempotency_key=caller.idempotency_key,
        staleness_seconds=caller.staleness_seconds,
        session=caller.session,
        transaction_id=caller.transaction_id,
        deadline=caller.deadline,
    )
