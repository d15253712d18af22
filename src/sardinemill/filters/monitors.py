"""Assignment of monitors: which instances receive the heartbeats of which others."""

from collections.abc import Collection, Mapping

from ..groups import rank_candidates

# Two, so that one bad link or one failed monitor does not change the membership that
# other instances see.
N_MONITORS = 2
# Length of the rankings: the next two replace the monitors if both are suspected, and
# only then, because a subject learns late that it has to send to others. The bound
# keeps a network partition from making an instance send to a whole data centre.
N_RANKED = 4


class MonitorTable:
    """Monitors of every instance, chosen by rendezvous hash of its name.

    In each data centre the first instances of the ranking for a subject monitor it. The
    table holds the rankings of the local data centre for all subjects, and those of all
    data centres for this instance. A membership change recomputes only the rankings
    that it can affect.

    :param instance: name of this instance.
    :ivar local_members: instances of the local data centre, this one included.
    :ivar n_members: number of other instances.
    """

    def __init__(self, instance: str, data_centre: str) -> None:
        self.local_members: frozenset[str] = frozenset({instance})
        self.n_members = 0
        self._instance = instance
        self._data_centre = data_centre
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._subjects: dict[str, set[str]] = {}
        self._receivers: list[tuple[str, ...]] = []

    def set_members(self, members: Mapping[str, str]) -> None:
        """Replace the candidates.

        :param members: data centre of each other instance by name.
        """
        local_members = {
            name
            for name, data_centre in members.items()
            if data_centre == self._data_centre
        }
        local_members.add(self._instance)
        added, removed = (
            local_members - self.local_members,
            self.local_members - local_members,
        )
        ranked = {}
        for subject in members:
            known = self._ranked.get(subject)
            if known is None or not removed.isdisjoint(known):
                ranked[subject] = _rank(subject, local_members)
            elif added:
                ranked[subject] = _rank(subject, {*known, *added})
            else:
                ranked[subject] = known
        self.n_members = len(members)
        self.local_members, self._ranked = frozenset(local_members), ranked
        self._subjects = {}
        for subject, names in ranked.items():
            for name in names:
                self._subjects.setdefault(name, set()).add(subject)
        members_by_data_centre: dict[str, set[str]] = {}
        for name, data_centre in members.items():
            members_by_data_centre.setdefault(data_centre, set()).add(name)
        self._receivers = [
            _rank(self._instance, names) for names in members_by_data_centre.values()
        ]

    def list_receivers(self, suspected: Collection[str]) -> list[str]:
        """List the instances that this instance sends heartbeats to.

        Suspected monitors are included, or they would not hear this instance when they
        recover; if all are suspected, the next ones in the ranking are added.
        """
        names: list[str] = []
        for ranked in self._receivers:
            names.extend(ranked[:N_MONITORS])
            names.extend(
                name
                for name in _select_active_monitors(ranked, suspected)
                if name not in ranked[:N_MONITORS]
            )
        return names

    def list_active_monitors(
        self, subject: str, suspected: Collection[str]
    ) -> tuple[str, ...]:
        """List the monitors of the local data centre whose reports count."""
        return _select_active_monitors(self._ranked.get(subject, ()), suspected)

    def list_subjects(self, monitor: str) -> Collection[str]:
        """List the instances whose rankings contain a monitor."""
        return self._subjects.get(monitor, ())

    def is_first_monitor(self, subject: str) -> bool:
        """Return whether this instance is one of the first monitors of a subject."""
        return self._instance in self._ranked.get(subject, ())[:N_MONITORS]


def _rank(subject: str, names: Collection[str]) -> tuple[str, ...]:
    others = (name for name in names if name != subject)
    return tuple(rank_candidates(f"monitor {subject}", others)[:N_RANKED])


def _select_active_monitors(
    ranked: tuple[str, ...], suspected: Collection[str]
) -> tuple[str, ...]:
    """Return the unsuspected first monitors, or their replacements if none is left."""
    usable = [name for name in ranked if name not in suspected]
    first = [name for name in usable if name in ranked[:N_MONITORS]]
    return tuple(first or usable)
