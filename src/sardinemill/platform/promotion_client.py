"""Client of the platform's interface to promote databases."""

from ..fleet.failover_messages import PromoteDatabase, PromotionResult
from ..groups import Address
from ..interfaces import Clock, Outlet
from .background_tasks import BackgroundTasks
from .http import HttpClient, HttpError

PROMOTION_PATH = "/promotion"
CALL_TIMEOUT_SECONDS = 1.2


class PromotionClient:
    """Sends promotion requests to the platform; emits one result for each.

    :param sink: receives :class:`PromotionResult`.
    """

    def __init__(self, address: Address, sink: Outlet, clock: Clock) -> None:
        self._client = HttpClient(address, CALL_TIMEOUT_SECONDS)
        self._sink = sink
        self._clock = clock
        self._calls = BackgroundTasks()

    async def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def drain(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Cancel the calls in progress."""
        await self._calls.stop()
        self._client.close()

    def offer(self, message: object) -> bool:
        """Start the call for a :class:`PromoteDatabase`; ignore other messages."""
        if isinstance(message, PromoteDatabase):
            self._calls.start(self._call(message))
        return True

    async def _call(self, command: PromoteDatabase) -> None:
        timeout_seconds = min(
            CALL_TIMEOUT_SECONDS, command.deadline - self._clock.now()
        )
        if timeout_seconds <= 0:
            result = PromotionResult(command, None, "deadline passed before the call")
            self._sink.offer(result)
            return
        headers = {
            "X-Duty-Holder": command.holder,
            "X-Fencing-Token": str(command.fence),
        }
        body = {"service": command.group, "id": command.database}
        try:
            answer = await self._client.request(
                "POST",
                PROMOTION_PATH,
                body=body,
                headers=headers,
                timeout_seconds=timeout_seconds,
            )
        except HttpError as error:
            result = PromotionResult(command, None, error.message)
        else:
            status = answer.status
            is_accepted = True if status == 200 else None
            # The platform declined, for instance because the database does not run. Any
            # other error status leaves the outcome unknown.
            is_accepted = False if status == 409 else is_accepted
            result = PromotionResult(command, is_accepted, f"status {status}")
        self._sink.offer(result)
