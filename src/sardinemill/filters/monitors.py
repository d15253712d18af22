"""Which instances listen for the heartbeats of which others."""

from collections.abc import Collection, Mapping

from ..groups import rank_candidates

# Two, so that one bad link or one failed monitor moves nobody else's view.
N_MONITORS = 2
# Ranks that count in all: the next two replace the monitors if both are suspected, and
# only then, because a subject learns late that it has to send to others. The bound
# keeps a cut from making an instance send to a whole data centre.
N_RANKED = 4


class MonitorTable:
    """Monitors of every instance by rendezvous hash of its name.

    In each data centre the first instances of the ranking for a subject listen for it.
    Only the rankings of the own data centre, and that of the own name everywhere, are
    kept. A change of members recomputes only the rankings that it can move.

    :param instance: own name.
    :ivar near: instances of the own data centre, this one included.
    :ivar n_members: other instances.
    """

    def __init__(self, instance: str, data_centre: str) -> None:
        self.near: frozenset[str] = frozenset({instance})
        self.n_members = 0
        self._instance = instance
        self._data_centre = data_centre
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._subjects: dict[str, set[str]] = {}
        self._receivers: list[tuple[str, ...]] = []

    def set_members(self, members: Mapping[str, str]) -> None:
        """Take the candidates.

        :param members: data centre of each other instance by name.
        """
        near = {name for name, place in members.items() if place == self._data_centre}
        near.add(self._instance)
        added, removed = near - self.near, self.near - near
        ranked = {}
        for subject in members:
            known = self._ranked.get(subject)
            if known is None or not removed.isdisjoint(known):
                ranked[subject] = _rank(subject, near)
            elif added:
                ranked[subject] = _rank(subject, {*known, *added})
            else:
                ranked[subject] = known
        self.n_members = len(members)
        self.near, self._ranked = frozenset(near), ranked
        self._subjects = {}
        for subject, names in ranked.items():
            for name in names:
                self._subjects.setdefault(name, set()).add(subject)
        places: dict[str, set[str]] = {}
        for name, place in members.items():
            places.setdefault(place, set()).add(name)
        self._receivers = [_rank(self._instance, names) for names in places.values()]

    def list_receivers(self, suspected: Collection[str]) -> list[str]:
        """List the instances that heartbeats go to.

        Suspected monitors stay, or they would not hear this instance when they come
        back; if all are suspected, the next ones in the ranking get them as well.
        """
        names: list[str] = []
        for ranked in self._receivers:
            names.extend(ranked[:N_MONITORS])
            names.extend(
                name
                for name in _find_judges(ranked, suspected)
                if name not in ranked[:N_MONITORS]
            )
        return names

    def list_judges(self, subject: str, suspected: Collection[str]) -> tuple[str, ...]:
        """List the monitors of the own data centre whose word counts for a subject."""
        return _find_judges(self._ranked.get(subject, ()), suspected)

    def list_subjects(self, monitor: str) -> Collection[str]:
        """List the instances in whose rankings a monitor is."""
        return self._subjects.get(monitor, ())

    def is_monitor(self, subject: str) -> bool:
        """Tell whether this instance is one of the first monitors of a subject."""
        return self._instance in self._ranked.get(subject, ())[:N_MONITORS]


def _rank(subject: str, names: Collection[str]) -> tuple[str, ...]:
    others = (name for name in names if name != subject)
    return tuple(rank_candidates(f"monitor {subject}", others)[:N_RANKED])


def _find_judges(
    ranked: tuple[str, ...], suspected: Collection[str]
) -> tuple[str, ...]:
    """The first monitors in use, or those that replace them if none is."""
    usable = [name for name in ranked if name not in suspected]
    first = [name for name in usable if name in ranked[:N_MONITORS]]
    return tuple(first or usable)
