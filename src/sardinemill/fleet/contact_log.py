"""Contacts with databases that an instance still has to report."""

from dataclasses import dataclass

from .views import DatabaseContact

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class _RecordedContact:
    """Last contact with a database.

    :param number: increases with each recorded contact.
    """

    contact: DatabaseContact
    number: int


class ContactLog:
    """Last contact with each database, and what was reported to whom.

    :ivar has_failure: a database did not answer since the last call of
        :meth:`clear_failure`.
    """

    def __init__(self) -> None:
        self._contacts: dict[str, _RecordedContact] = {}
        self._reported: dict[str, int] = {}
        self._n_recorded = 0
        self.has_failure = False

    def record(self, contact: DatabaseContact) -> None:
        """Record a contact unless a later one with the database is known."""
        known = self._contacts.get(contact.database)
        if known is not None and contact.at < known.contact.at:
            return
        self._n_recorded += 1
        recorded = _RecordedContact(contact, self._n_recorded)
        self._contacts[contact.database] = recorded
        if not contact.is_alive:
            self.has_failure = True

    def clear_failure(self) -> None:
        """Note that all coordinators are told of the failures so far."""
        self.has_failure = False

    def list_unreported(self, peer: str) -> list[DatabaseContact]:
        """Return the contacts since the last call for a peer."""
        reported = self._reported.get(peer, 0)
        self._reported[peer] = self._n_recorded
        return [
            item.contact for item in self._contacts.values() if item.number > reported
        ]
