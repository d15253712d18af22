"""Output of benchmark results as JSON lines and tables."""

import json
import subprocess
from collections.abc import Mapping
from pathlib import Path

RESULTS_DIRECTORY = Path(__file__).parent / "results"


def read_commit() -> str:
    """Return the abbreviated commit of the checkout, with ``-dirty`` after changes."""
    result = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        check=False,
    )
    return result.stdout.strip() or "unknown"


def write_results(name: str, rows: list[Mapping[str, object]]) -> Path:
    """Append rows, with the commit, to ``results/<name>.jsonl``.

    :returns: the path of the file.
    """
    RESULTS_DIRECTORY.mkdir(exist_ok=True)
    path = RESULTS_DIRECTORY / f"{name}.jsonl"
    commit = read_commit()
    with path.open("a", encoding="utf-8") as file:
        for row in rows:
            file.write(json.dumps({"commit": commit, **row}) + "\n")
    return path


def print_table(rows: list[Mapping[str, object]]) -> None:
    """Print rows in aligned columns; the keys of the first row are the header."""
    if not rows:
        return
    names = list(rows[0])
    cells = [names, *([_format(row.get(name, "")) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    for line in cells:
        print(
            "  ".join(
                cell.ljust(width) for cell, width in zip(line, widths, strict=True)
            )
        )


def _format(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)
