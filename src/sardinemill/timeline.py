"""Merges the logs of several processes into one ordered time line."""

import heapq
import html
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime

ROW_HEIGHT_PIXELS = 18
LANE_WIDTH_PIXELS = 150
TIME_WIDTH_PIXELS = 130
LEVEL_COLOURS = {
    "debug": "#999999",
    "info": "#2b6cb0",
    "warning": "#b7791f",
    "error": "#c53030",
}


@dataclass(frozen=True, slots=True, kw_only=True)
class TimelineEntry:
    """Log event of one process.

    :param process: instance name and start of the incarnation's identifier.
    :param sequence: sequence number of the event within its process.
    :param wall_ns: wall clock, Unix time in nanoseconds.
    :param ordered_ns: sort key: the largest wall clock of the process up to this event,
        so that a clock that jumps back does not reorder the events of a process.
    :param number: number of the event type.
    :param name: name of the event type.
    """

    process: str
    sequence: int
    wall_ns: int
    ordered_ns: int
    number: int
    name: str
    level: str
    fields: Mapping[str, object] = field(default_factory=dict)

    @property
    def time(self) -> str:
        """Wall clock as text, in UTC with microseconds."""
        wall_time = datetime.fromtimestamp(self.wall_ns // 10**9, UTC)
        return f"{wall_time:%H:%M:%S}.{self.wall_ns % 10**9 // 1000:06d}"

    def format_fields(self) -> str:
        """Format the fields as ``name=value``."""
        return " ".join(f"{name}={value}" for name, value in self.fields.items())


@dataclass(frozen=True, slots=True, kw_only=True)
class Selection:
    """Criteria for the entries to show; an empty criterion matches every entry."""

    request_id: str = ""
    group: str = ""
    configuration_version: int | None = None

    def matches(self, entry: TimelineEntry) -> bool:
        """Return whether an entry meets all criteria."""
        required_fields: dict[str, object] = {}
        if self.request_id:
            required_fields["request_id"] = self.request_id
        if self.group:
            required_fields["group"] = self.group
        if self.configuration_version is not None:
            required_fields["configuration_version"] = self.configuration_version
        return all(
            entry.fields.get(name) == value for name, value in required_fields.items()
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Timeline:
    """Merged entries of all processes.

    :param n_unreadable: number of lines that could not be parsed, such as a truncated
        last line.
    """

    entries: tuple[TimelineEntry, ...]
    n_unreadable: int = 0


_ENTRY_FIELD_NAMES = frozenset(
    {"instance", "incarnation", "sequence", "wall_ns", "number", "name", "level"}
)
_OMITTED_FIELD_NAMES = _ENTRY_FIELD_NAMES | {"data_centre", "monotonic_seconds"}


def merge_logs(
    logs: Iterable[Iterable[str]], selection: Selection | None = None
) -> Timeline:
    """Merge log files.

    Entries are ordered by wall clock. The order within each process is kept even if its
    clock jumps back: an event never precedes an earlier event of its process.

    :param logs: lines of each file; a file may contain events of several processes.
    :param selection: entries to keep; all by default.
    """
    selection = selection or Selection()
    by_process: dict[str, list[TimelineEntry]] = {}
    n_unreadable = 0
    for lines in logs:
        for line in lines:
            if not line.strip():
                continue
            entry = _read_line(line)
            if entry is None:
                n_unreadable += 1
            else:
                by_process.setdefault(entry.process, []).append(entry)
    streams = [_order_entries(entries) for entries in by_process.values()]
    merged = heapq.merge(
        *streams, key=lambda entry: (entry.ordered_ns, entry.process, entry.sequence)
    )
    selected = tuple(entry for entry in merged if selection.matches(entry))
    return Timeline(entries=selected, n_unreadable=n_unreadable)


def _read_line(line: str) -> TimelineEntry | None:
    # A log collector may prefix the line with a time and a host name.
    _, brace, rest = line.partition("{")
    try:
        values = json.loads(brace + rest)
        incarnation = values["incarnation"]
        instance = str(values["instance"])
        return TimelineEntry(
            process=f"{instance} {incarnation[:6]}" if incarnation else instance,
            sequence=int(values["sequence"]),
            wall_ns=int(values["wall_ns"]),
            ordered_ns=int(values["wall_ns"]),
            number=int(values["number"]),
            name=str(values["name"]),
            level=str(values["level"]),
            fields={
                name: value
                for name, value in values.items()
                if name not in _OMITTED_FIELD_NAMES
            },
        )
    except (ValueError, KeyError, TypeError):
        return None


def _order_entries(entries: Sequence[TimelineEntry]) -> list[TimelineEntry]:
    ordered: list[TimelineEntry] = []
    latest_ns = 0
    for entry in sorted(entries, key=lambda item: item.sequence):
        latest_ns = max(latest_ns, entry.wall_ns)
        ordered.append(
            TimelineEntry(
                process=entry.process,
                sequence=entry.sequence,
                wall_ns=entry.wall_ns,
                ordered_ns=latest_ns,
                number=entry.number,
                name=entry.name,
                level=entry.level,
                fields=entry.fields,
            )
        )
    return ordered


def format_text(timeline: Timeline) -> str:
    """Format a time line as text, one line per event."""
    lines = [
        f"{entry.time}  {entry.process:<20}  {entry.number} {entry.name}"
        f"  {entry.format_fields()}".rstrip()
        for entry in timeline.entries
    ]
    if timeline.n_unreadable:
        lines.append(f"({timeline.n_unreadable} unreadable lines left out)")
    return "\n".join(lines) + "\n" if lines else ""


def format_html(timeline: Timeline) -> str:
    """Format a time line as an HTML page without external resources.

    Each process has a lane, a column with its events.
    """
    processes = sorted({entry.process for entry in timeline.entries})
    lanes = {process: lane_index for lane_index, process in enumerate(processes)}
    width = TIME_WIDTH_PIXELS + LANE_WIDTH_PIXELS * len(processes)
    height = ROW_HEIGHT_PIXELS * (len(timeline.entries) + 2)
    body = "\n".join((*_draw_lanes(lanes, height), *_draw_entries(timeline, lanes)))
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        "<title>sardinemill time line</title><style>"
        "text{font:11px sans-serif}line{stroke:#ddd}</style></head><body>\n"
        f"<p>{len(timeline.entries)} events, {len(processes)} processes, "
        f"{timeline.n_unreadable} unreadable lines. Point at an event for its "
        "fields.</p>\n"
        f'<svg width="{width}" height="{height}" role="img" '
        f'aria-label="Time line of events">\n{body}\n</svg>\n</body></html>\n'
    )


def _draw_lanes(lanes: Mapping[str, int], height: int) -> Iterator[str]:
    for process, lane_index in lanes.items():
        left = TIME_WIDTH_PIXELS + LANE_WIDTH_PIXELS * lane_index
        yield f'<line x1="{left}" y1="0" x2="{left}" y2="{height}"/>'
        yield f'<text x="{left + 4}" y="12">{html.escape(process)}</text>'


def _draw_entries(timeline: Timeline, lanes: Mapping[str, int]) -> Iterator[str]:
    for row, entry in enumerate(timeline.entries, start=2):
        left = TIME_WIDTH_PIXELS + LANE_WIDTH_PIXELS * lanes[entry.process]
        bottom = ROW_HEIGHT_PIXELS * row
        colour = LEVEL_COLOURS.get(entry.level, "#000000")
        label = html.escape(f"{entry.number} {entry.name}")
        title = html.escape(f"{entry.time} {entry.process} {entry.format_fields()}")
        yield f'<text x="4" y="{bottom}">{entry.time}</text>'
        yield (
            f'<g><title>{title}</title><circle cx="{left}" cy="{bottom - 4}" r="4" '
            f'fill="{colour}"/><text x="{left + 8}" y="{bottom}">{label}</text></g>'
        )
