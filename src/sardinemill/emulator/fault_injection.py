"""Fault injection into the answers of a database stand-in."""

from collections.abc import Callable
from dataclasses import replace

from aiohttp import web

from ..interfaces import Clock
from .faults import DatabaseFaults
from .service import ChangeSignal


class FaultInjector:
    """Sends all answers to clients and applies the faults in force to them.

    :param clock: clock for delays.
    :param on_change: called after each change of the faults.
    """

    def __init__(self, clock: Clock, on_change: Callable[[], None]) -> None:
        self.faults = DatabaseFaults()
        self._clock = clock
        self._on_change = on_change
        self._changed = ChangeSignal()
        self._silenced_sockets: set[web.WebSocketResponse] = set()
        self._held_answer: tuple[web.WebSocketResponse, bytes] | None = None

    def set_faults(self, faults: DatabaseFaults) -> None:
        """Replace the faults in force."""
        self.faults = faults
        self._changed.notify()
        self._on_change()

    def silence(self, sockets: set[web.WebSocketResponse]) -> None:
        """Discard all messages from and to these sockets from now on."""
        self._silenced_sockets |= sockets

    def remove_socket(self, socket: web.WebSocketResponse) -> None:
        """Remove the state of a closed socket."""
        self._silenced_sockets.discard(socket)
        if self._held_answer is not None and self._held_answer[0] is socket:
            self._held_answer = None

    async def wait_until_served(
        self, socket: web.WebSocketResponse | None = None
    ) -> bool:
        """Wait while the database is frozen.

        :param socket: socket to check for silence, ``None`` for the wait alone.
        :returns: whether the socket is served; a silenced one is not.
        """
        while self.faults.is_frozen:
            await self._changed.wait()
        return socket not in self._silenced_sockets

    async def answer_ping(self, socket: web.WebSocketResponse, data: bytes) -> None:
        """Answer a ping unless the socket is silenced."""
        if await self.wait_until_served(socket):
            await socket.pong(data)

    async def answer_control(self, socket: web.WebSocketResponse, data: bytes) -> None:
        """Send the answer to a call of the control channel, or lose it."""
        if not await self.wait_until_served(socket):
            return
        n_remaining = self.faults.n_lost_control_answers
        if n_remaining > 0:
            self.faults = replace(self.faults, n_lost_control_answers=n_remaining - 1)
            return
        await socket.send_bytes(data)

    async def answer(self, socket: web.WebSocketResponse, data: bytes) -> None:
        """Send the answer to a statement, or delay, lose or swap it."""
        if self.faults.delay_seconds > 0:
            await self._clock.sleep(self.faults.delay_seconds)
        if not await self.wait_until_served(socket):
            return
        faults = self.faults
        if faults.n_lost_answers > 0:
            self.faults = replace(faults, n_lost_answers=faults.n_lost_answers - 1)
        elif faults.n_crossed_pairs > 0:
            await self._swap_answers(socket, data)
        else:
            await socket.send_bytes(data)

    async def _swap_answers(self, socket: web.WebSocketResponse, data: bytes) -> None:
        """Hold the first answer of a pair and send each on the other's socket.

        The two answers are for different sockets. A further answer for the socket of
        the held one replaces it, and the held one is lost.
        """
        if self._held_answer is None or self._held_answer[0] is socket:
            self._held_answer = (socket, data)
            return
        other_socket, other_data = self._held_answer
        self._held_answer = None
        n_remaining_pairs = self.faults.n_crossed_pairs - 1
        self.faults = replace(self.faults, n_crossed_pairs=n_remaining_pairs)
        await socket.send_bytes(other_data)
        await other_socket.send_bytes(data)
