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
from .command_runner import (
    CheckRoutesCommand,
    Command,
    CommandContext,
    EditCommand,
    ExitStatus,
    IssueKeyCommand,
    LocalCommand,
    OverviewCommand,
    Report,
    make_result_report,
    run_command,
)
from .commands import COMMANDS
from .configuration_check import check_configuration
from .edits import Invalid
from .errors import ConfigurationError, SardinemillError, StoreError
from .interfaces import Clock, Store
from .operations import OperationContext
from .overview import CountersSource, FleetReader, read_overview
from .presentation import format_check, format_overview
from .sessions.routes import Configuration as RouteConfiguration
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
    """Network client that must be started before use and stopped afterwards."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class FleetClient(FleetReader, Client, Protocol):
    """Client that reads the state of a fleet."""


class FleetClientFactory(Protocol):
    """Creates the clients that read the state of a fleet on a platform."""

    def make_fleet_reader(self, url: str) -> FleetClient:
        """Make a client that reads the platform's store.

        :raises ValueError: if the URL is malformed.
        """
        ...

    def make_counters_source(self, addresses: Sequence[str]) -> CountersSource:
        """Make a client that reads the counters of instances.

        :raises ValueError: with all malformed addresses.
        """
        ...

    def decode_routes(self, data: bytes) -> RouteConfiguration:
        """Decode a configuration in the form in which the platform stores it.

        :raises ConfigurationError: if it is malformed.
        """
        ...


class StoreClient(Store, Client, Protocol):
    """Client of the platform's store."""


def main() -> None:
    """Run the command line without a platform, ``python -m sardinemill.cli``.

    Command ``overview`` is not available, since it needs the clients of a platform.
    """
    sys.exit(run(sys.argv[1:], os.environ))


def run(
    argv: Sequence[str],
    environment: Mapping[str, str],
    *,
    store: StoreClient | None = None,
    platform: FleetClientFactory | None = None,
    clock: Clock | None = None,
    output: TextIO | None = None,
    answers: TextIO | None = None,
) -> int:
    """Run one command.

    :param environment: environment variables, for the defaults of global options.
    :param store: replaces the HTTP client, for tests.
    :param platform: creates the clients of the platform that a fleet runs on.
    :param clock: replaces the system clock, for tests.
    :param output: where the report is printed; standard output by default.
    :param answers: source of the answers to prompts; standard input by default.
    :returns: exit status.
    """
    output = output or sys.stdout
    options, command_arguments = _read_global_options(argv, environment)
    try:
        command = defopt.run(
            COMMANDS,
            argv=command_arguments,
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
        if isinstance(command, CheckRoutesCommand):
            report = _check_routes(command, platform)
            _print_report(report, options.json, output)
            return int(report.status)
        client = store or _make_store_client(options.store)
        status_source = HttpStatusSource()
        context = CommandContext(
            operation_context=OperationContext(
                store=client,
                codec=MessagePackDocumentCodec(),
                clock=clock or SystemClock(),
                random_source=SystemRandom(),
                author=options.author or getpass.getuser(),
            ),
            status_source=status_source,
            # With --json, the output must be one document.
            show_text=lambda text: (
                None if options.json else print(text, end="", file=output)
            ),
            confirm=lambda text: options.yes or _ask_operator(text, answers),
            waits_until_in_force=options.wait,
            expected_version=options.expect_version,
        )
        report = asyncio.run(
            _run_with_clients(command, context, (client, status_source))
        )
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


def _make_store_client(url: str) -> StoreClient:
    """Make a client of the store.

    :raises ValueError: if no URL is given.
    """
    if not url:
        raise ValueError("--store or SARDINEMILL_STORE: the platform's URL is needed")
    return HttpStore(url)


async def _run_with_clients(
    command: Command | EditCommand | IssueKeyCommand,
    context: CommandContext,
    clients: Sequence[Client],
) -> Report:
    """Start the clients, run a command and stop the clients in reverse order.

    Store failures and refusals become reports with the matching exit status.
    """
    for client in clients:
        await client.start()
    try:
        return await run_command(command, context)
    except InvalidConfiguration as error:
        return make_result_report(Invalid(faults=error.faults))
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
    """Read the state of a fleet on the platform and format it.

    :raises ValueError: without a platform, or with all malformed addresses at once.
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
        fleet = await read_overview(reader, counters, command.metrics)
    except StoreError as error:
        text = f"platform unavailable: {error.message}\n"
        return Report(status=ExitStatus.UNAVAILABLE, text=text)
    finally:
        await reader.stop()
    return Report(text=format_overview(fleet), data=fleet)


def _check_routes(
    command: CheckRoutesCommand, platform: FleetClientFactory | None
) -> Report:
    """Check a configuration file in the form of the platform.

    :raises ValueError: without a platform, or if a file cannot be read or decoded.
    """
    if platform is None:
        raise ValueError("routes check needs a platform; none is built in")
    decoded: list[RouteConfiguration] = []
    for path in (command.file, command.against):
        if path is None:
            continue
        try:
            decoded.append(platform.decode_routes(path.read_bytes()))
        except OSError as error:
            raise ValueError(f"{path}: {error.strerror}") from error
        except ConfigurationError as error:
            raise ValueError(f"{path}: {error.message}") from error
    report = check_configuration(*decoded)
    status = ExitStatus.WRONG_INPUT if report.has_errors else ExitStatus.DONE
    return Report(status=status, text=format_check(report), data=report)


def _ask_operator(text: str, answers: TextIO | None) -> bool:
    """Print a prompt on standard error and return whether the answer is ``yes``.

    Without a terminal on standard input there is no operator to ask: returns ``False``.
    """
    stream = answers or sys.stdin
    if answers is None and not stream.isatty():
        return False
    print(text, end="", file=sys.stderr, flush=True)
    return stream.readline().strip() == "yes"


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
