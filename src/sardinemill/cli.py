"""Operators' command line, ``sardinemill``."""

import argparse
import asyncio
import getpass
import os
import sys
from collections.abc import Mapping, Sequence
from typing import Protocol, TextIO

import defopt
import msgspec

from .adapters.clocks import SystemClock, SystemRandom
from .adapters.document_codec import MessagePackDocumentCodec
from .adapters.status_source import HttpStatusSource
from .adapters.store import HttpStore
from .commands import COMMANDS
from .edits import Invalid
from .errors import SardinemillError, StoreError
from .interfaces import Clock, Store
from .operations import OperationContext
from .overview import CountersSource, FleetReader, read_overview
from .presentation import format_overview
from .session import (
    Command,
    EditCommand,
    ExitStatus,
    KeyCommand,
    LocalCommand,
    OverviewCommand,
    Report,
    Session,
    report_result,
    run_command,
)
from .validation import InvalidConfiguration

GLOBAL_HELP = """\
options of every command:
  --store URL            platform's store; default SARDINEMILL_STORE
  --json                 machine-readable output
  --yes                  do not ask when callers lose access
  --wait                 wait until an accepted edit is in force everywhere
  --expect-version N     refuse an edit when another version is current
  --author NAME          name for the history; default SARDINEMILL_AUTHOR or the login

exit status: 0 done, 1 refused or conflict, 2 wrong input, 3 platform unavailable,
4 outcome unknown
"""


class Client(Protocol):
    """Client with life-cycle hooks."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class FleetClient(FleetReader, Client, Protocol):
    """Reader of a fleet's state with life-cycle hooks."""


class FleetClientFactory(Protocol):
    """Makes the clients for a fleet on a platform."""

    def make_fleet_reader(self, url: str) -> FleetClient:
        """Make a reader of the store at an address.

        :raises ValueError: when it is none.
        """
        ...

    def make_counters_source(self, addresses: Sequence[str]) -> CountersSource:
        """Make a source of the counters of some instances.

        :raises ValueError: with all addresses that are none.
        """
        ...


class StoreClient(Store, Client, Protocol):
    """Store with life-cycle hooks."""


def main() -> None:
    """Entry point without a platform, ``python -m sardinemill.cli``."""
    sys.exit(run(sys.argv[1:], os.environ))


def run(
    argv: Sequence[str],
    environment: Mapping[str, str],
    *,
    store: StoreClient | None = None,
    platform: FleetClientFactory | None = None,
    clock: Clock | None = None,
    output: TextIO | None = None,
    questions: TextIO | None = None,
) -> int:
    """Run one command.

    :param store: replaces the HTTP client, for tests; ``clock`` the system's clock.
    :param platform: makes the clients of the platform that a fleet runs on.
    :param questions: where answers to questions are read from.
    :returns: exit status.
    """
    output = output or sys.stdout
    options, rest = _read_global_options(argv, environment)
    try:
        command = defopt.run(
            COMMANDS,
            argv=rest,
            argparse_kwargs={
                "prog": "sardinemill",
                "epilog": GLOBAL_HELP,
                "formatter_class": argparse.RawDescriptionHelpFormatter,
            },
        )
    except SystemExit as error:
        return int(error.code or 0)
    try:
        if isinstance(command, LocalCommand):
            report = command.run()
            _print_report(report, options.json, output)
            return int(report.status)
        if isinstance(command, OverviewCommand):
            report = asyncio.run(_show_overview(command, options.store, platform))
            _print_report(report, options.json, output)
            return int(report.status)
        client = store or _open_store(options.store)
        source = HttpStatusSource()
        session = Session(
            context=OperationContext(
                store=client,
                codec=MessagePackDocumentCodec(),
                clock=clock or SystemClock(),
                random=SystemRandom(),
                author=options.author or getpass.getuser(),
            ),
            source=source,
            # With --json the output is a single document.
            say=lambda text: None if options.json else print(text, end="", file=output),
            confirm=lambda text: options.yes or _ask(text, questions),
            is_waiting=options.wait,
            expected_version=options.expect_version,
        )
        report = asyncio.run(_serve(command, session, (client, source)))
    except ValueError as error:
        print(error, file=sys.stderr)
        return ExitStatus.WRONG_INPUT
    _print_report(report, options.json, output)
    return int(report.status)


def _read_global_options(
    argv: Sequence[str], environment: Mapping[str, str]
) -> tuple[argparse.Namespace, list[str]]:
    parser = argparse.ArgumentParser(
        prog="sardinemill", add_help=False, allow_abbrev=False
    )
    parser.add_argument("--store", default=environment.get("SARDINEMILL_STORE", ""))
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--yes", action="store_true")
    parser.add_argument("--wait", action="store_true")
    parser.add_argument("--expect-version", type=int)
    parser.add_argument("--author", default=environment.get("SARDINEMILL_AUTHOR", ""))
    return parser.parse_known_args(argv)


def _open_store(url: str) -> StoreClient:
    """:raises ValueError: when no store is given."""
    if not url:
        raise ValueError("--store or SARDINEMILL_STORE: the platform's URL is needed")
    return HttpStore(url)


async def _serve(
    command: Command | EditCommand | KeyCommand,
    session: Session,
    clients: Sequence[Client],
) -> Report:
    """Run a command between start and stop of its clients."""
    for client in clients:
        await client.start()
    try:
        return await run_command(command, session)
    except InvalidConfiguration as error:
        return report_result(Invalid(faults=error.faults))
    except StoreError as error:
        text = f"platform unavailable: {error.message}; nothing was changed\n"
        return Report(status=ExitStatus.UNAVAILABLE, text=text)
    except SardinemillError as error:
        return Report(status=ExitStatus.REFUSED, text=f"{error.message}\n")
    finally:
        for client in reversed(clients):
            await client.stop()


async def _show_overview(
    command: OverviewCommand, url: str, platform: FleetClientFactory | None
) -> Report:
    """Read a fleet on the platform.

    :raises ValueError: with all wrong addresses at once.
    """
    if platform is None:
        raise ValueError("overview needs a platform; none is built in")
    faults: list[str] = []
    try:
        reader = platform.make_fleet_reader(url)
    except ValueError as error:
        faults.append(str(error))
    try:
        counters = platform.make_counters_source(command.metrics)
    except ValueError as error:
        faults.append(str(error))
    if faults:
        raise ValueError("\n".join(faults))
    await reader.start()
    try:
        found = await read_overview(reader, counters, command.metrics)
    except StoreError as error:
        text = f"platform unavailable: {error.message}\n"
        return Report(status=ExitStatus.UNAVAILABLE, text=text)
    finally:
        await reader.stop()
    return Report(text=format_overview(found), data=found)


def _ask(text: str, questions: TextIO | None) -> bool:
    source = questions or sys.stdin
    if questions is None and not source.isatty():
        return False
    print(text, end="", file=sys.stderr, flush=True)
    return source.readline().strip() == "yes"


def _print_report(report: Report, is_json: bool, output: TextIO) -> None:
    if is_json:
        document = {"status": int(report.status), "data": report.data}
        if report.data is None:
            document["message"] = report.text.strip()
        print(msgspec.json.encode(document).decode(), file=output)
    else:
        print(report.text, end="", file=output)


if __name__ == "__main__":
    main()
