"""End-to-end demonstration with separate processes; exits with 1 if a step fails."""

import asyncio
import shutil
import signal
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

from .caller import Caller, Response
from .deployment import Deployment, DeploymentSize, make_workspaces

LOG_DIRECTORY = Path("demo-logs")
DATA_CENTRES = ("almaty", "astana")
WARM_UP_TIMEOUT_SECONDS = 20.0
MAX_FAILOVER_SECONDS = 5.0
SLOW_STATEMENT_SECONDS = 2.0


class StepFailure(Exception):
    """A step of the demonstration did not give the expected result."""


def expect(condition: bool, text: str) -> None:
    """Fail the step unless a condition holds.

    :param text: message of the failure.
    :raises StepFailure: when the condition does not hold.
    """
    if not condition:
        raise StepFailure(text)


class Demo:
    """Steps that run in order against a running deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._token = ""

    def list_steps(self) -> list[tuple[str, Callable[[], str]]]:
        """Return title and function of each step, in order."""
        return [
            ("create a table", self._create_table),
            (
                "write through one instance, read own write through another",
                self._read_own_write,
            ),
            ("read with accepted staleness from a replica", self._read_replica),
            ("statements of one transaction", self._run_transaction),
            ("repeat a write under its idempotency key", self._repeat_write),
            (
                "an unknown API key and a foreign session token are refused",
                self._refuse_unknown_key,
            ),
            ("a forged session token is refused", self._refuse_forged_token),
            ("a workspace over its rate is refused", self._exceed_rate),
            ("a withdrawn key is refused on an open connection", self._withdraw_key),
            ("the primary is killed; acknowledged writes remain", self._kill_primary),
            ("SIGTERM during a slow statement", self._stop_during_statement),
        ]

    def _caller(self, instance: str, workspace: str = "bees") -> Caller:
        url = self._deployment.front_url(instance)
        return Caller(url, self._deployment.keys[workspace])

    def _create_table(self) -> str:
        end = time.monotonic() + WARM_UP_TIMEOUT_SECONDS
        while True:
            response = self._caller("instance-0").run(
                "create table booking (hive text, day text)"
            )
            if response.status == 200:
                return describe(response)
            expect(response.outcome == "not run", describe(response))
            expect(time.monotonic() < end, describe(response))
            time.sleep(0.2)

    def _read_own_write(self) -> str:
        written = self._caller("instance-0").run(
            "insert into booking values (?, ?)", ["north", "monday"]
        )
        expect(written.status == 200, describe(written))
        self._token = written.token
        read = self._caller("instance-1").run(
            "select hive, day from booking", Session_Token=self._token
        )
        expect(read.document.get("rows") == [["north", "monday"]], describe(read))
        return f"{describe(written)}; then {describe(read)}"

    def _read_replica(self) -> str:
        read = self._caller("instance-3").run(
            "select count(*) from booking", Accept_Staleness="30"
        )
        expect(read.status == 200 and bool(read.document["replica"]), describe(read))
        return describe(read)

    def _run_transaction(self) -> str:
        caller = self._caller("instance-2")
        begun = caller.post("/v1/transaction")
        expect(begun.status == 200, describe(begun))
        path = f"/v1/transaction/{begun.document['transaction']}"
        body = {"sql": "insert into booking values ('south', 'tuesday')"}
        inside = caller.post(f"{path}/statement", body)
        expect(inside.status == 200, describe(inside))
        other = self._caller("instance-0").run("select count(*) from booking")
        expect(other.document.get("rows") == [[1]], describe(other))
        committed = caller.post(f"{path}/commit")
        expect(committed.status == 200, describe(committed))
        other = self._caller("instance-0").run("select count(*) from booking")
        expect(other.document.get("rows") == [[2]], describe(other))
        return "invisible to others before the commit, visible after it"

    def _repeat_write(self) -> str:
        sql = "insert into booking values ('east', 'friday')"
        first = self._caller("instance-0").run(sql, Idempotency_Key="payout-1")
        second = self._caller("instance-3").run(sql, Idempotency_Key="payout-1")
        expect(second.status == 200, describe(second))
        expect(bool(second.document.get("repeat")), describe(second))
        other = self._caller("instance-1").run(
            "delete from booking", Idempotency_Key="payout-1"
        )
        expect(other.status == 422, describe(other))
        count = self._caller("instance-1").run(
            "select count(*) from booking where hive = 'east'"
        )
        expect(count.document.get("rows") == [[1]], describe(count))
        return f"{describe(first)}; repeated: {describe(second)}; ran once"

    def _refuse_unknown_key(self) -> str:
        url = self._deployment.front_url("instance-0")
        refused = Caller(url, "smk_foreign").run("select * from booking")
        expect((refused.status, refused.outcome) == (401, "not run"), describe(refused))
        other_workspace = self._caller("instance-0", "books").run(
            "select * from booking", Session_Token=self._token
        )
        expect(other_workspace.status == 403, describe(other_workspace))
        own = self._caller("instance-0", "books").run("select * from booking")
        expect(own.status == 400, describe(own))
        return f"{describe(refused)}; another workspace sees no such table"

    def _refuse_forged_token(self) -> str:
        forged = self._token[:-4] + "AAAA"
        refused = self._caller("instance-1").run("select 1", Session_Token=forged)
        expect((refused.status, refused.outcome) == (400, "not run"), describe(refused))
        return describe(refused)

    def _exceed_rate(self) -> str:
        instances = list(self._deployment.instances)
        callers = [self._caller(name, "loans") for name in instances]
        n_answered = 0
        begin = time.monotonic()
        last = None
        for number in range(80):
            response = callers[number % len(callers)].run("select 1")
            n_answered += response.status == 200
            if response.status == 429:
                last = response
        max_answered = 10 + 1 * (time.monotonic() - begin)
        expect(
            n_answered <= max_answered,
            f"{n_answered} answered, {max_answered:.1f} allowed",
        )
        # A little less than one token bucket admits: lent tokens may be unspent.
        min_answered = 0.8 * 10
        expect(
            n_answered >= min_answered,
            f"{n_answered} answered, {min_answered:.1f} expected",
        )
        expect(last is not None and last.outcome == "not run", "no request was refused")
        return f"{n_answered} of 80 answered at burst 10 and 1 a second"

    def _withdraw_key(self) -> str:
        caller = self._caller("instance-2", "books")
        answered = caller.run("select 1")
        expect(answered.status == 200, describe(answered))
        begin = time.monotonic()
        asyncio.run(self._deployment.withdraw_key("books"))
        while time.monotonic() - begin < 10.0:
            response = caller.run("select 1")
            if response.status == 401:
                elapsed = time.monotonic() - begin
                return f"{describe(response)} after {elapsed:.2f} s, same connection"
            time.sleep(0.05)
        raise StepFailure(describe(response))

    def _kill_primary(self) -> str:
        caller = self._caller("instance-1")
        written = caller.run("insert into booking values ('west', 'sunday')")
        expect(written.status == 200, describe(written))
        primary = str(written.document["served_by"])
        self._deployment.databases[primary].kill()
        begin = time.monotonic()
        while True:
            again = self._caller("instance-0").run(
                "insert into booking values ('top', 'monday')",
                Idempotency_Key="after-failover",
            )
            if again.status == 200:
                break
            expect(time.monotonic() - begin < 4 * MAX_FAILOVER_SECONDS, describe(again))
        gap = time.monotonic() - begin
        read = self._caller("instance-3").run(
            "select count(*) from booking where hive in ('west', 'top')",
            Session_Token=written.token,
        )
        expect(read.document.get("rows") == [[2]], describe(read))
        return f"{primary} killed; writes again after {gap:.2f} s; {describe(again)}"

    def _stop_during_statement(self) -> str:
        for name in self._deployment.databases:
            if self._deployment.databases[name].is_running:
                faults: dict[str, object] = {"delay_seconds": SLOW_STATEMENT_SECONDS}
                self._deployment.set_database_faults(name, faults)
        answers: list[Response] = []
        caller = self._caller("instance-0")
        thread = threading.Thread(
            target=lambda: answers.append(caller.run("select count(*) from booking"))
        )
        thread.start()
        time.sleep(0.3)
        process = self._deployment.instances["instance-0"]
        process.send_signal(signal.SIGTERM)
        thread.join()
        expect(bool(answers) and answers[0].status == 200, describe_all(answers))
        status = process.stop()
        expect(status == 0, f"exit status {status}")
        return f"{describe(answers[0])}; exit status {status}"


def describe(response: Response) -> str:
    """Describe a response in one line."""
    document = response.document
    if response.status == 200:
        kind = "replica" if document.get("replica") else "primary"
        rows = document.get("rows")
        return f"200 from {document.get('served_by')} ({kind}), rows {rows}"
    return f"{response.status} {document.get('error')}, {response.outcome}"


def describe_all(responses: list[Response]) -> str:
    """Describe several responses in one line."""
    return "; ".join(describe(item) for item in responses) or "no response"


def run_demo() -> int:
    """Run all steps and print their results.

    :returns: exit status.
    """
    shutil.rmtree(LOG_DIRECTORY, ignore_errors=True)
    plans, workspaces = make_workspaces(
        [("bees", 500.0), ("books", 500.0), ("loans", 1.0)], 1
    )
    size = DeploymentSize(
        data_centres=DATA_CENTRES,
        n_instances=4,
        n_groups=1,
        n_connections=50,
        plans=plans,
        workspaces=workspaces,
    )
    n_failed = 0
    with Deployment(size, LOG_DIRECTORY) as deployment:
        asyncio.run(deployment.put_configuration())
        deployment.start_instances()
        for number, (title, step) in enumerate(Demo(deployment).list_steps(), 1):
            try:
                print(f"{number:2}. {title}\n    ok: {step()}", flush=True)
            except StepFailure as failure:
                n_failed += 1
                print(f"{number:2}. {title}\n    FAILED: {failure}", flush=True)
        for process in list(deployment.instances.values()):
            status = process.stop()
            if status != 0:
                n_failed += 1
                print(f"{process.name} ended with status {status}")
    print(f"{n_failed} steps failed" if n_failed else "all steps passed")
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(run_demo())
