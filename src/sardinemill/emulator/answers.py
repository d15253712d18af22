"""Sends answers on the sockets of a database stand-in, or spoils them on purpose."""

from collections.abc import Callable
from dataclasses import replace

from aiohttp import web

from ..interfaces import Clock
from .faults import DatabaseFaults
from .service import ChangeSignal


class AnswerGate:
    """Owner of the faults and of everything that is sent to clients.

    :param clock: times delays.
    :param on_change: called after each change of faults.
    """

    def __init__(self, clock: Clock, on_change: Callable[[], None]) -> None:
        self.faults = DatabaseFaults()
        self._clock = clock
        self._on_change = on_change
        self._changed = ChangeSignal()
        self._silent: set[web.WebSocketResponse] = set()
        self._held: tuple[web.WebSocketResponse, bytes] | None = None

    def set_faults(self, faults: DatabaseFaults) -> None:
        """Put faults in force."""
        self.faults = faults
        self._changed.notify()
        self._on_change()

    def silence(self, sockets: set[web.WebSocketResponse]) -> None:
        """Drop everything from and to these sockets from now on."""
        self._silent |= sockets

    def forget(self, socket: web.WebSocketResponse) -> None:
        """Drop what is kept about a closed socket."""
        self._silent.discard(socket)
        if self._held is not None and self._held[0] is socket:
            self._held = None

    async def enter(self, socket: web.WebSocketResponse | None = None) -> bool:
        """Wait while the database is frozen.

        :returns: whether the socket is served; a silent one is not.
        """
        while self.faults.is_frozen:
            await self._changed.wait()
        return socket not in self._silent

    async def answer_ping(self, socket: web.WebSocketResponse, data: bytes) -> None:
        """Answer a ping unless the socket is silent."""
        if await self.enter(socket):
            await socket.pong(data)

    async def answer_control(self, socket: web.WebSocketResponse, data: bytes) -> None:
        """Answer a call of the control channel."""
        if not await self.enter(socket):
            return
        n_lost = self.faults.n_lost_control_answers
        if n_lost > 0:
            self.faults = replace(self.faults, n_lost_control_answers=n_lost - 1)
            return
        await socket.send_bytes(data)

    async def answer(self, socket: web.WebSocketResponse, data: bytes) -> None:
        """Answer a statement."""
        if self.faults.delay_seconds > 0:
            await self._clock.sleep(self.faults.delay_seconds)
        if not await self.enter(socket):
            return
        faults = self.faults
        if faults.n_lost_answers > 0:
            self.faults = replace(faults, n_lost_answers=faults.n_lost_answers - 1)
        elif faults.n_crossed_pairs > 0:
            await self._cross(socket, data)
        else:
            await socket.send_bytes(data)

    async def _cross(self, socket: web.WebSocketResponse, data: bytes) -> None:
        """Hold the first answer of a pair, and swap it with the second."""
        if self._held is None or self._held[0] is socket:
            self._held = (socket, data)
            return
        other, other_data = self._held
        self._held = None
        n_left = self.faults.n_crossed_pairs - 1
        self.faults = replace(self.faults, n_crossed_pairs=n_left)
        await socket.send_bytes(other_data)
        await other.send_bytes(data)
